package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
)

const (
	// lingerTime is how long a closed connection waits for its peer to close it too, or to take more
	// of what was sent.
	lingerTime = time.Second
	// lingerLimit bounds the whole wait, so that a peer that takes the rest very slowly does not hold a
	// place of the listener, or the end of the process.
	lingerLimit = 3 * time.Second
	// lingerBytes bounds the received bytes that are discarded meanwhile.
	lingerBytes = 16 << 20
	// lingerPoll is how often WaitLingering looks.
	lingerPoll = 5 * time.Millisecond
)

// conn is an accepted connection of a listener with a limit. It has the methods of a net.TCPConn:
// net/http ends a connection with CloseWrite if a request was not read to its end.
type conn struct {
	*net.TCPConn
	listener *Listener
	// hasPlace is set if the connection takes a place within the limit.
	hasPlace bool
	arrivals arrivals
	// closed is set by the first Close, abortive by SetLinger(0).
	closed, abortive atomic.Bool
	// reading is held during a read, and by a closed connection that lingers.
	reading sync.Mutex
}

// Read implements net.Conn. It returns nothing that arrives after Close.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.arrivals.noteRead(time.Now())
	}
	return n, err
}

// SetReadDeadline implements net.Conn. Only linger sets that of a closed connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn, as SetReadDeadline.
func (c *conn) SetDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetDeadline(t)
}

// SetLinger sets the behaviour of Close, see net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.abortive.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Close implements net.Conn. The kernel ends a socket with a reset if received bytes are unread or
// arrive later, and drops what it has not sent. If a caller sent requests ahead, or goes on sending
// an upload that was answered early, it would lose the end of its answer. Close therefore only sends
// a FIN if there are bytes in either direction, and leaves the rest to the background.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if unread, unsent := c.queued(); c.abortive.Load() || unread == 0 && unsent == 0 {
		defer c.release()
		return c.TCPConn.Close()
	}
	c.listener.lingering.Add(1)
	go func() {
		defer c.release()
		defer c.listener.lingering.Add(-1)
		c.linger()
		c.TCPConn.Close() //nolint:errcheck // nobody is left to be told
	}()
	return nil
}

// release frees the place of the connection, if it takes one.
func (c *conn) release() {
	if c.hasPlace {
		c.listener.release()
	}
}

// linger sends a FIN and discards what arrives until the peer closes the connection, has taken
// nothing more for lingerTime, or lingerLimit has passed.
func (c *conn) linger() {
	c.CloseWrite()                             //nolint:errcheck // reads fail then too
	c.TCPConn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // ends a read in progress
	c.reading.Lock()
	defer c.reading.Unlock()
	input := io.LimitReader(c.TCPConn, lingerBytes)
	end := time.Now().Add(lingerLimit)
	for before := -1; time.Now().Before(end); {
		c.TCPConn.SetReadDeadline(earlier(time.Now().Add(lingerTime), end)) //nolint:errcheck // as above
		_, err := io.Copy(io.Discard, input)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		_, unsent := c.queued()
		if unsent == 0 || unsent == before {
			return
		}
		before = unsent
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// WaitLingering waits until the last bytes of closed connections have been delivered, for lingerTime
// at most, or until ctx ends. The end of the process would reset these connections.
func (l *Listener) WaitLingering(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	for l.lingering.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, lingerPoll)
	}
}
