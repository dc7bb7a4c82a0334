package forward

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of connections: HTTP headers are included, TCP and IP headers are not.
// It is safe for concurrent use.
type Traffic struct {
	sent, received atomic.Uint64
}

// Sent returns the number of bytes written so far.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes read so far.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Dial opens a connection whose bytes are counted. It can serve as a DialFunc.
func (t *Traffic) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: t}, nil
}

// keepAlive is the TCP keep-alive period. It is longer than the default of 15 s, because there are
// many idle control connections and losing one costs little.
const keepAlive = time.Minute

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
