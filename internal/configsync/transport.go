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
	// maxHeadBytes bounds the head of a response. net/http allows 10 MB by default.
	maxHeadBytes = 64 << 10
	// maxMessageBytes bounds a message. It fits one value of 1 MiB that does not compress, with
	// its name.
	maxMessageBytes = 2 << 20
	// valueBatchBytes bounds the values of one message, unless it holds a single larger one.
	valueBatchBytes = 1 << 20
	// exchangeTimeout bounds Exchange, and Push without values; valuesTimeout bounds Pull, and
	// Push with values. The link between regions carries 1 MiB in 0.3 s when it is idle.
	exchangeTimeout = 2 * time.Second
	valuesTimeout   = 5 * time.Second
	dialTimeout     = time.Second
	// pingIdleTime is how long a connection receives nothing before it is pinged, pingTimeout
	// how long the answer may take. They close a connection whose peer stopped answering, which
	// all further calls would use otherwise.
	pingIdleTime = 8 * time.Second
	pingTimeout  = 3 * time.Second
	// maxClients bounds the clients kept, one per address. A daemon has 11 peers.
	maxClients = 64
	// compressMinBytes is the size from which messages other than those of Pull are compressed.
	// Values are compressed already.
	compressMinBytes = 1 << 10
)

// PeerClient calls other daemons at an address host:port. An error counts as a failure of the peer
// to answer. Implementations must be safe for concurrent use.
type PeerClient interface {
	Exchange(ctx context.Context, address string, request *peerapi.ExchangeRequest) (*peerapi.ExchangeResponse, error)
	Push(ctx context.Context, address string, request *peerapi.PushRequest) (*peerapi.PushResponse, error)
	Pull(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullResponse, error)
}

// Client is a PeerClient over HTTP/2 without TLS. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	bytes *byteCounts

	mu      sync.Mutex
	clients map[string]peerapiconnect.PeerServiceClient
}

// NewClient returns a client. If dial is nil, it uses a net.Dialer with a timeout of 1 s.
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
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{http: &http.Client{Transport: transport}, bytes: &byteCounts{}, clients: map[string]peerapiconnect.PeerServiceClient{}}
}

// Close closes idle connections. Calls in progress go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Bytes returns the totals of message bytes sent and received, without HTTP headers.
func (c *Client) Bytes() (sent, received uint64) { return c.bytes.sent.Load(), c.bytes.received.Load() }

// clientFor returns the client of an address. When maxClients are kept, it drops them all first;
// their connections stay open.
func (c *Client) clientFor(address string) peerapiconnect.PeerServiceClient {
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

// Exchange implements PeerClient, with a timeout of 2 s.
func (c *Client) Exchange(ctx context.Context, address string, request *peerapi.ExchangeRequest) (*peerapi.ExchangeResponse, error) {
	return call(ctx, c, exchangeTimeout, c.clientFor(address).Exchange, request)
}

// Push implements PeerClient, with a timeout of 2 s, or of 5 s when the request has values.
func (c *Client) Push(ctx context.Context, address string, request *peerapi.PushRequest) (*peerapi.PushResponse, error) {
	timeout := exchangeTimeout
	if len(request.GetValues()) > 0 {
		timeout = valuesTimeout
	}
	return call(ctx, c, timeout, c.clientFor(address).Push, request)
}

// Pull implements PeerClient, with a timeout of 5 s.
func (c *Client) Pull(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullResponse, error) {
	return call(ctx, c, valuesTimeout, c.clientFor(address).Pull, request)
}

// call makes one call within the timeout and counts the bytes of its messages.
func call[Q, P any](ctx context.Context, c *Client, timeout time.Duration,
	method func(context.Context, *connect.Request[Q]) (*connect.Response[P], error), request *Q,
) (*P, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.bytes.sent.Add(messageBytes(request))
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	c.bytes.received.Add(messageBytes(response.Msg))
	return response.Msg, nil
}

// messageBytes returns the encoded size of a protobuf message.
func messageBytes(message any) uint64 {
	if m, ok := message.(proto.Message); ok {
		return uint64(proto.Size(m))
	}
	return 0
}

// HandlerOptions returns the options of the peer service: bounds of the message size, and
// compression of all responses of at least compressMinBytes but those of Pull. The daemon passes
// them to NewPeerServiceHandler.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithConditionalHandlerOptions(func(spec connect.Spec) []connect.HandlerOption {
			if spec.Procedure == peerapiconnect.PeerServicePullProcedure {
				return []connect.HandlerOption{connect.WithCompressMinBytes(math.MaxInt32)}
			}
			return []connect.HandlerOption{connect.WithCompressMinBytes(compressMinBytes)}
		}),
	}
}
