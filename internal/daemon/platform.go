package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/platform"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// platformClient reads the configuration service through the first address that answers. It stays with an address until that
// one fails, so that a watch and the reads after it see the same server.
type platformClient struct {
	clients []*platform.Client
	current atomic.Int32
}

func newPlatformClient(s settings.Platform) *platformClient {
	p := &platformClient{}
	for _, url := range s.URLs {
		p.clients = append(p.clients, platform.New(platform.Options{BaseURL: url, Timeout: time.Duration(s.RequestTimeout)}))
	}
	return p
}

// firstAnswer calls f with the current client. An unreachable server makes the next call use the next address.
func firstAnswer[T any](p *platformClient, f func(*platform.Client) (T, error)) (T, error) {
	at := p.current.Load()
	result, err := f(p.clients[at])
	var failure *platform.Error
	if errors.As(err, &failure) && failure.Kind != platform.NotFound {
		p.current.CompareAndSwap(at, (at+1)%int32(len(p.clients)))
	}
	return result, err
}

// Changes implements configsync.Platform.
func (p *platformClient) Changes(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
	return firstAnswer(p, func(c *platform.Client) (platform.Changes, error) { return c.Changes(ctx, after, wait) })
}

// Value implements configsync.Platform.
func (p *platformClient) Value(ctx context.Context, name string) (platform.Value, error) {
	return firstAnswer(p, func(c *platform.Client) (platform.Value, error) { return c.Value(ctx, name) })
}

// VMs implements configsync.Platform.
func (p *platformClient) VMs(ctx context.Context) (platform.VMList, error) {
	return firstAnswer(p, func(c *platform.Client) (platform.VMList, error) { return c.VMs(ctx) })
}

// calls returns the number of calls made to all addresses.
func (p *platformClient) calls() uint64 {
	var n uint64
	for _, c := range p.clients {
		n += c.Calls()
	}
	return n
}
