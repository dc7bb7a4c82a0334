package configsync

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
)

const (
	// maxMessageBytes bounds a message: one value of up to 1 MiB that does not compress, with its names.
	maxMessageBytes = 2 << 20
	// valuesBytes is the content after which a message takes no further value.
	valuesBytes = 1 << 20
	// exchangeTimeout bounds Exchange and Push without values, pullTimeout messages with values. The link between regions
	// carries 1 MiB in 0.3 s when it is free.
	exchangeTimeout = 2 * time.Second
	pullTimeout     = 5 * time.Second
	dialTimeout     = time.Second
	// pingAfter and pingTimeout close a connection whose peer stopped answering; without them all further calls would use it.
	pingAfter   = 8 * time.Second
	pingTimeout = 3 * time.Second
	// maxClients bounds the clients kept, one per address. A peer set has 11.
	maxClients = 64
	// compressFrom is the size from which listings are compressed. Values are compressed already.
	compressFrom = 1 << 10
)

// PeerClient calls other daemons. Errors mean that the peer did not answer.
type PeerClient interface {
	Exchange(ctx context.Context, address string, request *peerapi.ExchangeRequest) (*peerapi.ExchangeResponse, error)
	Push(ctx context.Context, address string, request *peerapi.PushRequest) (*peerapi.PushResponse, error)
	Pull(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullResponse, error)
}

// Client is the PeerClient over HTTP/2 without TLS. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	bytes *byteCounts

	mu      sync.Mutex
	clients map[string]peerapiconnect.PeerServiceClient
}

// NewClient returns a client. A nil dial uses net.Dialer with a timeout of 1 s.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     dial,
		Protocols:       protocols,
		IdleConnTimeout: 2 * time.Minute,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{http: &http.Client{Transport: transport}, bytes: &byteCounts{}, clients: map[string]peerapiconnect.PeerServiceClient{}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Bytes returns the bytes of messages sent and received, without headers.
func (c *Client) Bytes() (sent, received uint64) { return c.bytes.sent.Load(), c.bytes.received.Load() }

func (c *Client) client(address string) peerapiconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		client = peerapiconnect.NewPeerServiceClient(c.http, "http://"+address,
			connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
		c.clients[address] = client
	}
	return client
}

// Exchange calls the procedure of that name.
func (c *Client) Exchange(ctx context.Context, address string, request *peerapi.ExchangeRequest) (*peerapi.ExchangeResponse, error) {
	return call(ctx, c, exchangeTimeout, c.client(address).Exchange, request)
}

// Push calls the procedure of that name.
func (c *Client) Push(ctx context.Context, address string, request *peerapi.PushRequest) (*peerapi.PushResponse, error) {
	timeout := exchangeTimeout
	if len(request.GetValues()) > 0 {
		timeout = pullTimeout
	}
	return call(ctx, c, timeout, c.client(address).Push, request)
}

// Pull calls the procedure of that name.
func (c *Client) Pull(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullResponse, error) {
	return call(ctx, c, pullTimeout, c.client(address).Pull, request)
}

func call[Q, P any](ctx context.Context, c *Client, timeout time.Duration,
	method func(context.Context, *connect.Request[Q]) (*connect.Response[P], error), request *Q,
) (*P, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.bytes.sent.Add(sizeOf(request))
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	c.bytes.received.Add(sizeOf(response.Msg))
	return response.Msg, nil
}

func sizeOf(message any) uint64 {
	if m, ok := message.(proto.Message); ok {
		return uint64(proto.Size(m))
	}
	return 0
}

// HandlerOptions bounds messages and compresses only listings. The daemon passes it to NewPeerServiceHandler.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithConditionalHandlerOptions(func(spec connect.Spec) []connect.HandlerOption {
			if spec.Procedure == peerapiconnect.PeerServicePullProcedure {
				return []connect.HandlerOption{connect.WithCompressMinBytes(math.MaxInt32)}
			}
			return []connect.HandlerOption{connect.WithCompressMinBytes(compressFrom)}
		}),
	}
}
