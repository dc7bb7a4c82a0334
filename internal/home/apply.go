package home

import (
	"fmt"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/reservation"
)

// Apply takes over the backend servers of this VM from a snapshot. Requests in flight to removed ones finish normally. The
// errors name services whose detector settings are not usable; their backend servers get the default preset.
func (h *Home) Apply(snapshot *catalog.Snapshot) []error {
	now := time.Now()
	next := map[string]*member{}
	var services []*reservation.Service
	var problems []error
	h.mu.Lock()
	for _, svc := range snapshot.Services() {
		cfg, err := detectorConfig(svc)
		here := false
		for _, b := range svc.BackendServers {
			if b.VM.ID == h.vm {
				next[b.ID] = h.adopt(b, svc, cfg, now)
				here = true
			}
		}
		if !here {
			continue
		}
		services = append(services, reservation.FromCatalog(svc))
		if err != nil {
			problems = append(problems, err)
		}
	}
	h.retire(next)
	h.members = next
	h.mu.Unlock()

	h.reserveMu.Lock()
	h.reservations.Configure(now, services)
	h.reserveMu.Unlock()
	return problems
}

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

// adopt keeps the member of an unchanged backend server, so that a change elsewhere in the service neither ends an ejection
// nor starts a cold start.
func (h *Home) adopt(b *catalog.BackendServer, svc *catalog.Service, cfg ejection.Config, now time.Time) *member {
	if m := h.members[b.ID]; m != nil && m.sameTerms(b, cfg) {
		return m
	}
	return newMember(b, svc, cfg, now)
}

// retire refuses the waiters of members that are not in next and remembers those that still have requests in flight.
func (h *Home) retire(next map[string]*member) {
	kept := h.retired[:0]
	for _, m := range h.retired {
		if inFlight, _, _ := m.slots.load(); inFlight > 0 {
			kept = append(kept, m)
		}
	}
	h.retired = kept
	for id, m := range h.members {
		if next[id] != m {
			m.slots.refuseWaiters(errkind.New(errkind.NotHome, "the backend server left the configuration"))
			h.retired = append(h.retired, m)
		}
	}
}
