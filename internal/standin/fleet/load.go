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

// LoadOptions configure NewLoad.
type LoadOptions struct {
	// Path is the path of each lookup, Key the API key sent with it.
	Path, Key string
	// Interval is the time between the starts of two lookups.
	Interval time.Duration
	// LateAfter is the time after which a response counts as late. Timeout limits one request to
	// one daemon.
	LateAfter, Timeout time.Duration
}

// Load sends lookups at a constant rate to all daemons in turn and counts their results. Its
// methods and counters are safe for concurrent use.
type Load struct {
	options LoadOptions
	fleet   *Fleet
	client  *http.Client

	// Answered counts responses with status 200 within LateAfter, Late the slower ones, and Failed
	// all other results.
	Answered, Late, Failed atomic.Int64
	// lastFailure holds the result of the last failed lookup as a string.
	lastFailure atomic.Value
}

// maxIdleConnsPerDaemon bounds the idle connections to each daemon. It is large, so that a lookup
// seldom waits for a new connection.
const maxIdleConnsPerDaemon = 256

// NewLoad returns a load on the fleet. It sends nothing before Run.
func (f *Fleet) NewLoad(o LoadOptions) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerDaemon}
	return &Load{options: o, fleet: f, client: &http.Client{Timeout: o.Timeout, Transport: transport}}
}

// Run sends lookups until ctx ends. It does not wait for lookups in flight; those that end after
// ctx are not counted.
func (l *Load) Run(ctx context.Context) {
	var urls []string
	for _, vm := range l.fleet.Documents().VMs {
		urls = append(urls, l.fleet.CallersURL(vm.VM)+l.options.Path)
	}
	Every(ctx, l.options.Interval, func(i int) { go l.lookup(ctx, urls, i) })
}

// Every calls do with 0, 1, 2 and so on, once per interval, until ctx ends. The schedule is fixed
// at the start: after a delay it catches up, so that the average rate stays. Calls do not overlap.
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

// lookup sends one lookup, beginning with the daemon at index first. Like any caller of a fleet
// should, it tries the next daemon when one refuses the connection or has no configuration yet:
// then the request certainly did not run.
func (l *Load) lookup(ctx context.Context, urls []string, first int) {
	start := time.Now()
	var got Answer
	for i := range urls {
		got = Lookup(ctx, l.client, urls[(first+i)%len(urls)], l.options.Key)
		if !got.isNotReady() {
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

// LastFailure returns the reason of the last failed lookup, or an empty string.
func (l *Load) LastFailure() string {
	text, _ := l.lastFailure.Load().(string)
	return text
}

// Answer is the result of one request to one daemon.
type Answer struct {
	// Status and Header are those of the response, zero if there was none.
	Status int
	Header http.Header
	// Err is the error that prevented a complete response, or nil.
	Err error
}

func (a Answer) errorKind() string { return a.Header.Get(forward.HeaderErrorKind) }

// isNotReady reports whether no connection was made or the daemon has no configuration yet.
func (a Answer) isNotReady() bool {
	var op *net.OpError
	return errors.As(a.Err, &op) && op.Op == "dial" || a.errorKind() == errkind.NoConfiguration.String()
}

// String returns the error, or the status with the error kind.
func (a Answer) String() string {
	if a.Err != nil {
		return a.Err.Error()
	}
	return fmt.Sprintf("status %d %s", a.Status, a.errorKind())
}

// Lookup sends a GET request with the API key and reads the response to its end.
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
