package daemon

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// admissionOptions returns the options of waiting requests, or nil if the settings do not select
// queues.
func admissionOptions(s *settings.Registry, set *metrics.Set) *entry.AdmissionOptions {
	if s.Admission != settings.AdmissionQueue {
		return nil
	}
	return &entry.AdmissionOptions{Inner: isInner, Waiting: newWaitMetrics(set)}
}

// isInner reports whether the requests of a route are made by work that is already running. Where
// callers have keys, calls of backend servers are those that need none.
func isInner(_ *catalog.Customer, r *catalog.Route) bool { return r.Anonymous }

// waitMetrics counts the requests of callers that wait for room. It implements entry.WaitObserver.
type waitMetrics struct {
	set     *metrics.Set
	waiting atomic.Int64
}

func newWaitMetrics(set *metrics.Set) *waitMetrics {
	m := &waitMetrics{set: set}
	set.NewGauge("cowslip_waiting_requests", func() float64 { return float64(m.waiting.Load()) })
	return m
}

// Began records the start of a wait.
func (m *waitMetrics) Began() { m.waiting.Add(1) }

// Ended records the end of a wait.
func (m *waitMetrics) Ended(served bool, waited time.Duration) {
	m.waiting.Add(-1)
	outcome := "failed"
	if served {
		outcome = "served"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cowslip_wait_seconds{outcome=%q}`, outcome)).Update(waited.Seconds())
}

// Refused records a refusal for want of room.
func (m *waitMetrics) Refused(told bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_refusals_total{retry_after="%t"}`, told)).Inc()
}
