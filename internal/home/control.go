package home

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"github.com/cowsliprun/cowsliprun/internal/reservation"
)

// TickInterval is the time between two calls of Tick. It bounds how late a hanging request becomes evidence, and it must be
// well below reservation.LateTick, or a busy daemon would be taken for a suspended one.
const TickInterval = 100 * time.Millisecond

// probeTimeout bounds a probe. A probe takes about 25 ms on the users' VMs.
const probeTimeout = time.Second

// Tick lets time pass for all backend servers and returns the reservation messages to send.
func (h *Home) Tick(now time.Time) []reservation.Message {
	for _, m := range h.all() {
		m.tick(now)
	}
	h.reserveMu.Lock()
	h.updateConditions(now)
	messages := h.reservations.Tick(now)
	h.applyPermits(now)
	h.followList(now)
	h.reserveMu.Unlock()
	h.reportModes(now)
	return messages
}

// updateConditions tells the reservations which backend servers may promise to stay and which want to leave. The caller holds
// reserveMu.
func (h *Home) updateConditions(now time.Time) {
	leaving := h.Leaving()
	for _, m := range h.active() {
		h.reservations.SetCondition(now, m.id, m.condition(now, leaving))
		m.mu.Lock()
		out := m.life.WantsOut(now)
		m.mu.Unlock()
		if out && !leaving {
			h.reservations.Want(now, m.id)
		} else {
			h.reservations.Unwant(now, m.id)
		}
	}
}

// applyPermits hands each life cycle the time until which its backend server may be out. One that promised a sibling to stay
// gets none. The caller holds reserveMu from the decision to its effect, so that no grant can come between them.
func (h *Home) applyPermits(now time.Time) {
	for _, m := range h.active() {
		var permit time.Time
		if h.reservations.MayBeOut(now, m.id) {
			permit = h.reservations.OutUntil(now, m.id)
		}
		m.mu.Lock()
		m.life.Permit(now, permit)
		m.mu.Unlock()
		m.state(now)
	}
}

// active returns the members of the configuration in force.
func (h *Home) active() []*member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	members := make([]*member, 0, len(h.members))
	for _, m := range h.members {
		members = append(members, m)
	}
	return members
}

func (h *Home) reportModes(now time.Time) {
	for _, m := range h.active() {
		m.mu.Lock()
		e := m.life.Explain(now)
		from := m.mode
		m.mode = e.State.Mode
		m.mu.Unlock()
		if from != e.State.Mode {
			h.observer(m.id, m.service, from, e.State.Mode, e.Reason)
		}
	}
}

// ReservationResult hands in the reply of a peer, or the error when there was none.
func (h *Home) ReservationResult(now time.Time, id uint64, granted []bool, err error) {
	h.reserveMu.Lock()
	defer h.reserveMu.Unlock()
	if err != nil {
		h.reservations.Failed(now, id)
	} else {
		h.reservations.Result(now, id, granted)
	}
	h.applyPermits(now)
}

// Grant decides on a peer's request for reservations. The conditions are brought up to date first, because a backend server
// that turned suspect since the last tick must not promise to stay.
func (h *Home) Grant(now time.Time, req *peerapi.ReserveRequest, sender *peerapi.Sender) *peerapi.ReserveResponse {
	h.reserveMu.Lock()
	defer h.reserveMu.Unlock()
	h.updateConditions(now)
	resp := h.reservations.GrantRequest(now, req, sender)
	h.applyPermits(now)
	return resp
}

// RunProbes starts the probes that are due, each in a goroutine of its own that ends within probeTimeout.
func (h *Home) RunProbes(now time.Time) {
	for _, m := range h.active() {
		m.mu.Lock()
		due, path := !m.probing && m.life.NeedsProbe(now), m.healthPath
		if due {
			m.probing = true
		}
		m.mu.Unlock()
		if due {
			go h.probe(m, path)
		}
	}
}

func (h *Home) probe(m *member, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ok := h.healthy(ctx, m.address+path) == nil
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
	m.life.ProbeResult(time.Now(), ok)
}

func (h *Home) healthy(ctx context.Context, target string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target, nil)
	if err != nil {
		return err
	}
	resp, err := h.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bufferedResponseBytes)); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("health path answered %d", resp.StatusCode)
	}
	return nil
}

// Explain returns the explanations of all backend servers of this VM, ordered by id.
func (h *Home) Explain(now time.Time) []Explanation {
	members := h.active()
	sort.Slice(members, func(i, j int) bool { return members[i].id < members[j].id })
	list := make([]Explanation, 0, len(members))
	for _, m := range members {
		e := m.explain(now)
		h.reserveMu.Lock()
		e.HeldInServiceUntil = h.reservations.HeldUntil(m.id)
		h.reserveMu.Unlock()
		list = append(list, e)
	}
	return list
}

// SetOverride sets an operator's decision for a backend server and reports whether this VM has it.
func (h *Home) SetOverride(now time.Time, backend string, o ejection.Override) bool {
	m := h.member(backend)
	if m == nil {
		return false
	}
	m.mu.Lock()
	m.life.SetOverride(now, o)
	m.mu.Unlock()
	return true
}
