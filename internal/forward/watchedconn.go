package forward

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// watchedConn records whether a read is pending on the connection. net/http reads from an idle
// connection only when its buffer is empty. A pending read therefore proves that nothing of earlier
// responses is left.
type watchedConn struct {
	net.Conn
	readPending, closed atomic.Bool
	// idle is set while no response is expected. surplus is set when bytes arrive then.
	idle, surplus atomic.Bool
	// newResponse is set when a response to another request is expected. head checks its head, and
	// invalid is the error of that. The reading goroutine owns both.
	newResponse atomic.Bool
	head        headCheck
	invalid     error

	// writeMu is held during a write, and guards writeErr, which is the error of the first write
	// that failed.
	writeMu  sync.Mutex
	writeErr error
	// inputEnded is closed once nothing more can be read.
	inputEnded chan struct{}
	endInput   func()
}

func newWatchedConn(conn net.Conn) *watchedConn {
	c := &watchedConn{Conn: conn, inputEnded: make(chan struct{})}
	c.endInput = sync.OnceFunc(func() { close(c.inputEnded) })
	return c
}

// errSurplus ends a connection on which bytes arrive that no request asked for.
var errSurplus = errors.New("bytes arrived on an idle connection")

// errReset is returned in place of io.EOF for a connection that did not end with a FIN.
var errReset = errors.New("the connection was reset or lost")

// Read implements net.Conn and marks the read as pending while it blocks. It returns io.EOF only if
// the peer has sent everything and then a FIN, and no part of a head that is invalid.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.readPending.Store(true)
	n, err := c.Conn.Read(p)
	c.readPending.Store(false)
	if n > 0 {
		if c.idle.Load() {
			c.surplus.Store(true)
			c.invalid = errSurplus
		}
		if c.newResponse.CompareAndSwap(true, false) {
			c.head = headCheck{}
		}
		if c.invalid == nil {
			c.invalid = c.head.check(p[:n])
		}
	}
	if c.invalid != nil {
		n, err = 0, c.invalid // on each read, because net/http may ignore an error once
	}
	if err != nil {
		if err == io.EOF && !c.endedProperly() {
			err = errReset
		}
		c.endInput()
	}
	return n, err
}

// Write implements net.Conn. It reports a failure only after the input has ended: net/http closes
// the connection on a failed write, and a response that arrived before the failure would be lost.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.writeMu.Unlock()
	if err != nil {
		<-c.inputEnded
	}
	return n, err
}

// endedProperly reports whether a connection at whose end a read has returned io.EOF has ended with
// a FIN. After a reset, or after the peer has vanished, the kernel reports the error to one system
// call only. If a write gets it, reads return io.EOF. If in doubt, the result is false.
func (c *watchedConn) endedProperly() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // not a socket
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	end, err := readEnd(raw)
	switch {
	case err != nil:
		return false
	case end == endFIN:
		return true
	case end == endUnknown:
		return false
	}
	// The connection no longer exists, so a write in progress returns at once. EPIPE as the first
	// error of a connection means that its reset came after a FIN, any other that there was no FIN.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return errors.Is(c.writeErr, syscall.EPIPE)
	}
	return pendingError(raw) == syscall.EPIPE
}

// Close implements net.Conn and records that the connection is closed.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	c.endInput()
	return c.Conn.Close()
}

// hasUnreadInput reports whether bytes or the end of the connection are waiting in the socket. It
// returns false for connections that are not sockets.
func (c *watchedConn) hasUnreadInput() bool {
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
	// Control is used because Read would wait for net/http's pending read.
	if err := raw.Control(func(fd uintptr) {
		var n int
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n > 0 {
			c.surplus.Store(true)
		}
	}); err != nil {
		return true
	}
	return peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
}
