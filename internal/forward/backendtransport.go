package forward

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdlePerAddress is the maximum number of idle connections to one backend server.
	maxIdlePerAddress = 64
	// backendIdleTimeout is how long a connection to a backend server may be idle before it is
	// closed.
	backendIdleTimeout = 10 * time.Second
	// maxResponseHeadBytes bounds the head of a response, interim responses included. A faulty
	// backend server may send one without end.
	maxResponseHeadBytes = 64 << 10
	// maxRefusedIDs bounds the refused requests that are remembered for a connection, which is closed
	// after that many.
	maxRefusedIDs = 16
	// distrustTime is how long connections to a backend server are not reused after it has sent
	// more than it was asked for.
	distrustTime = time.Minute
)

// BackendTransport sends requests to backend servers over HTTP/1.1 and reuses connections. It is
// safe for concurrent use.
//
// A backend server may send more than one response to a request. The surplus must not be taken for
// the response to the next request. net/http looks for surplus bytes only after it has offered the
// connection for reuse, and passed on 1 wrong response in 600. Therefore each connection has its
// own http.Transport. It is reused only while a read is pending on it and no bytes have arrived:
// all bytes received so far then belonged to earlier responses.
//
// A surplus response that arrives while the next request is running can be told from the response
// to that request only by an id that backend servers echo; package dialect checks it. Therefore
// connections to a backend server that has once sent surplus bytes are not reused for distrustTime.
type BackendTransport struct {
	dial DialFunc

	mu sync.Mutex
	// idle holds the idle connections by address, the one that has been idle longest first.
	idle map[string][]*backendConn
	// distrustedUntil holds the addresses whose connections are not reused.
	distrustedUntil map[string]time.Time
}

// NewBackendTransport returns a transport from a home daemon to its own backend servers.
func NewBackendTransport() *BackendTransport {
	return &BackendTransport{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, idle: map[string][]*backendConn{}, distrustedUntil: map[string]time.Time{}}
}

// exchangeIDKey is the key of the id that WithExchangeID sets.
type exchangeIDKey struct{}

// WithExchangeID returns a context for a request with an id, under which it may be sent again.
func WithExchangeID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, exchangeIDKey{}, id)
}

// RoundTrip implements http.RoundTripper. The connection is reused only after the response body was
// read to its end and closed. Otherwise Close of the body closes the connection.
func (t *BackendTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	id, _ := req.Context().Value(exchangeIDKey{}).(string)
	c := t.takeIdle(address, id)
	reused := c != nil
	if c == nil {
		c = t.newConn()
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.close()
		return nil, err
	}
	hasBody := req.Method != http.MethodHead && resp.ContentLength != 0
	resp.Body = &backendBody{ReadCloser: resp.Body, response: resp, readToEnd: !hasBody, conn: c, id: id, reused: reused, release: func(reuse bool) {
		if !reuse || !t.putIdle(address, c) {
			c.close()
		}
	}}
	return resp, nil
}

// Distrust keeps connections to the address from being reused for a time, because its backend
// server has sent bytes that belong to no request.
func (t *BackendTransport) Distrust(address string) {
	t.mu.Lock()
	list := t.distrust(address)
	t.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// distrust marks the address and returns its idle connections, which the caller closes. The caller
// holds mu.
func (t *BackendTransport) distrust(address string) []*backendConn {
	now := time.Now()
	maps.DeleteFunc(t.distrustedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.distrustedUntil[address] = now.Add(distrustTime)
	list := t.idle[address]
	delete(t.idle, address)
	return list
}

// takeIdle removes and returns a connection to the address that may be reused for the request with
// the id, or nil. It drops the unusable connections that it finds; net/http closes those by itself.
func (t *BackendTransport) takeIdle(address, id string) *backendConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	var taken *backendConn
	surplus := false
	kept := list[:0]
	for _, c := range list {
		state := connUnsettled
		if taken == nil && !slices.Contains(c.refusedIDs, id) {
			state = c.state()
		}
		switch state {
		case connReusable:
			conn := c.conn.Load()
			conn.newResponse.Store(true)
			conn.idle.Store(false)
			taken = c
		case connUnsettled:
			kept = append(kept, c)
		case connUnusable:
			surplus = surplus || c.sentSurplus()
		}
	}
	clear(list[len(kept):])
	t.idle[address] = kept
	if !surplus {
		return taken
	}
	for _, c := range append(t.distrust(address), taken) {
		if c != nil {
			c.close()
		}
	}
	return nil
}

// putIdle offers a connection for reuse. It returns false when maxIdlePerAddress connections are
// idle already or the address is distrusted; the caller then closes the connection.
func (t *BackendTransport) putIdle(address string, c *backendConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.distrustedUntil[address]) {
		return false
	}
	list := t.idle[address]
	if len(list) >= maxIdlePerAddress {
		// Unusable connections are removed only when the list is full, because each state check is
		// a system call.
		list = slices.DeleteFunc(list, func(c *backendConn) bool { return c.state() == connUnusable })
		t.idle[address] = list
	}
	if len(list) >= maxIdlePerAddress {
		return false
	}
	c.markIdle()
	t.idle[address] = append(list, c)
	return true
}

// CloseIdleConnections closes all idle connections. Requests in flight are not affected.
func (t *BackendTransport) CloseIdleConnections() {
	t.mu.Lock()
	idle := t.idle
	t.idle = map[string][]*backendConn{}
	t.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}

// backendConn is one connection and the http.Transport that uses it, for one request at a time.
type backendConn struct {
	transport *http.Transport
	conn      atomic.Pointer[watchedConn]
	// refusedIDs are the ids of the requests that were refused on the connection. Whoever uses or
	// holds the connection owns them.
	refusedIDs []string
}

func (t *BackendTransport) newConn() *backendConn {
	c := &backendConn{}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := t.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			watched := newWatchedConn(conn)
			c.conn.Store(watched)
			return watched, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		IdleConnTimeout:        backendIdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	return c
}

// markIdle records that no response is expected until takeIdle returns the connection.
func (c *backendConn) markIdle() {
	if conn := c.conn.Load(); conn != nil {
		conn.idle.Store(true)
	}
}

// sentSurplus reports whether bytes arrived while the connection was idle.
func (c *backendConn) sentSurplus() bool {
	conn := c.conn.Load()
	return conn != nil && conn.surplus.Load()
}

func (c *backendConn) close() { c.transport.CloseIdleConnections() }

// connState tells whether an idle connection may be reused. A connection becomes reusable when
// net/http waits for further input, and unusable, for good, when unexpected input or its end
// arrives.
type connState int

const (
	// connUnsettled: net/http does not wait for input yet, and may still hold surplus bytes in its
	// buffer.
	connUnsettled connState = iota
	// connReusable: net/http waits for input, and none has arrived.
	connReusable
	// connUnusable: input that no request asked for has arrived, or the connection is closed.
	connUnusable
)

func (c *backendConn) state() connState {
	conn := c.conn.Load()
	switch {
	case conn == nil || conn.closed.Load() || conn.hasUnreadInput():
		return connUnusable
	case conn.readPending.Load():
		return connReusable
	default:
		return connUnsettled
	}
}

// backendBody is a response body that hands its connection back when it is closed.
type backendBody struct {
	io.ReadCloser
	response  *http.Response
	readToEnd bool
	closed    bool
	// last is true if the connection must not be used for another request.
	last    bool
	release func(reuse bool)
	// conn is the connection, id that of the request. reused is set if there were requests before.
	conn   *backendConn
	id     string
	reused bool
}

// CloseAfter makes the response of a BackendTransport the last one on its connection. It must be
// called before the body is closed. Responses of other transports are left as they are.
func CloseAfter(resp *http.Response) {
	if b, ok := resp.Body.(*backendBody); ok {
		b.last = true
	}
}

// NoteRefusal records that a response of a BackendTransport refuses its request. The request is not
// sent again on the same connection: a late copy of the refusal could not be told from the response
// to it. It must be called before the body is closed.
func NoteRefusal(resp *http.Response) {
	if b, ok := resp.Body.(*backendBody); ok {
		b.conn.refusedIDs = append(b.conn.refusedIDs, b.id)
		b.last = b.last || len(b.conn.refusedIDs) >= maxRefusedIDs
	}
}

// Reused reports whether there were other requests on the connection of a response of a
// BackendTransport before.
func Reused(resp *http.Response) bool {
	b, ok := resp.Body.(*backendBody)
	return ok && b.reused
}

func (b *backendBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		for name := range b.response.Trailer {
			if !isToken(name) {
				return n, errInvalidTrailer
			}
		}
		b.readToEnd = true
	}
	return n, err
}

func (b *backendBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.closed {
		b.closed = true
		b.release(b.readToEnd && !b.last)
	}
	return err
}
