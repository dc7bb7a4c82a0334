package measure

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the payload bytes on the sockets of one daemon, HTTP/2 frames and headers included, TCP and IP headers not.
type traffic struct{ sent, received, dials atomic.Uint64 }

func (t *traffic) total() uint64 { return t.sent.Load() + t.received.Load() }

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	t.dials.Add(1)
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t}, nil
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept wraps the connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read counts what arrived.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write counts what was written.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
