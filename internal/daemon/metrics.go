package daemon

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// addGauges registers the gauges that read the daemon's state. Counters and histograms of requests are added by entry and
// home. No metric has a label per customer: 37,000 of them would be too many series.
func (d *Daemon) addGauges() {
	set := d.metrics
	set.NewGauge("cowslip_ready", func() float64 { return boolGauge(d.snapshot() != nil) })
	set.NewGauge("cowslip_leaving", func() float64 { return boolGauge(d.home.Leaving()) })
	set.NewGauge("cowslip_config_index_revision", func() float64 { return float64(d.sync.IndexRevision()) })
	set.NewGauge("cowslip_config_findings", func() float64 { return float64(len(d.book.Findings())) })
	set.NewGauge("cowslip_operation_keys", func() float64 { return float64(d.memory.Stats().Entries) })
	set.NewGauge("cowslip_operation_bytes", func() float64 { return float64(d.memory.Stats().Bytes) })
	set.NewGauge("cowslip_limits_customers", func() float64 { return float64(d.shares.Customers()) })
	set.NewGauge("cowslip_platform_calls", func() float64 { return float64(d.platform.calls()) })
	set.NewGauge("cowslip_control_bytes_sent_total", func() float64 { return float64(d.control.Sent()) })
	set.NewGauge("cowslip_control_bytes_received_total", func() float64 { return float64(d.control.Received()) })
	set.NewGauge("cowslip_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	set.RegisterMetricsWriter(d.writeConfigMetrics)
	set.RegisterMetricsWriter(d.writeBackendMetrics)
}

// writeConfigMetrics writes what the status of the propagation holds. One status serves all of them, because it takes the lock
// of the propagation and counts the values.
func (d *Daemon) writeConfigMetrics(w io.Writer) {
	st := d.sync.Status()
	metrics.WriteGaugeUint64(w, "cowslip_config_values_missing", uint64(max(st.IndexValues-st.Held, 0)))
	metrics.WriteGaugeUint64(w, "cowslip_config_values_refused", uint64(len(st.Refused)))
	metrics.WriteGaugeUint64(w, "cowslip_config_conflicts", uint64(len(st.Conflicts)))
	age := st.Platform.Age
	if !st.Platform.Heard {
		age = 0 // the time since a moment that never was
	}
	metrics.WriteGaugeFloat64(w, "cowslip_platform_age_seconds", age.Seconds())
	metrics.WriteGaugeFloat64(w, "cowslip_platform_down", boolGauge(st.Platform.Down))
	metrics.WriteGaugeFloat64(w, "cowslip_platform_behind", boolGauge(st.Platform.Behind))
	metrics.WriteGaugeUint64(w, "cowslip_peers_failing", uint64(len(st.Members.Failing)))
	metrics.WriteCounterUint64(w, "cowslip_peer_bytes_sent_total", st.Bytes.Sent)
	metrics.WriteCounterUint64(w, "cowslip_peer_bytes_received_total", st.Bytes.Received)
}

// writeBackendMetrics counts the backend servers of this VM by mode, and their ejections.
func (d *Daemon) writeBackendMetrics(w io.Writer) {
	var counts [ejection.Draining + 1]uint64
	ejections, overrides := 0, uint64(0)
	for _, e := range d.home.Explain(time.Now()) {
		counts[e.Ejection.State.Mode]++
		ejections += e.Ejection.Ejections
		if e.Ejection.Override != ejection.NoOverride {
			overrides++
		}
	}
	for mode, n := range counts {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`cowslip_backend_servers{mode=%q}`, ejection.Mode(mode)), n)
	}
	metrics.WriteGaugeUint64(w, "cowslip_backend_overrides", overrides)
	metrics.WriteGaugeUint64(w, "cowslip_backend_ejections", uint64(ejections))
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// requestMetrics counts callers' requests by how they ended.
type requestMetrics struct{ set *metrics.Set }

// Answered records a response of a backend server and the time until its header was ready.
func (m requestMetrics) Answered(service string, took time.Duration, tries int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_requests_total{service=%q,outcome="answered"}`, service)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cowslip_request_seconds{service=%q}`, service)).Update(took.Seconds())
	if tries > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_retries_total{service=%q}`, service)).Add(tries - 1)
	}
}

// OtherRegion returns the counter of body bytes to and from other regions.
func (m requestMetrics) OtherRegion(service string) func(bytes int) {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_other_region_bytes_total{service=%q}`, service)).Add
}

// Refused records a request that ended with an error of the system.
func (m requestMetrics) Refused(kind errkind.Kind) {
	answer := kind.Answer()
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_request_errors_total{kind=%q,outcome=%q}`, answer.Name, answer.Outcome)).Inc()
}
