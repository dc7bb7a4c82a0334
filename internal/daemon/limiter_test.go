package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/limits"
)

// newTestLimiter returns a limiter for vm1 and the holder of all limits, on holderVM.
func newTestLimiter(holderVM string) (*limiter, *limits.Holder) {
	plan := limits.Plan{Daemons: 10, RegionWeight: 1}
	view := limits.NewView([]string{holderVM})
	holder := limits.NewHolder(time.Now(), holderVM, plan)
	holder.SetView(time.Now(), view)
	shares := limits.NewLimiter(time.Now(), limits.Sender{VM: "vm1", Incarnation: 1}, plan)
	shares.SetView(view)
	return &limiter{shares: shares, sharesWanted: make(chan struct{}, 1)}, holder
}

// Guards against a request that is refused because it arrives before its daemon has a share,
// instead of waiting for one, and against repeated checks for a share that are reported to the
// holder as further requests.
func TestRequestWaitsForShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, holder := newTestLimiter("vm1")
		time.Sleep(time.Minute) // a new holder grants nothing until earlier shares have expired
		c := &catalog.Customer{Name: "grocer", Limits: contract.Limits{RatePerSecond: 100, Burst: 100, Concurrency: 50}}
		asked := uint64(0)
		ticker := time.NewTicker(limits.TickInterval)
		defer ticker.Stop()
		go func() {
			for {
				select {
				case <-t.Context().Done():
					return
				case <-ticker.C:
				}
				for _, out := range l.shares.Tick(time.Now()) {
					asked = max(asked, out.Request.Demands[0].RateMilli)
					l.shares.Apply(time.Now(), out, holder.Handle(time.Now(), out.Request, func(string) (contract.Limits, bool) { return c.Limits, true }))
				}
			}
		}()
		for i := range 5 {
			if err := l.Admit(t.Context(), c); err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
		}
		// Five requests within a tick are at most 50 a second. Checks every 5 ms for 250 ms would
		// count as far more.
		if asked > 60_000 {
			t.Errorf("the holder was asked for %d requests a second", asked/1000)
		}
	})
}

// Guards against a flood above the limit whose waiting requests pile up in memory without bound.
func TestWaitingRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLimiter("vm2") // a holder that never answers
		c := &catalog.Customer{Name: "grocer", Limits: contract.Limits{RatePerSecond: 1, Burst: 1, Concurrency: 50}}
		for range maxWaitingRequests + 500 {
			go l.Admit(t.Context(), c)
		}
		synctest.Wait()
		if n := l.waiting.Load(); n > maxWaitingRequests {
			t.Errorf("%d requests wait, want at most %d", n, maxWaitingRequests)
		}
		if err := l.Admit(t.Context(), c); errkind.Of(err) != errkind.RateLimited && errkind.Of(err) != errkind.ConcurrencyLimited {
			t.Errorf("a request above the bound got %v", err)
		}
	})
}
