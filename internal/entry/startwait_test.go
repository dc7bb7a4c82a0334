package entry_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// newStartingEntry returns an entry without a configuration, and a function that gives it one. The
// home daemon responds at once and records the time that it was told is left.
func newStartingEntry(remaining *atomic.Int64) (e *entry.Entry, configure func()) {
	var snapshot atomic.Pointer[catalog.Snapshot]
	configured := make(chan struct{})
	home := homeFunc(func(r *http.Request) (*http.Response, error) {
		reportConnected(r)
		ms, _ := strconv.ParseInt(r.Header.Get(forward.HeaderDeadline), 10, 64)
		remaining.Store(ms)
		return homeResponse(r, "answer"), nil
	})
	e = entry.New(entry.Options{VM: "vm1", Snapshot: snapshot.Load, Transport: home, Configured: configured})
	return e, func() {
		snapshot.Store(snapshotOf("127.0.0.1:1"))
		close(configured)
	}
}

// Guards against callers that are refused in the moment between the start of a daemon and its first
// configuration, and against a deadline that the wait extends.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var remaining atomic.Int64
		e, configure := newStartingEntry(&remaining)
		time.AfterFunc(600*time.Millisecond, configure)
		start := time.Now()
		w := sendRequest(e, "POST", "/orders", "order", forward.HeaderCallerTimeout, "4000")
		if took := time.Since(start); w.Code != 200 || took != 600*time.Millisecond {
			t.Errorf("status %d after %v, want 200 after 600ms", w.Code, took)
		}
		if got := remaining.Load(); got != 3400 {
			t.Errorf("the home daemon was told %d ms, want 3400", got)
		}
	})
}

// Guards against callers that wait in vain: those whose time is short, those of a daemon that gets no
// configuration, and more than a daemon has memory for. They learn that their request has not run.
func TestRequestsDoNotWaitLongForAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var remaining atomic.Int64
		e, configure := newStartingEntry(&remaining)
		refusedAfter := func(timeout string, want time.Duration) {
			start := time.Now()
			w := sendRequest(e, "GET", "/stock/7", "", forward.HeaderCallerTimeout, timeout)
			if took := time.Since(start); w.Code != 503 || w.Header().Get(forward.HeaderOutcome) != "not-run" || took != want {
				t.Errorf("timeout %q: status %d, outcome %q after %v, want 503 and not-run after %v", timeout, w.Code, w.Header().Get(forward.HeaderOutcome), took, want)
			}
		}
		refusedAfter("400", 100*time.Millisecond)
		var crowd sync.WaitGroup
		atOnce := atomic.Int64{}
		for range 1000 {
			crowd.Go(func() {
				start := time.Now()
				if sendRequest(e, "GET", "/stock/7", ""); time.Since(start) == 0 {
					atOnce.Add(1)
				}
			})
		}
		crowd.Wait()
		if n := atOnce.Load(); n != 1000-256 {
			t.Errorf("%d of 1000 requests were refused at once, want all but 256", n)
		}
		refusedAfter("", 0)
		configure()
		if w := sendRequest(e, "GET", "/stock/7", ""); w.Code != 200 {
			t.Errorf("status %d with a configuration", w.Code)
		}
	})
}

// Guards against 404 for a route that was added, at a daemon that knows of a newer configuration but
// does not have it yet.
func TestMissingRouteIsRefusedForNowWhileConfigurationIsOutdated(t *testing.T) {
	table := registry.NewTable()
	routes := []registry.Route{{Host: "shop.example", PathPrefix: "/a/", Parts: []catalog.WeightedService{{Service: "stock", Weight: 1}}}}
	table.Apply(time.Now(), []registry.Change{{Key: "config", Revision: 1, Configuration: &registry.Configuration{Version: 1, Routes: routes}}})
	snapshot, outdated := registry.Build(table, registry.BuildOptions{}), true
	e := entry.New(entry.Options{VM: "vm1", Snapshot: func() *catalog.Snapshot { return snapshot }, Outdated: func() bool { return outdated }})
	if w := sendRequest(e, "GET", "http://shop.example/b/", ""); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("outdated: status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	outdated = false
	if w := sendRequest(e, "GET", "http://shop.example/b/", ""); w.Code != http.StatusNotFound {
		t.Errorf("up to date: status %d", w.Code)
	}
}

// Guards against a refusal for now for a route that was removed, or added, just because a response of
// the store is being read: of what is there within milliseconds the caller gets the outcome.
func TestMissingRouteWaitsForTheConfigurationThatArrives(t *testing.T) {
	for _, c := range []struct {
		name  string
		added bool
		want  int
	}{{"nothing new arrives", false, http.StatusNotFound}, {"the route arrives", true, http.StatusServiceUnavailable}} {
		synctest.Test(t, func(t *testing.T) {
			table := registry.NewTable()
			publish := func(version uint64, prefixes ...string) *catalog.Snapshot {
				var routes []registry.Route
				for _, prefix := range prefixes {
					routes = append(routes, registry.Route{Host: "shop.example", PathPrefix: prefix, Parts: []catalog.WeightedService{{Service: "stock", Weight: 1}}})
				}
				table.Apply(time.Now(), []registry.Change{{Key: "config", Revision: version, Configuration: &registry.Configuration{Version: version, Routes: routes}}})
				return registry.Build(table, registry.BuildOptions{})
			}
			var snapshot atomic.Pointer[catalog.Snapshot]
			var outdated atomic.Bool
			snapshot.Store(publish(1, "/a/"))
			outdated.Store(true)
			e := entry.New(entry.Options{VM: "vm1", Snapshot: snapshot.Load, Outdated: outdated.Load})
			go func() {
				time.Sleep(30 * time.Millisecond)
				if c.added {
					snapshot.Store(publish(2, "/a/", "/b/"))
				}
				outdated.Store(false)
			}()
			begin := time.Now()
			w := sendRequest(e, "GET", "http://shop.example/b/", "")
			if w.Code != c.want || c.added && !strings.Contains(w.Body.String(), "no backend servers") {
				t.Errorf("%s: status %d: %s", c.name, w.Code, w.Body.String())
			}
			if waited := time.Since(begin); waited > 50*time.Millisecond {
				t.Errorf("%s: the answer took %v", c.name, waited)
			}
		})
	}
}
