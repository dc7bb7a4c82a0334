package scenario

import (
	"fmt"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// floorMonitor polls all daemons and records when more backend servers of a service are out of
// service than its floor allows. A poll asks the daemons one after another and is no consistent
// snapshot. Therefore a backend server counts as out only if two polls in a row show it in the
// same ejection: then it was out at the moment between the polls, together with all others that
// count.
type floorMonitor struct {
	harness  *harness
	services []contract.Service
	stopping chan struct{}
	stopOnce sync.Once
	worker   sync.WaitGroup

	rounds     int
	violations []string
}

// startFloorMonitor starts to monitor the floors of the services.
func startFloorMonitor(h *harness, services []contract.Service) *floorMonitor {
	f := &floorMonitor{harness: h, services: services, stopping: make(chan struct{})}
	f.worker.Go(f.run)
	return f
}

// stop ends the monitor and returns the violations that it found. A monitor that never polled has a
// violation too.
func (f *floorMonitor) stop() []string {
	f.stopOnce.Do(func() { close(f.stopping) })
	f.worker.Wait()
	if f.rounds == 0 {
		return append(f.violations, "the floor monitor ended before its first poll")
	}
	return f.violations
}

// run polls until stop is called.
func (f *floorMonitor) run() {
	var before map[string]time.Time
	for {
		select {
		case <-f.stopping:
			return
		case <-time.After(pollInterval):
		}
		now := f.outOfServiceSince()
		for _, svc := range f.services {
			f.checkFloor(svc, before, now)
		}
		before = now
		f.rounds++
	}
}

// outOfServiceSince returns the ejected and probing backend servers, with the time at which their
// ejection state last changed.
func (f *floorMonitor) outOfServiceSince() map[string]time.Time {
	out := map[string]time.Time{}
	for id, b := range f.harness.backendStatuses() {
		if mode := b.Ejection.State.Mode.String(); mode == ejection.Ejected.String() || mode == ejection.Probing.String() {
			out[id] = b.Ejection.Since
		}
	}
	return out
}

// checkFloor records a violation if more backend servers of a service than the floor allows were
// out between two polls.
func (f *floorMonitor) checkFloor(svc contract.Service, before, now map[string]time.Time) {
	var out []string
	for _, b := range svc.BackendServers {
		if since, ok := now[b.ID]; ok && before[b.ID].Equal(since) {
			out = append(out, b.ID)
		}
	}
	total := len(svc.BackendServers)
	floor := (total*svc.FloorPercent + 99) / 100
	if len(out) > total-floor {
		f.violations = append(f.violations, fmt.Sprintf("service %s: backend servers %v were out of service together, the floor allows at most %d of %d", svc.Service, out, total-floor, total))
	}
}
