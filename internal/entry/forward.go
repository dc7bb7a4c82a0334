package entry

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

const maxTries = 3

// forward has the request served and passes the response to the caller.
func (e *Entry) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) error {
	t, err := e.tries(ctx, r, c)
	if err != nil {
		return err
	}
	t.pass(w)
	return nil
}

// tries tries backend servers until one answers or no further try is allowed.
func (e *Entry) tries(ctx context.Context, r *http.Request, c *call) (*try, error) {
	var last error = errkind.New(errkind.NoBackend, "service "+c.service.Name+" has no backend server to try")
	tried := map[string]bool{}
	for range maxTries {
		backend := pick(c.service, tried)
		if backend == nil {
			return nil, last
		}
		tried[backend.ID] = true
		t := &try{call: c, backend: backend, vm: backend.VM.ID, address: backend.VM.PeerAddress}
		last = t.do(ctx, e.transport, r)
		if last == nil {
			return t, nil
		}
		if !e.mayRetry(ctx, c, last) {
			return nil, last
		}
	}
	return nil, last
}

func (e *Entry) mayRetry(ctx context.Context, c *call, err error) bool {
	if ctx.Err() != nil || !c.body.repeatable() {
		return false
	}
	return errkind.Of(err).Answer().RetryElsewhere || c.repeatable
}

func pick(service *catalog.Service, tried map[string]bool) *catalog.BackendServer {
	start := rand.IntN(len(service.BackendServers))
	for i := range service.BackendServers {
		b := service.BackendServers[(start+i)%len(service.BackendServers)]
		if !tried[b.ID] {
			return b
		}
	}
	return nil
}
