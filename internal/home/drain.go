package home

import (
	"context"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Drain takes the VM out of service for good. Entries are told at once to use other VMs. New
// requests are still served until the reservations held by siblings' homes have ended, at most one
// lease, because those homes rely on this VM. After that new requests are refused as not run, and
// Drain waits for the requests in flight. It returns the error of ctx if ctx ends first.
func (h *Home) Drain(ctx context.Context) error {
	h.draining.Store(true)
	h.reservationsMu.Lock()
	h.updateConditions(time.Now())
	h.reservationsMu.Unlock()
	if err := h.waitForReservations(ctx); err != nil {
		return err
	}
	h.closed.Store(true)
	for _, m := range h.allMembers() {
		m.slots.refuseWaiters(errkind.New(errkind.Draining, "the VM is leaving and takes no new requests"))
	}
	return h.waitIdle(ctx)
}

// waitForReservations waits until no reservation granted by this VM is in force.
func (h *Home) waitForReservations(ctx context.Context) error {
	h.reservationsMu.Lock()
	until := h.reservations.AllHeldUntil()
	h.reservationsMu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitIdle waits until no request is in flight.
func (h *Home) waitIdle(ctx context.Context) error {
	for _, m := range h.allMembers() {
		select {
		case <-m.slots.whenIdle():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// allMembers returns the members of the current configuration and the retired ones.
func (h *Home) allMembers() []*member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	members := make([]*member, 0, len(h.members)+len(h.retired))
	for _, r := range h.retired {
		members = append(members, r.member)
	}
	for _, m := range h.members {
		members = append(members, m)
	}
	return members
}

// Leaving reports whether a drain has begun or the platform lists the VM as leaving.
func (h *Home) Leaving() bool { return h.draining.Load() || h.listedLeaving.Load() }

// SetListedLeaving records whether the platform's list of VMs shows this VM as leaving, and reports
// whether that changed. Such a VM takes no new requests once the reservations that it granted have
// ended. It returns to service when it is listed as live again. This is needed because the list
// lags: a replaced VM can find the entry of its predecessor.
func (h *Home) SetListedLeaving(leaving bool) bool { return h.listedLeaving.Swap(leaving) != leaving }

// updateClosed stops or resumes taking new requests as the platform lists the VM as leaving or
// live. The caller holds reservationsMu.
func (h *Home) updateClosed(now time.Time) {
	if h.draining.Load() {
		return // Drain sets closed itself and never reopens
	}
	h.closed.Store(h.listedLeaving.Load() && !now.Before(h.reservations.AllHeldUntil()))
}
