package scenario

import (
	"fmt"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// floorWatch polls all daemons and notes when more backend servers of a service are out than its floor allows. A round of polls
// is no snapshot, so a backend server counts as out only when it is in the same ejection in two rounds in a row: then it was out
// at the moment between the rounds, and what is counted were out together.
type floorWatch struct {
	world    *world
	services []contract.Service
	done     chan struct{}
	once     sync.Once
	finished sync.WaitGroup

	rounds int
	found  []string
}

func watchFloor(w *world, services []contract.Service) *floorWatch {
	f := &floorWatch{world: w, services: services, done: make(chan struct{})}
	f.finished.Go(f.run)
	return f
}

// stop ends the watch and returns what it found.
func (f *floorWatch) stop() []string {
	f.once.Do(func() { close(f.done) })
	f.finished.Wait()
	if f.rounds == 0 {
		return append(f.found, "the floor was never looked at")
	}
	return f.found
}

func (f *floorWatch) run() {
	var before map[string]time.Time
	for {
		select {
		case <-f.done:
			return
		case <-time.After(pollInterval):
		}
		now := f.outSince()
		for _, svc := range f.services {
			f.compare(svc, before, now)
		}
		before = now
		f.rounds++
	}
}

// outSince returns the backend servers that are out, with the start of their mode.
func (f *floorWatch) outSince() map[string]time.Time {
	out := map[string]time.Time{}
	for id, b := range f.world.backends() {
		if mode := b.Ejection.State.Mode.String(); mode == ejection.Ejected.String() || mode == ejection.Probing.String() {
			out[id] = b.Ejection.Since
		}
	}
	return out
}

func (f *floorWatch) compare(svc contract.Service, before, now map[string]time.Time) {
	var out []string
	for _, b := range svc.BackendServers {
		if since, ok := now[b.ID]; ok && before[b.ID].Equal(since) {
			out = append(out, b.ID)
		}
	}
	total := len(svc.BackendServers)
	floor := (total*svc.FloorPercent + 99) / 100
	if len(out) > total-floor {
		f.found = append(f.found, fmt.Sprintf("service %s: %v were out together, at most %d of %d may be", svc.Service, out, total-floor, total))
	}
}
