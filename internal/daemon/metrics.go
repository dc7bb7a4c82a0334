package daemon

import (
	"fmt"
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
	set.NewGauge("cowslip_control_bytes_sent", func() float64 { return float64(d.control.Sent()) })
	set.NewGauge("cowslip_control_bytes_received", func() float64 { return float64(d.control.Received()) })
	set.NewGauge("cowslip_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	for mode := ejection.Warming; mode <= ejection.Draining; mode++ {
		set.NewGauge(fmt.Sprintf(`cowslip_backend_servers{mode=%q}`, mode), func() float64 { return float64(d.countMode(mode)) })
	}
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

func (d *Daemon) countMode(mode ejection.Mode) int {
	n := 0
	for _, e := range d.home.Explain(time.Now()) {
		if e.Ejection.State.Mode == mode {
			n++
		}
	}
	return n
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

// Refused records a request that ended with an error of the system.
func (m requestMetrics) Refused(kind errkind.Kind) {
	answer := kind.Answer()
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslip_request_errors_total{kind=%q,outcome=%q}`, answer.Name, answer.Outcome)).Inc()
}
