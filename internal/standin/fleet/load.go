package fleet

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// LoadOptions of NewLoad.
type LoadOptions struct {
	// Path is looked up with the API key Key.
	Path, Key string
	// Interval is the time between two lookups. They go to the daemons in turn.
	Interval time.Duration
	// LateAfter is the time after which an answer counts as late, Timeout the one after which a lookup has failed.
	LateAfter, Timeout time.Duration
	// InTime is told the time of each answer that is not late. It may be nil.
	InTime func(took time.Duration)
}

// Load sends lookups at a constant rate through all daemons and counts how they end.
type Load struct {
	options LoadOptions
	fleet   *Fleet
	client  *http.Client

	// Answered counts the answers in time.
	Answered, Late, Failed atomic.Int64
}

// loadConnections are the idle connections kept to each daemon, so that a lookup seldom waits for a new one.
const loadConnections = 256

// NewLoad returns a load that Run starts.
func (f *Fleet) NewLoad(o LoadOptions) *Load {
	if o.InTime == nil {
		o.InTime = func(time.Duration) {}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: loadConnections}
	return &Load{options: o, fleet: f, client: &http.Client{Timeout: o.Timeout, Transport: transport}}
}

// Run sends lookups until ctx ends.
func (l *Load) Run(ctx context.Context) {
	vms := l.fleet.Documents().VMs
	Every(ctx, l.options.Interval, func(i int) {
		go l.lookup(ctx, l.fleet.CallersURL(vms[i%len(vms)].VM)+l.options.Path)
	})
}

// Every calls do at a constant rate until ctx ends. A call that comes late does not delay those after it.
func Every(ctx context.Context, interval time.Duration, do func(i int)) {
	start := time.Now()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(i) * interval))):
			do(i)
		}
	}
}

func (l *Load) lookup(ctx context.Context, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		l.Failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+l.options.Key)
	start := time.Now()
	resp, err := l.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took := time.Since(start)
	switch {
	case ctx.Err() != nil:
	case err != nil || resp.StatusCode != http.StatusOK:
		l.Failed.Add(1)
	case took > l.options.LateAfter:
		l.Late.Add(1)
	default:
		l.Answered.Add(1)
		l.options.InTime(took)
	}
}
