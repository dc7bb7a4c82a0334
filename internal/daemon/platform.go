package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/platform"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// platformClient calls the platform's configuration service. It uses one address until a call
// fails, so that a watch and the reads after it see the same server, and then the next address. It
// is safe for concurrent use.
type platformClient struct {
	clients []*platform.Client
	// current is the index of the client in use.
	current atomic.Int32
}

// newPlatformClient returns a client for all addresses of the settings, of which there must be at
// least one.
func newPlatformClient(s settings.Platform) *platformClient {
	p := &platformClient{}
	for _, url := range s.URLs {
		p.clients = append(p.clients, platform.New(platform.Options{BaseURL: url, Timeout: time.Duration(s.RequestTimeout)}))
	}
	return p
}

// callWithFailover calls f with the current client and returns its result. After any error of the
// platform but platform.NotFound, later calls use the next address. It does not retry.
func callWithFailover[T any](p *platformClient, f func(*platform.Client) (T, error)) (T, error) {
	index := p.current.Load()
	result, err := f(p.clients[index])
	var failure *platform.Error
	if errors.As(err, &failure) && failure.Kind != platform.NotFound {
		p.current.CompareAndSwap(index, (index+1)%int32(len(p.clients)))
	}
	return result, err
}

// Changes implements configsync.Platform.
func (p *platformClient) Changes(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
	return callWithFailover(p, func(c *platform.Client) (platform.Changes, error) { return c.Changes(ctx, after, wait) })
}

// Value implements configsync.Platform.
func (p *platformClient) Value(ctx context.Context, name string) (platform.Value, error) {
	return callWithFailover(p, func(c *platform.Client) (platform.Value, error) { return c.Value(ctx, name) })
}

// VMs implements configsync.Platform.
func (p *platformClient) VMs(ctx context.Context) (platform.VMList, error) {
	return callWithFailover(p, func(c *platform.Client) (platform.VMList, error) { return c.VMs(ctx) })
}

// calls returns the number of calls made to all addresses.
func (p *platformClient) calls() uint64 {
	var n uint64
	for _, c := range p.clients {
		n += c.Calls()
	}
	return n
}
