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

// TickInterval is the time between two calls of Tick. It limits how late a hanging request becomes
// evidence. It must be well below reservation.MaxTickGap, or the process would be taken for a
// suspended one when the daemon is busy.
const TickInterval = 100 * time.Millisecond

// probeTimeout limits one health probe. A probe takes about 25 ms on the VMs of the users.
const probeTimeout = time.Second

// Tick updates the time-dependent state of all backend servers and returns the reservation messages
// to send. Call it every TickInterval.
func (h *Home) Tick(now time.Time) []reservation.Message {
	for _, m := range h.allMembers() {
		m.tick(now)
	}
	messages := h.tickReservations(now)
	h.reportModes(now)
	return messages
}

// tickReservations updates the reservations and what follows from them, and returns the messages to
// send.
func (h *Home) tickReservations(now time.Time) []reservation.Message {
	h.reservationsMu.Lock()
	defer h.reservationsMu.Unlock()
	h.updateConditions(now)
	messages := h.reservations.Tick(now)
	h.applyPermits(now)
	h.updateClosed(now)
	return messages
}

// updateConditions tells the reservation manager which backend servers can promise to stay in
// service and which need reservations for an ejection. The caller holds reservationsMu.
func (h *Home) updateConditions(now time.Time) {
	leaving := h.Leaving()
	for _, m := range h.activeMembers() {
		h.reservations.SetCondition(now, m.id, m.reservationCondition(now, leaving))
		m.mu.Lock()
		out := m.lifecycle.WantsOut(now)
		m.mu.Unlock()
		if out && !leaving {
			h.reservations.RequestOut(now, m.id)
		} else {
			h.reservations.CancelOutRequest(now, m.id)
		}
	}
}

// applyPermits gives each life cycle its permit: the time until which its backend server may be out
// of service. A backend server that promised a sibling to stay gets none. The caller holds
// reservationsMu from the decision to its effect, so that no reservation can be granted in between.
func (h *Home) applyPermits(now time.Time) {
	for _, m := range h.activeMembers() {
		var permit time.Time
		if h.reservations.MayBeOut(now, m.id) {
			permit = h.reservations.OutUntil(now, m.id)
		}
		m.mu.Lock()
		m.lifecycle.Permit(now, permit)
		m.mu.Unlock()
		m.state(now)
	}
}

// activeMembers returns the members of the current configuration in no particular order.
func (h *Home) activeMembers() []*member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	members := make([]*member, 0, len(h.members))
	for _, m := range h.members {
		members = append(members, m)
	}
	return members
}

// reportModes tells the observer of changed modes.
func (h *Home) reportModes(now time.Time) {
	for _, m := range h.activeMembers() {
		m.mu.Lock()
		explanation := m.lifecycle.Explain(now)
		previous := m.mode
		m.mode = explanation.State.Mode
		m.mu.Unlock()
		if previous != explanation.State.Mode {
			h.observer(m.id, m.service, previous, explanation.State.Mode, explanation.Reason)
		}
	}
}

// HandleReservationResult takes the reply of a peer to the message with the id, or the error if
// there was no reply. granted has one entry per reservation of the message, in its order.
func (h *Home) HandleReservationResult(now time.Time, id uint64, granted []bool, err error) {
	h.reservationsMu.Lock()
	defer h.reservationsMu.Unlock()
	if err != nil {
		h.reservations.Failed(now, id)
	} else {
		h.reservations.Result(now, id, granted)
	}
	h.applyPermits(now)
}

// Grant decides on the reservations that a peer requests. It updates the conditions first, because
// a backend server that became suspect since the last tick must not promise to stay.
func (h *Home) Grant(now time.Time, req *peerapi.ReserveRequest, sender *peerapi.Sender) *peerapi.ReserveResponse {
	h.reservationsMu.Lock()
	defer h.reservationsMu.Unlock()
	h.updateConditions(now)
	resp := h.reservations.GrantRequest(now, req, sender)
	h.applyPermits(now)
	return resp
}

// RunProbes starts the probes that are due and returns at once. Each runs in its own goroutine,
// which ends within probeTimeout. A backend server has at most one probe at a time.
func (h *Home) RunProbes(now time.Time) {
	for _, m := range h.activeMembers() {
		m.mu.Lock()
		due, path := !m.probing && m.lifecycle.NeedsProbe(now), m.healthPath
		if due {
			m.probing = true
		}
		m.mu.Unlock()
		if due {
			go h.probe(m, path)
		}
	}
}

// probe checks the health path and reports the result to the life cycle.
func (h *Home) probe(m *member, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ok := h.checkHealth(ctx, m.address+path) == nil
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
	m.lifecycle.ProbeResult(time.Now(), ok)
}

// checkHealth returns nil if a GET request to the target (address and path) gets a complete 2xx
// response.
func (h *Home) checkHealth(ctx context.Context, target string) error {
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
		return fmt.Errorf("health path responded with HTTP status %d, want 2xx", resp.StatusCode)
	}
	return nil
}

// Explain describes all backend servers of this VM for operators, ordered by id.
func (h *Home) Explain(now time.Time) []Explanation {
	members := h.activeMembers()
	sort.Slice(members, func(i, j int) bool { return members[i].id < members[j].id })
	list := make([]Explanation, 0, len(members))
	for _, m := range members {
		e := m.explain(now)
		h.reservationsMu.Lock()
		e.HeldInServiceUntil = h.reservations.HeldUntil(m.id)
		h.reservationsMu.Unlock()
		list = append(list, e)
	}
	return list
}

// SetOverride sets an operator's override for a backend server. It returns false if this VM does
// not have the backend server.
func (h *Home) SetOverride(now time.Time, backend string, o ejection.Override) bool {
	m := h.member(backend)
	if m == nil {
		return false
	}
	m.mu.Lock()
	m.lifecycle.SetOverride(now, o)
	m.mu.Unlock()
	return true
}
