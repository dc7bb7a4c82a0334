package forward

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Time limits of connections between daemons.
const (
	dialTimeout = time.Second
	// A connection without traffic from the other side for pingAfter is tested, and closed when the test is not answered within
	// pingTimeout. This ends connections across a one-way partition, which TCP alone keeps for many minutes.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
)

// Receive buffers of HTTP/2 between daemons.
const (
	// StreamBufferBytes bounds the bytes of one body that wait for a slow reader. The default of net/http, 4 MiB at the client,
	// let a stalled download take 4.3 MB. A stream of 30 Mbit/s over 40 ms, the link between regions, needs 150 KB.
	StreamBufferBytes = 256 << 10
	// ConnectionBufferBytes bounds those of all request bodies of one entry at a home. The default, 1 MiB, let a few stalled uploads
	// stop all others of the connection.
	ConnectionBufferBytes = 64 << 20
)

// DialFunc opens a connection. Tests replace it to count bytes or to cut connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPeerTransport returns the HTTP/2 transport for requests to other daemons.
func NewPeerTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:           dial,
		Protocols:             protocols,
		DisableCompression:    true,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: time.Hour, // the request's own deadline applies
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: StreamBufferBytes,
			SendPingTimeout:           pingAfter,
			PingTimeout:               pingTimeout,
			WriteByteTimeout:          pingAfter + pingTimeout,
		},
	}
}
