package forward

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timeouts of connections between daemons; dialTimeout also applies to backend servers.
const (
	dialTimeout = time.Second
	// A connection that has received nothing for PeerOptions.PingAfter is tested with a ping. It is
	// closed if the ping is not answered within pingTimeout. Otherwise a one-way partition would
	// leave it open, because TCP alone keeps it for many minutes.
	defaultPingAfter = 2 * time.Second
	pingTimeout      = 2 * time.Second
	// defaultIdleTimeout is how long a connection may have no request before it is closed.
	defaultIdleTimeout = 90 * time.Second
	// unacknowledgedTimeout is how long sent data may stay unacknowledged by the peer's kernel
	// before the connection is closed. The next request then gets a new one.
	unacknowledgedTimeout = 2 * time.Second
	// A connection without traffic is probed by the kernel, and closed after about keepAliveIdle +
	// keepAliveCount*keepAliveInterval without an answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// HTTP/2 receive buffers of connections between daemons.
const (
	// StreamBufferBytes limits the bytes of one body that wait for a slow reader. With the default
	// of net/http, 4 MiB at the client, a stalled download took 4.3 MB. A stream of 30 Mbit/s over
	// the 40 ms link between regions needs 150 KB.
	StreamBufferBytes = 256 << 10
	// ConnectionBufferBytes limits the bytes of all request bodies of one entry that wait at a
	// home. With the default, 1 MiB, a few stalled uploads blocked all others on the connection.
	ConnectionBufferBytes = 64 << 20
)

// DialFunc opens a connection. Tests replace it to count bytes or to cut connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PeerOptions are the settings of NewPeerTransport. Zero values select the defaults.
type PeerOptions struct {
	// Dial opens connections. Default: a dialer with a timeout of 1 s whose connections end soon
	// after their peer has vanished.
	Dial DialFunc
	// IdleTimeout is how long a connection may have no request before it is closed. Default: 90 s.
	IdleTimeout time.Duration
	// PingAfter is the time without traffic after which a connection is tested with a ping, which
	// costs both processes work. It shows that a process hangs although its kernel responds.
	// Default: 2 s.
	PingAfter time.Duration
}

// NewPeerTransport returns an unencrypted HTTP/2 transport for requests to other daemons.
func NewPeerTransport(o PeerOptions) *http.Transport {
	if o.Dial == nil {
		o.Dial = peerDialer().DialContext
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.PingAfter == 0 {
		o.PingAfter = defaultPingAfter
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:           o.Dial,
		Protocols:             protocols,
		DisableCompression:    true,
		IdleConnTimeout:       o.IdleTimeout,
		ExpectContinueTimeout: time.Hour, // the deadline of the request applies instead
		// A home daemon adds its own headers to those of a backend server.
		MaxResponseHeaderBytes: 2 * maxResponseHeadBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: StreamBufferBytes,
			SendPingTimeout:           o.PingAfter,
			PingTimeout:               pingTimeout,
			WriteByteTimeout:          defaultPingAfter + pingTimeout,
		},
	}
}

// peerDialer returns a dialer whose connections end soon after their peer has vanished, without any
// work of the process.
func peerDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout, Control: limitUnacknowledged,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
}
