package daemon

import (
	"io"
	"runtime"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// registerGauges registers the metrics that are read from the daemon's state. requestMetrics adds
// those of requests.
func (d *RegistryDaemon) registerGauges() {
	set := d.metrics
	set.NewGauge("cowslip_ready", func() float64 { return boolGauge(d.snapshot.Load() != nil) })
	set.NewGauge("cowslip_leaving", func() float64 { return boolGauge(d.leaving.Load()) })
	set.NewGauge("cowslip_routes_of_unknown_kind", func() float64 { return float64(d.unknownKinds.Load()) })
	set.NewGauge("cowslip_organisations", func() float64 { return float64(d.organisations().Count()) })
	set.NewGauge("cowslip_organisations_limited", func() float64 { return float64(d.organisations().Limited()) })
	set.NewGauge("cowslip_organisation_faults", func() float64 { return float64(d.organisationFaults.Load()) })
	set.NewGauge("cowslip_registry_age_seconds", func() float64 { return d.feed.Age().Seconds() })
	set.NewGauge("cowslip_registry_reader", func() float64 { return boolGauge(d.feed.Reading()) })
	set.NewGauge("cowslip_registry_followers", func() float64 { return float64(d.feed.Followers()) })
	if d.keys != nil {
		set.NewGauge("cowslip_keys_confirmed_age_seconds", d.keysConfirmedAge)
	}
	set.NewGauge("cowslip_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	set.RegisterMetricsWriter(d.writeFeedMetrics)
	set.RegisterMetricsWriter(d.quota.writeMetrics)
}

// organisations returns the organisations in force, nil if there are none.
func (d *RegistryDaemon) organisations() *catalog.Organisations {
	if snapshot := d.snapshot.Load(); snapshot != nil {
		return snapshot.Organisations()
	}
	return nil
}

// writeFeedMetrics writes the counts of the feed, and of the requests of organisations.
func (d *RegistryDaemon) writeFeedMetrics(w io.Writer) {
	stats := d.feed.Stats()
	metrics.WriteCounterUint64(w, "cowslip_registry_sent_bytes_total", stats.SentBytes)
	metrics.WriteCounterUint64(w, "cowslip_registry_full_states_total", stats.FullStates)
	metrics.WriteCounterUint64(w, "cowslip_registry_configuration_bytes_total", stats.ConfigurationBytes)
	metrics.WriteCounterUint64(w, "cowslip_registry_refused_transfers_total", stats.RefusedTransfers)
	metrics.WriteCounterUint64(w, "cowslip_registry_failed_transfers_total", stats.FailedTransfers)
	metrics.WriteCounterUint64(w, "cowslip_registry_broken_streams_total", stats.BrokenStreams)
	metrics.WriteCounterUint64(w, "cowslip_registry_searches_total", stats.Searches)
	requests, refused := d.entry.OrganisationUse()
	metrics.WriteCounterUint64(w, "cowslip_organisation_requests_total", requests)
	metrics.WriteCounterUint64(w, "cowslip_organisation_failures_total", refused)
}

// noteUnknownKinds counts and logs the routes of a new configuration whose kind this version does
// not know.
func (d *RegistryDaemon) noteUnknownKinds(c *registry.Configuration) {
	count := 0
	for i := range c.Routes {
		if r := &c.Routes[i]; r.UnknownKind != "" {
			count++
			d.log.Part("registry").Warn("A route has an unknown kind; its requests run at most once.", "route", r.Name, "kind", r.UnknownKind, "version", c.Version)
		}
	}
	d.unknownKinds.Store(int64(count))
}
