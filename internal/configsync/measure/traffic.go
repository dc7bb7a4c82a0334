package measure

import (
	"context"
	"net"
	"sync/atomic"
)

// traffic counts the bytes on the sockets of one daemon and the connections that it opened. HTTP/2
// frames and headers are included, TCP and IP headers are not. It may be used concurrently.
type traffic struct{ sent, received, dials atomic.Uint64 }

func (t *traffic) total() uint64 { return t.sent.Load() + t.received.Load() }

// dial opens a connection that counts its bytes.
func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	t.dials.Add(1)
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, t}, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept returns a connection that counts its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.traffic}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read counts the received bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write counts the sent bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
