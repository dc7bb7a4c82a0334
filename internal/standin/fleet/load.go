package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// LoadOptions of NewLoad.
type LoadOptions struct {
	// Path is looked up with the API key Key.
	Path, Key string
	// Interval is the time between two lookups. They go to the daemons in turn.
	Interval time.Duration
	// LateAfter is the time after which an answer counts as late, Timeout the one after which a lookup has failed.
	LateAfter, Timeout time.Duration
}

// Load sends lookups at a constant rate through all daemons and counts how they end.
type Load struct {
	options LoadOptions
	fleet   *Fleet
	client  *http.Client

	// Answered counts the answers in time.
	Answered, Late, Failed atomic.Int64
	lastFailure            atomic.Value
}

// loadConnections are the idle connections kept to each daemon, so that a lookup seldom waits for a new one.
const loadConnections = 256

// NewLoad returns a load that Run starts.
func (f *Fleet) NewLoad(o LoadOptions) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: loadConnections}
	return &Load{options: o, fleet: f, client: &http.Client{Timeout: o.Timeout, Transport: transport}}
}

// Run sends lookups until ctx ends.
func (l *Load) Run(ctx context.Context) {
	var urls []string
	for _, vm := range l.fleet.Documents().VMs {
		urls = append(urls, l.fleet.CallersURL(vm.VM)+l.options.Path)
	}
	Every(ctx, l.options.Interval, func(i int) { go l.lookup(ctx, urls, i) })
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

// lookup sends one lookup to the daemons in turn, beginning with the one at first. As any caller of a fleet should, it goes on to the
// next one when a daemon is not there or has no configuration yet: then nothing of the request ran.
func (l *Load) lookup(ctx context.Context, urls []string, first int) {
	start := time.Now()
	var got Answer
	for i := range urls {
		got = Lookup(ctx, l.client, urls[(first+i)%len(urls)], l.options.Key)
		if !got.isUnready() {
			break
		}
	}
	took := time.Since(start)
	switch {
	case ctx.Err() != nil:
	case got.Err != nil || got.Status != http.StatusOK:
		l.Failed.Add(1)
		l.lastFailure.Store(got.String())
	case took > l.options.LateAfter:
		l.Late.Add(1)
	default:
		l.Answered.Add(1)
	}
}

// LastFailure says why the last failed lookup failed, or is empty.
func (l *Load) LastFailure() string {
	text, _ := l.lastFailure.Load().(string)
	return text
}

// Answer is what a caller got for one lookup at one address.
type Answer struct {
	Status int
	Header http.Header
	// Err is the failure to get a whole answer.
	Err error
}

func (a Answer) kind() string { return a.Header.Get(forward.HeaderErrorKind) }

func (a Answer) isUnready() bool {
	var op *net.OpError
	return errors.As(a.Err, &op) && op.Op == "dial" || a.kind() == errkind.NoConfiguration.String()
}

func (a Answer) String() string {
	if a.Err != nil {
		return a.Err.Error()
	}
	return fmt.Sprintf("status %d %s", a.Status, a.kind())
}

// Lookup sends one GET with the API key and reads the whole answer.
func Lookup(ctx context.Context, client *http.Client, url, key string) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return Answer{resp.StatusCode, resp.Header, err}
}
