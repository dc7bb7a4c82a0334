package home

import (
	"fmt"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/reservation"
	"github.com/cowsliprun/cowsliprun/internal/suspicion"
)

// Apply takes over the backend servers of this VM from a snapshot. Requests in flight to removed
// backend servers finish normally. The errors name services whose detector settings are invalid;
// their backend servers get the default preset if the preset is unknown, and the unmodified preset
// if an override is invalid.
func (h *Home) Apply(snapshot *catalog.Snapshot) []error {
	now := time.Now()
	h.identifiesCallers.Store(snapshot.Organisations() != nil)
	next := map[string]*member{}
	var services []*reservation.Service
	var problems []error
	h.reservationsMu.Lock()
	defer h.reservationsMu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, svc := range snapshot.Services() {
		cfg, err := detectorConfig(svc)
		local := false
		for _, b := range svc.BackendServers {
			// If two services list the same backend server, the snapshot assigns it to one of them.
			// The random order of a map must not decide.
			if b.VM.ID == h.vm && snapshot.BackendServer(b.ID).Service == svc.Name {
				next[b.ID] = h.reuseOrCreate(b, svc, cfg, now)
				local = true
			}
		}
		if !local {
			continue
		}
		services = append(services, reservation.FromCatalog(svc))
		if err != nil {
			problems = append(problems, err)
		}
	}
	h.retireMissing(now, next)
	h.members = next
	h.reservations.Configure(now, services)
	return problems
}

// detectorConfig returns the detector settings of a service. With an error it returns the settings
// to use instead.
func detectorConfig(svc *catalog.Service) (ejection.Config, error) {
	preset, err := ejection.Preset(svc.Preset)
	if err != nil {
		fallback, _ := ejection.Preset(catalog.DefaultPreset)
		return fallback, fmt.Errorf("service %s: %w", svc.Name, err)
	}
	cfg, err := preset.Override(svc.Detector)
	if err != nil {
		return preset, fmt.Errorf("service %s: %w", svc.Name, err)
	}
	return cfg, nil
}

// reuseOrCreate returns the existing member if the backend server has the same address, service and
// start time, and a new one otherwise. The caller holds h.mu.
func (h *Home) reuseOrCreate(b *catalog.BackendServer, svc *catalog.Service, cfg ejection.Config, now time.Time) *member {
	if m := h.members[b.ID]; m != nil && m.address == b.Address && m.service == b.Service && m.started == b.Started {
		m.reconfigure(now, b, svc, cfg)
		return m
	}
	m := newMember(b, svc, cfg, now)
	if h.queue {
		m.slots.useQueue()
	}
	if h.suspicion != nil {
		m.suspicionFilter = suspicion.New(*h.suspicion, now)
		m.sheddingFilter = suspicion.New(suspicion.Shedding(), now)
		m.onSuspicionChange = func(suspect bool, gray float64) {
			h.logSuspicion(m, suspect, gray)
			if suspect && h.queue {
				m.slots.refuseWaiters(suspectError(m))
			}
		}
	}
	return m
}

// retireMissing moves members that are not in next to h.retired. Their requests in flight finish. A
// member whose siblings hold a promise that it stays in service is served until those reservations
// end, because homes that have not seen the change rely on it. The caller holds h.reservationsMu and
// h.mu.
func (h *Home) retireMissing(now time.Time, next map[string]*member) {
	kept := h.retired[:0]
	for _, r := range h.retired {
		if inFlight, _, _ := r.member.slots.load(); inFlight > 0 || now.Before(r.until) {
			kept = append(kept, r)
		}
	}
	h.retired = kept
	for id, m := range h.members {
		if next[id] != m {
			h.retired = append(h.retired, retired{m, h.reservations.HeldUntil(id)})
		}
	}
}
