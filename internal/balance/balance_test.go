package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newService returns a service with backend servers b0, b1, … on VMs v0, v1, …. The data centres
// are given as "region/number" with a region name of one letter.
func newService(floor, slots int, dataCentres ...string) *catalog.Service {
	s := &catalog.Service{Name: "s", Floor: floor}
	for i, dataCentre := range dataCentres {
		vm := &catalog.VM{ID: fmt.Sprint("v", i), Locality: catalog.Locality{Region: dataCentre[:1], DataCentre: dataCentre}}
		s.BackendServers = append(s.BackendServers, &catalog.BackendServer{ID: fmt.Sprint("b", i), Slots: slots, VM: vm})
	}
	return s
}

func newBalancer() *Balancer {
	return New(Options{Locality: catalog.Locality{Region: "n", DataCentre: "n/1"}, Random: rand.NewPCG(1, 2), Now: epoch})
}

func pick(t *testing.T, b *Balancer, now time.Time, r PickRequest) Choice {
	t.Helper()
	c, err := b.Pick(now, r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against equal backend servers that get unequal shares, and against a choice that ignores
// latency. One of eight backend servers is five times as slow as the others.
func TestRequestsFollowLatencyAndSplitEvenly(t *testing.T) {
	svc := newService(6, 5, slices.Repeat([]string{"n/1"}, 8)...)
	b, now := newBalancer(), epoch
	counts := map[string]int{}
	for i := range 16000 {
		now = now.Add(time.Millisecond)
		c := pick(t, b, now, PickRequest{Service: svc})
		latency := 10 * time.Millisecond
		if c.Backend.ID == "b0" {
			latency *= 5
		}
		if i >= 8000 {
			counts[c.Backend.ID]++
		}
		b.Finished(now, c, Response{Latency: latency, ServiceTime: latency})
	}
	// The slow one gets only the exploring choices, a quarter of an even share (250). Without them
	// its home would have no evidence, and with more of them callers would notice. The others share
	// evenly.
	if counts["b0"] < 200 || counts["b0"] > 300 {
		t.Errorf("the slow backend server got %d of 8000 requests, want 200 to 300", counts["b0"])
	}
	for i := 1; i < 8; i++ {
		if n := counts[fmt.Sprint("b", i)]; n < 950 || n > 1350 {
			t.Errorf("b%d got %d of 8000 requests, want 950 to 1350: %v", i, n, counts)
		}
	}
	base := b.Baseline(now, "s")
	if base.ServiceTime != 10*time.Millisecond || base.ErrorShare != 0 || base.Members < 7 {
		t.Errorf("baseline %v follows the slow backend server, want 10 ms without errors", base)
	}
	if back, err := ParseBaseline(base.String()); err != nil || back != base {
		t.Errorf("baseline %v came back as %v, %v", base, back, err)
	}
}

// Guards against flooding a backend server that returns, with 64 concurrent requests. It must get a
// single request while no state is known, and no more than its allowed concurrency while it ramps
// up.
func TestReturningBackendServerIsNotFlooded(t *testing.T) {
	svc := newService(3, 100, slices.Repeat([]string{"n/1"}, 4)...)
	b := newBalancer()
	b.Abandoned(epoch, pick(t, b, epoch, PickRequest{Service: svc}))
	b.Update(epoch, "s", "b0", State{Slots: 100, Mode: Ejected, Remaining: 5 * time.Second})
	// countAtOnce starts 64 requests at once, ends them, and returns how many b0 got.
	countAtOnce := func(now time.Time) (n int) {
		var wg sync.WaitGroup
		choices := make([]Choice, 64)
		for i := range choices {
			wg.Go(func() {
				c, err := b.Pick(now, PickRequest{Service: svc})
				if err != nil {
					t.Error(err)
				}
				choices[i] = c
			})
		}
		wg.Wait()
		for _, c := range choices {
			if c.Backend.ID == "b0" {
				n++
			}
			b.Finished(now, c, Response{Latency: time.Millisecond})
		}
		return n
	}
	if n := countAtOnce(epoch.Add(4 * time.Second)); n != 0 {
		t.Errorf("b0 got %d requests while ejected", n)
	}
	if n := countAtOnce(epoch.Add(5 * time.Second)); n != 1 {
		t.Errorf("b0 got %d concurrent requests on return, want 1", n)
	}
	b.Update(epoch.Add(6*time.Second), "s", "b0", State{Slots: 100, Allowed: 3, Mode: Ramping, Remaining: time.Second})
	if n := countAtOnce(epoch.Add(6 * time.Second)); n != 3 {
		t.Errorf("b0 got %d concurrent requests while 3 are allowed", n)
	}
	b.Update(epoch.Add(8*time.Second), "s", "b0", State{Slots: 100, Mode: Active})
	if n := countAtOnce(epoch.Add(8 * time.Second)); n < 8 {
		t.Errorf("b0 got %d of 64 requests when active again, want at least 8", n)
	}
}

// Guards against a suspect backend server that gets its full share of the requests, and against one
// that gets none, so that the suspicion is never confirmed or cleared.
func TestSuspectGetsReducedShare(t *testing.T) {
	svc := newService(3, 5, slices.Repeat([]string{"n/1"}, 4)...)
	b, n := newBalancer(), 0
	for i := range 4000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		c := pick(t, b, now, PickRequest{Service: svc})
		if c.Backend.ID == "b0" {
			n++
		}
		b.Update(now, "s", "b0", State{Slots: 5, Allowed: 2, Mode: Suspect})
		b.Finished(now, c, Response{Latency: time.Millisecond})
	}
	if n < 200 || n > 800 {
		t.Errorf("a suspect backend server, one of four, got %d of 4000 requests, want 200 to 800", n)
	}
}

// Guards against requests that leave the data centre or the region without need, and against ones
// that spill to the other region without permission.
func TestLocalityAndSpill(t *testing.T) {
	svc := newService(1, 2, "n/1", "n/2", "s/1")
	b := newBalancer()
	pickMany := func(spill bool, n int) (got []string) {
		for range n {
			c, err := b.Pick(epoch, PickRequest{Service: svc, Spill: spill})
			if err != nil {
				return append(got, errkind.Of(err).String())
			}
			if c.Spilled != (c.Backend.ID == "b2") {
				t.Errorf("%s spilled = %v", c.Backend.ID, c.Spilled)
			}
			got = append(got, c.Backend.ID)
			defer b.Abandoned(epoch, c)
		}
		return got
	}
	if got := pickMany(true, 6); !slices.Equal(got, []string{"b0", "b0", "b1", "b1", "b2", "b2"}) {
		t.Errorf("with spill: %v", got)
	}
	if got := pickMany(false, 12); slices.Contains(got, "b2") || len(got) != 12 {
		t.Errorf("without spill: %v", got)
	}
	for _, id := range []string{"b0", "b1"} {
		b.Update(epoch, "s", id, State{Slots: 2, Allowed: 1, Mode: Ramping, Remaining: time.Second})
	}
	if got := pickMany(false, 3); !slices.Equal(got, []string{"b0", "b1", "slots_full"}) {
		t.Errorf("while all ramp up: %v", got)
	}
	_, err := b.Pick(epoch, PickRequest{Service: svc, Exclude: []string{"b0", "b1"}})
	if errkind.Of(err) != errkind.NoBackend {
		t.Errorf("all of the own region excluded: %v", err)
	}
}

// Guards against an entry that avoids more backend servers than the floor allows, and against
// readmitting another than the one avoided longest.
func TestFloorReadmitsLongestAvoided(t *testing.T) {
	svc := newService(3, 5, slices.Repeat([]string{"n/1"}, 5)...)
	b := newBalancer()
	b.Abandoned(epoch, pick(t, b, epoch, PickRequest{Service: svc}))
	for i, at := range []int{2, 0, 1} {
		b.Update(epoch.Add(time.Duration(at)*time.Second), "s", fmt.Sprint("b", i), State{Slots: 5, Mode: Ejected, Remaining: time.Minute})
	}
	now := epoch.Add(3 * time.Second)
	b.Update(now, "s", "b3", State{Slots: 5, Mode: Draining})
	var readmitted, skipped []string
	for _, c := range b.Explain(now, "s") {
		if c.Readmitted {
			readmitted = append(readmitted, c.Backend)
		} else if c.SkipReason != "" {
			skipped = append(skipped, c.Backend)
		}
	}
	if !slices.Equal(readmitted, []string{"b1"}) || !slices.Equal(skipped, []string{"b0", "b2", "b3"}) {
		t.Errorf("readmitted %v, want b1; skipped %v, want b0, b2 and b3", readmitted, skipped)
	}
	for range 20 {
		c := pick(t, b, now, PickRequest{Service: svc, Exclude: []string{"b4"}})
		if c.Backend.ID != "b1" || !c.Readmitted {
			t.Fatalf("chose %s, want b1 readmitted", c.Backend.ID)
		}
		b.Refused(now, c, errkind.Ejected)
	}
}

// Guards against an entry that avoids everything because its own network is broken, and against
// state of idle services and paths that is never dropped.
func TestOpenMajorityIsIgnoredAndIdleStateExpires(t *testing.T) {
	svc := newService(0, 50, slices.Repeat([]string{"n/1"}, 5)...)
	b := newBalancer()
	failPath := func(n int) (skipped int) {
		var exclude []string
		for i := range 5 {
			if i != n {
				exclude = append(exclude, fmt.Sprint("b", i))
			}
		}
		for range consecutiveFailureThreshold {
			b.Failed(epoch, pick(t, b, epoch, PickRequest{Service: svc, Exclude: exclude}), false)
		}
		for _, c := range b.Explain(epoch, "s") {
			if c.SkipReason != "" {
				skipped++
			}
		}
		return skipped
	}
	for i := range 5 {
		b.Finished(epoch, pick(t, b, epoch, PickRequest{Service: svc, Exclude: slices.DeleteFunc([]string{"b0", "b1", "b2", "b3", "b4"}, func(id string) bool { return id == fmt.Sprint("b", i) })}), Response{Latency: time.Millisecond})
	}
	if a, c, d := failPath(0), failPath(1), failPath(2); a != 1 || c != 2 || d != 0 {
		t.Errorf("skipped %d, %d, %d with 1, 2, 3 of 5 paths open; want 1, 2, 0", a, c, d)
	}
	b.Expire(epoch.Add(idleExpiry))
	b.Expire(epoch.Add(idleExpiry))
	if services, paths := b.Sizes(); services != 0 || paths != 0 || b.paths.mostOpen() || b.paths.known.Load() != 0 {
		t.Errorf("%d services and %d paths have state without traffic", services, paths)
	}
}

// Guards against a header that changes when it is written and parsed, and against invalid values
// and values of a later version that are parsed wrongly.
func TestStateHeaderRoundTrip(t *testing.T) {
	s := State{InFlight: 2, Slots: 5, Allowed: 3, Mode: Ramping, Remaining: 1200 * time.Millisecond}
	if back, err := ParseState(s.String()); err != nil || back != s {
		t.Errorf("%v came back as %v, %v", s, back, err)
	}
	if got, err := ParseState("in=1;later=x;mode=napping;ms=999999999"); err != nil || got.Mode != Unknown || got.Remaining != maxRemaining {
		t.Errorf("header of a later version: %+v, %v", got, err)
	}
	if _, err := ParseState("in=-1"); err == nil {
		t.Error("negative count accepted")
	}
}

// BenchmarkPick measures Pick and Finished, which run for each request.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 16, 20} {
		svc := newService(n*7/10, 5, slices.Repeat([]string{"n/1", "n/2", "s/1", "s/2"}, n/4)...)
		b.Run(fmt.Sprint("N=", n), func(b *testing.B) {
			lb, now := newBalancer(), epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c, err := lb.Pick(now, PickRequest{Service: svc, Spill: true})
				if err != nil {
					b.Fatal(err)
				}
				lb.Finished(now, c, Response{Latency: 10 * time.Millisecond, ServiceTime: 9 * time.Millisecond})
			}
		})
		b.Run(fmt.Sprint("parallel/N=", n), func(b *testing.B) {
			lb := newBalancer()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if c, err := lb.Pick(epoch, PickRequest{Service: svc, Spill: true}); err == nil {
						lb.Finished(epoch, c, Response{Latency: 10 * time.Millisecond})
					}
				}
			})
		})
	}
}

// Guards against an entry that chooses a dead backend server of its own data centre again and
// again, which empties the retry budget. Also guards against avoiding more than the floor allows,
// or for ever.
func TestUnreachableIsAvoidedForLimitedTime(t *testing.T) {
	svc := newService(2, 5, "n/1", "n/1", "n/2", "n/2")
	b := newBalancer()
	for _, exclude := range []string{"b1", "b0"} {
		b.Refused(epoch, pick(t, b, epoch, PickRequest{Service: svc, Exclude: []string{exclude}}), errkind.BackendUnreachable)
	}
	for range 20 {
		c := pick(t, b, epoch, PickRequest{Service: svc})
		if c.Backend.ID != "b2" && c.Backend.ID != "b3" {
			t.Fatalf("chose %s, which its home cannot reach", c.Backend.ID)
		}
		b.Finished(epoch, c, Response{Latency: time.Millisecond})
	}
	later := epoch.Add(unreachableAvoidTime / 2)
	b.Refused(later, pick(t, b, later, PickRequest{Service: svc, Exclude: []string{"b0", "b1", "b3"}}), errkind.BackendUnreachable)
	readmitted := 0
	for _, c := range b.Explain(later, "s") {
		if c.Readmitted {
			readmitted++
		}
	}
	if readmitted != 1 {
		t.Errorf("%d of 3 unreachable backend servers are readmitted with a floor of 2 of 4, want 1", readmitted)
	}
	end := epoch.Add(unreachableAvoidTime)
	if c := pick(t, b, end, PickRequest{Service: svc}); c.Backend.ID != "b0" && c.Backend.ID != "b1" {
		t.Errorf("chose %s although those of the own data centre are no longer avoided", c.Backend.ID)
	}
}

// Guards against requests to a backend server whose home holds them back, and against a request
// that insists but gets the one most likely to have a gray failure.
func TestHeldBackServersAreAvoidedUnlessInsisted(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	svc := &catalog.Service{Name: "s", Floor: 1}
	for _, id := range []string{"a", "b", "c"} {
		svc.BackendServers = append(svc.BackendServers, &catalog.BackendServer{ID: id, Service: "s", Slots: 5, VM: &catalog.VM{ID: "vm-" + id}})
	}
	b := New(Options{Random: rand.NewPCG(1, 1), Now: now})
	holdBackAll := func(gray map[string]int) {
		for len(gray) > 0 {
			c, err := b.Pick(now, PickRequest{Service: svc, Insist: true, Exclude: []string{"c"}})
			if err != nil {
				t.Fatal(err)
			}
			b.Update(now, "s", c.Backend.ID, State{Slots: 5, Allowed: 5, Mode: Active, Gray: gray[c.Backend.ID]})
			b.Refused(now, c, errkind.BackendSuspect)
			delete(gray, c.Backend.ID)
		}
	}
	holdBackAll(map[string]int{"a": 90, "b": 45})
	for range 20 {
		c, err := b.Pick(now, PickRequest{Service: svc})
		if err != nil || c.Backend.ID != "c" {
			t.Fatalf("chose %v, error %v, want c", c.Backend, err)
		}
		b.Finished(now, c, Response{Latency: time.Millisecond})
	}
	if _, err := b.Pick(now, PickRequest{Service: svc, Exclude: []string{"c"}}); errkind.Of(err) != errkind.NoBackend {
		t.Errorf("error %v when all others are held back, want no_backend", err)
	}
	for range 20 {
		c, err := b.Pick(now, PickRequest{Service: svc, Exclude: []string{"c"}, Insist: true})
		if err != nil || c.Backend.ID != "b" {
			t.Fatalf("chose %v, error %v, want b, the less likely gray one", c.Backend, err)
		}
		b.Abandoned(now, c)
	}
	if c, err := b.Pick(now.Add(heldBackTime+heldBackTimeGray), PickRequest{Service: svc, Exclude: []string{"b", "c"}}); err != nil || c.Backend.ID != "a" {
		t.Errorf("chose %v, error %v after heldBackTime, want a", c.Backend, err)
	}
}
