package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
)

// handshakeTime is how long Drain waits for handshakes that clients have begun: a round trip to a
// distant client. A client whose first packet arrives in this time is refused when it sends the
// packet again.
const handshakeTime = 100 * time.Millisecond

// Listener is a net.Listener with a limit of open connections. It is safe for concurrent use, but
// only one goroutine may call Accept.
type Listener struct {
	inner *net.TCPListener
	// slots holds one element per open connection. It is nil if there is no limit.
	slots chan struct{}
	// draining is closed when Drain has ended new handshakes, drained when the accept queue is
	// empty and the socket is closed.
	draining, drained chan struct{}
	drainOnce         sync.Once
	closeOnce         sync.Once
	// lingering counts the closed connections whose last bytes are being delivered.
	lingering atomic.Int64
}

// Listen opens a listener that keeps at most maxConnections open, or any number if that is 0.
// Further connections wait in the accept queue.
func Listen(address string, maxConnections int) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{inner: inner.(*net.TCPListener), draining: make(chan struct{}), drained: make(chan struct{})}
	if maxConnections > 0 {
		l.slots = make(chan struct{}, maxConnections)
	}
	return l, nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Close implements net.Listener. It resets connections that were not accepted; Drain does not.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.drained) })
	return l.inner.Close()
}

// Accept implements net.Listener. After Drain it returns the connections that wait, regardless of
// the limit, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquire() {
		return l.acceptWaiting()
	}
	c, err := l.inner.Accept()
	if err == nil {
		return l.track(c, true), nil
	}
	l.release()
	if l.isDraining() {
		return l.acceptWaiting()
	}
	return nil, err
}

// Drain stops listening: it ends new handshakes, lets Accept return the connections that clients
// have opened, and closes the socket. It returns when that is done, or at the end of ctx, when the
// socket is closed at once. Something must call Accept meanwhile.
func (l *Listener) Drain(ctx context.Context) {
	l.drainOnce.Do(func() {
		// Without this, a client whose handshake ends as the socket closes is reset.
		if refuseHandshakes(l.inner) == nil {
			pause.For(ctx, handshakeTime)
		}
		close(l.draining)
		l.inner.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // it fails only if the socket is closed
	})
	select {
	case <-l.drained:
	case <-ctx.Done():
		l.Close() //nolint:errcheck // it is closed either way
	}
}

func (l *Listener) isDraining() bool {
	select {
	case <-l.draining:
		return true
	default:
		return false
	}
}

// acquire waits until a connection may be accepted. It returns false once the listener drains.
func (l *Listener) acquire() bool {
	if l.slots == nil {
		return !l.isDraining()
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.draining:
		return false
	case <-l.drained:
		return false
	}
}

func (l *Listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// track returns a connection whose Close delivers what was sent, and frees its place within the limit if
// it takes one.
func (l *Listener) track(c net.Conn, hasPlace bool) net.Conn {
	if l.slots == nil {
		return c
	}
	return &conn{TCPConn: c.(*net.TCPConn), listener: l, hasPlace: hasPlace}
}

// acceptWaiting returns the next connection of the accept queue without waiting. If there is none,
// it closes the socket and returns net.ErrClosed.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	c, err := l.takeWaiting()
	if err != nil {
		l.Close() //nolint:errcheck // err tells more
		if errors.Is(err, syscall.EAGAIN) {
			return nil, net.ErrClosed
		}
		return nil, err
	}
	return l.track(c, false), nil
}

// takeWaiting accepts a connection that waits. If there is none, it stops listening and returns an
// error that wraps syscall.EAGAIN.
func (l *Listener) takeWaiting() (net.Conn, error) {
	raw, err := l.inner.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(nil)
	// Control works although the deadline of the listener has passed.
	err = raw.Control(func(listening uintptr) {
		for {
			fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if acceptErr != syscall.EINTR && acceptErr != syscall.ECONNABORTED {
				break
			}
		}
		if acceptErr == syscall.EAGAIN {
			// Closing the socket takes longer, and connections could arrive meanwhile.
			syscall.Shutdown(int(listening), syscall.SHUT_RD) //nolint:errcheck // Close follows
		}
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	file := os.NewFile(uintptr(fd), "connection")
	defer file.Close()
	return net.FileConn(file)
}
