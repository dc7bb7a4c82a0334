package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fairFleet is one holder and some entries on a network without loss.
type fairFleet struct {
	now    time.Time
	holder *Holder
	users  []*User
}

func newFairFleet(entries int) *fairFleet {
	f := &fairFleet{now: testTime, holder: readyHolder("h", "h")}
	for i := range entries {
		u := NewUser(testTime, Sender{fmt.Sprint("e", i), 1}, onePlan)
		u.SetView(NewView([]string{"h"}))
		f.users = append(f.users, u)
	}
	return f
}

// run offers load[i] requests per tick at entry i and returns how many were admitted.
func (f *fairFleet) run(d time.Duration, load []int) []int {
	admitted := make([]int, len(load))
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(TickInterval) {
		for i, u := range f.users {
			for j := range load[i] {
				if u.Admit(f.now.Add(time.Duration(j)*TickInterval/time.Duration(load[i])), acme).OK {
					admitted[i]++
					u.Release(acme.Name)
				}
			}
		}
		for _, u := range f.users {
			tick := f.now.Add(TickInterval)
			for _, o := range u.Tick(tick) {
				u.Apply(tick, o, f.holder.Handle(tick, o.Request, limitsOf))
			}
		}
	}
	return admitted
}

// Every entry with lasting demand must reach its fair part within three leases, whoever had the part before.
func TestNothingStarves(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		f := newFairFleet(5)
		load := make([]int, len(f.users))
		for range 2 {
			for i := range load {
				load[i] = []int{0, 1, 3, 10, 50}[r.IntN(5)]
			}
			f.run(3*Lease, load)
			level := fairLevel(90, len(load), func(i int) uint64 { return uint64(load[i]) * 10 })
			for i, got := range f.run(Lease, load) {
				fair := min(uint64(load[i])*10, level) * uint64(Lease/time.Second)
				if uint64(got)*100 < fair*90 {
					t.Fatalf("entry %d with loads %v got %d requests in a lease, fair are %d", i, load, got, fair)
				}
			}
		}
	}
}

// Traffic that moves to another entry must not wait for the old share to end: in the second after a move at least a quarter, and
// after that nearly all requests must be admitted.
func TestTrafficMoves(t *testing.T) {
	f := newFairFleet(2)
	f.run(3*Lease, []int{8, 0})
	if got := f.run(time.Second, []int{0, 8})[1]; got < 20 {
		t.Errorf("%d of 80 requests admitted in the first second", got)
	}
	f.run(2*time.Second, []int{0, 8})
	if got := f.run(time.Second, []int{0, 8})[1]; got < 76 {
		t.Errorf("%d of 80 requests admitted in the fourth second", got)
	}
}
