package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// losslessFleet is one holder and several entries on a network without loss or delay.
type losslessFleet struct {
	now      time.Time
	holder   *Holder
	limiters []*Limiter
}

func newLosslessFleet(entries int) *losslessFleet {
	f := &losslessFleet{now: testTime, holder: readyHolder("h", "h")}
	for i := range entries {
		l := NewLimiter(testTime, Sender{fmt.Sprint("e", i), 1}, oneRegionPlan)
		l.SetView(NewView([]string{"h"}))
		f.limiters = append(f.limiters, l)
	}
	return f
}

// run offers load[i] requests per tick at entry i and returns how many were admitted at each.
func (f *losslessFleet) run(d time.Duration, load []int) []int {
	admitted := make([]int, len(load))
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(TickInterval) {
		for i, l := range f.limiters {
			for j := range load[i] {
				if l.Admit(f.now.Add(time.Duration(j)*TickInterval/time.Duration(load[i])), acme).OK {
					admitted[i]++
					l.Release(acme.Name)
				}
			}
		}
		for _, l := range f.limiters {
			tick := f.now.Add(TickInterval)
			for _, o := range l.Tick(tick) {
				l.Apply(tick, o, f.holder.Handle(tick, o.Request, acmeLimits))
			}
		}
	}
	return admitted
}

// Guards against entries that starve: whichever entries had the quota before, every entry with
// lasting demand must get at least 90% of its fair share after three leases.
func TestEntriesReachFairShare(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		f := newLosslessFleet(5)
		load := make([]int, len(f.limiters))
		for range 2 {
			for i := range load {
				load[i] = []int{0, 1, 3, 10, 50}[r.IntN(5)]
			}
			f.run(3*Lease, load)
			level := fairLevel(90, len(load), func(i int) uint64 { return uint64(load[i]) * 10 })
			for i, got := range f.run(Lease, load) {
				fair := min(uint64(load[i])*10, level) * uint64(Lease/time.Second)
				if uint64(got)*100 < fair*90 {
					t.Fatalf("entry %d with loads %v admitted %d requests in a lease, its fair share is %d", i, load, got, fair)
				}
			}
		}
	}
}

// Guards against traffic that moves to another entry and has to wait until the old share ends. At
// least a quarter of the requests must be admitted in the first second after the move, and 95% in
// the fourth.
func TestShareFollowsMovedTraffic(t *testing.T) {
	f := newLosslessFleet(2)
	f.run(3*Lease, []int{8, 0})
	if got := f.run(time.Second, []int{0, 8})[1]; got < 20 {
		t.Errorf("%d of 80 requests admitted in the first second after the move", got)
	}
	f.run(2*time.Second, []int{0, 8})
	if got := f.run(time.Second, []int{0, 8})[1]; got < 76 {
		t.Errorf("%d of 80 requests admitted in the fourth second after the move", got)
	}
}
