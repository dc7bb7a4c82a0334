package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxIdlePerAddress bounds the open connections without a request to one backend server.
	maxIdlePerAddress = 64
	// backendIdleTimeout ends a connection to a backend server that has had no request for this time.
	backendIdleTimeout = 10 * time.Second
)

// BackendTransport sends requests to backend servers over HTTP/1.1 and keeps connections for later requests. It is safe for
// concurrent use.
//
// A backend server that sends more than one response to a request must not have the surplus taken for the response to the next
// request. net/http looks for surplus bytes only after it has offered the connection again, and so passed on 1 wrong response
// in 600. Here each connection has an http.Transport of its own, and gets another request only while a read waits on it and
// nothing has arrived: then all bytes received so far were read as responses to earlier requests. A surplus response that
// arrives while the next request is running cannot be told from its response.
type BackendTransport struct {
	dial DialFunc

	mu sync.Mutex
	// idle holds the connections without a request by address, the longest idle first.
	idle map[string][]*backendConn
}

// NewBackendTransport returns the transport from a home to its own backend servers.
func NewBackendTransport() *BackendTransport {
	return &BackendTransport{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, idle: map[string][]*backendConn{}}
}

// RoundTrip sends one request. The connection is free again when the body of the response was read to its end and closed.
func (t *BackendTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	c := t.take(address)
	if c == nil {
		c = t.newConn()
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.close()
		return nil, err
	}
	hasBody := req.Method != http.MethodHead && resp.ContentLength != 0
	resp.Body = &backendBody{ReadCloser: resp.Body, whole: !hasBody, done: func(whole bool) {
		if !whole || !t.put(address, c) {
			c.close()
		}
	}}
	return resp, nil
}

// take returns a connection on which nothing has arrived since its last response, or nil. It drops the ended ones that it meets,
// which net/http closes by itself.
func (t *BackendTransport) take(address string) *backendConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	var taken *backendConn
	kept := list[:0]
	for _, c := range list {
		state := connBusy
		if taken == nil {
			state = c.state()
		}
		switch state {
		case connQuiet:
			taken = c
		case connBusy:
			kept = append(kept, c)
		}
	}
	clear(list[len(kept):])
	t.idle[address] = kept
	return taken
}

// put offers a connection for later requests and reports whether there is room.
func (t *BackendTransport) put(address string, c *backendConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) >= maxIdlePerAddress {
		// Only here: each check of a state is a system call.
		list = slices.DeleteFunc(list, func(c *backendConn) bool { return c.state() == connEnded })
		t.idle[address] = list
	}
	if len(list) >= maxIdlePerAddress {
		return false
	}
	t.idle[address] = append(list, c)
	return true
}

// CloseIdleConnections ends all connections without a request.
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

// backendConn is one connection, which has one request at a time, with the http.Transport that reads and writes it.
type backendConn struct {
	transport *http.Transport
	conn      atomic.Pointer[watchedConn]
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
			watched := &watchedConn{Conn: conn}
			c.conn.Store(watched)
			return watched, nil
		},
		Protocols:          protocols,
		DisableCompression: true,
		MaxConnsPerHost:    1,
		IdleConnTimeout:    backendIdleTimeout,
	}
	return c
}

func (c *backendConn) close() { c.transport.CloseIdleConnections() }

// connState is what is known about an idle connection.
type connState int

const (
	// connBusy: net/http has not begun to wait for bytes beyond the last response. It may still find some in its buffer.
	connBusy connState = iota
	// connQuiet: net/http waits for bytes, and none have arrived.
	connQuiet
	// connEnded: bytes that no request asked for have arrived, or the connection is closed.
	connEnded
)

func (c *backendConn) state() connState {
	conn := c.conn.Load()
	switch {
	case conn == nil || conn.closed.Load() || conn.hasArrived():
		return connEnded
	case conn.reading.Load():
		return connQuiet
	default:
		return connBusy
	}
}

// watchedConn shows whether a read waits on it. net/http reads an idle connection only when its buffer is empty, so a read that
// waits there proves that nothing is left of the last response.
type watchedConn struct {
	net.Conn
	reading, closed atomic.Bool
}

// Read notes that it waits.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	return n, err
}

// Close notes the end.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// hasArrived reports whether bytes, or the end of the connection, wait to be read.
func (c *watchedConn) hasArrived() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	var peekErr error
	// Control and not Read, which would wait for the read of net/http.
	if err := raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return true
	}
	return peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
}

// backendBody frees the connection when it is closed.
type backendBody struct {
	io.ReadCloser
	whole  bool
	closed bool
	done   func(whole bool)
}

func (b *backendBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

func (b *backendBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.closed {
		b.closed = true
		b.done(b.whole)
	}
	return err
}
