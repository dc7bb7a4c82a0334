package home

import (
	"context"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Drain takes the VM out of service. Entries are told at once to go elsewhere; new requests are still served until the
// reservations that siblings hold have ended, at most one lease, because those siblings rely on this VM. Then new requests
// are refused as not run, and Drain waits for the ones in flight until ctx ends.
func (h *Home) Drain(ctx context.Context) error {
	h.draining.Store(true)
	h.reserveMu.Lock()
	h.updateConditions(time.Now())
	h.reserveMu.Unlock()
	if err := h.waitForReservations(ctx); err != nil {
		return err
	}
	h.closed.Store(true)
	for _, m := range h.all() {
		m.slots.refuseWaiters(errkind.New(errkind.Draining, "the VM is leaving"))
	}
	return h.waitIdle(ctx)
}

func (h *Home) waitForReservations(ctx context.Context) error {
	h.reserveMu.Lock()
	until := h.reservations.AllHeldUntil()
	h.reserveMu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Home) waitIdle(ctx context.Context) error {
	for _, m := range h.all() {
		select {
		case <-m.slots.whenIdle():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// all returns the members, those included that left the configuration with requests in flight.
func (h *Home) all() []*member {
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
func (h *Home) Leaving() bool { return h.draining.Load() || h.listed.Load() }

// SetListedLeaving follows the platform's list of VMs: a VM listed as leaving takes no new work once its reservations have
// ended. It goes back into service when it is listed as live again, because the list lags: a replaced VM can find the
// entry of its predecessor. It reports whether this changed anything.
func (h *Home) SetListedLeaving(leaving bool) bool { return h.listed.Swap(leaving) != leaving }

// followList closes and opens the home for a VM listed as leaving. The caller holds reserveMu.
func (h *Home) followList(now time.Time) {
	if h.draining.Load() {
		return // Drain decides, and there is no way back
	}
	h.closed.Store(h.listed.Load() && !now.Before(h.reservations.AllHeldUntil()))
}
