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

// registerGauges registers the metrics that are read from the daemon's state. requestMetrics adds
// those of requests. No metric has a label for the customer: 37,000 customers would be too many
// series.
func (d *Daemon) registerGauges() {
	set := d.metrics
	set.NewGauge("cowslip_ready", func() float64 { return boolGauge(d.snapshot() != nil) })
	set.NewGauge("cowslip_leaving", func() float64 { return boolGauge(d.home.Leaving()) })
	set.NewGauge("cowslip_config_index_revision", func() float64 { return float64(d.configSync.IndexRevision()) })
	set.NewGauge("cowslip_config_findings", func() float64 { return float64(len(d.config.Findings())) })
	set.NewGauge("cowslip_operation_keys", func() float64 { return float64(d.operations.Stats().Entries) })
	set.NewGauge("cowslip_operation_bytes", func() float64 { return float64(d.operations.Stats().Bytes) })
	set.NewGauge("cowslip_limits_customers", func() float64 { return float64(d.shares.Customers()) })
	set.NewGauge("cowslip_platform_calls", func() float64 { return float64(d.platform.calls()) })
	set.NewGauge("cowslip_control_bytes_sent_total", func() float64 { return float64(d.controlTraffic.Sent()) })
	set.NewGauge("cowslip_control_bytes_received_total", func() float64 { return float64(d.controlTraffic.Received()) })
	set.NewGauge("cowslip_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	set.RegisterMetricsWriter(d.writeConfigMetrics)
	set.RegisterMetricsWriter(d.writeBackendMetrics)
}

// writeConfigMetrics writes the metrics of configuration distribution. They share one status,
// because configsync computes it under its lock and counts all values for it.
func (d *Daemon) writeConfigMetrics(w io.Writer) {
	st := d.configSync.Status()
	metrics.WriteGaugeUint64(w, "cowslip_config_values_missing", uint64(max(st.IndexValues-st.Held, 0)))
	metrics.WriteGaugeUint64(w, "cowslip_config_values_refused", uint64(len(st.Refused)))
	metrics.WriteGaugeUint64(w, "cowslip_config_conflicts", uint64(len(st.Conflicts)))
	age := st.Platform.Age
	if !st.Platform.Heard {
		age = 0 // nothing was received yet, so there is no age
	}
	metrics.WriteGaugeFloat64(w, "cowslip_platform_age_seconds", age.Seconds())
	metrics.WriteGaugeFloat64(w, "cowslip_platform_down", boolGauge(st.Platform.Down))
	metrics.WriteGaugeFloat64(w, "cowslip_platform_behind", boolGauge(st.Platform.Behind))
	metrics.WriteGaugeUint64(w, "cowslip_peers_failing", uint64(len(st.Members.Failing)))
	metrics.WriteCounterUint64(w, "cowslip_peer_bytes_sent_total", st.Bytes.Sent)
	metrics.WriteCounterUint64(w, "cowslip_peer_bytes_received_total", st.Bytes.Received)
}

// writeBackendMetrics writes the numbers of this VM's backend servers by mode, of overrides and of
// ejections.
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

// boolGauge returns 1 for true and 0 for false.
func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// requestMetrics counts the requests of callers by service and outcome. It implements
// entry.Observer.
type requestMetrics struct{ set *metrics.Set }

// Answered records a response of a backend server, the time until its header was available and the
// number of tries.
func (m requestMetrics) Answered(service string, took time.Duration, tries int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_requests_total{service=%q,outcome="answered"}`, service)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cowslip_request_seconds{service=%q}`, service)).Update(took.Seconds())
	if tries > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_retries_total{service=%q}`, service)).Add(tries - 1)
	}
}

// CrossRegionBytes returns a function that counts the body bytes of a service sent to and received
// from other regions.
func (m requestMetrics) CrossRegionBytes(service string) func(bytes int) {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_other_region_bytes_total{service=%q}`, service)).Add
}

// BrokenOff records a response that broke off after its header was sent.
func (m requestMetrics) BrokenOff(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_responses_broken_off_total{service=%q}`, service)).Inc()
}

// Refused records a request that the proxy answered with an error of its own.
func (m requestMetrics) Refused(kind errkind.Kind) {
	answer := kind.Answer()
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_request_errors_total{kind=%q,outcome=%q}`, answer.Name, answer.Outcome)).Inc()
}
