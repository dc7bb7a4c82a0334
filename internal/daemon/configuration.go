package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/inforce"
	"github.com/cowsliprun/cowsliprun/internal/limits"
	"github.com/cowsliprun/cowsliprun/internal/membership"
)

const (
	// publishDelay is the time between two publications. It collects the values of a start, or of
	// one large change, into one snapshot.
	publishDelay = 20 * time.Millisecond
	// liveVMsInterval is the time between two updates of the live VMs, among which the holders of
	// limits are chosen.
	liveVMsInterval = 2 * time.Second
)

// apply merges a value of the platform, together with the residues that peers sent for it, into the
// configuration in force. A residue lists documents that are in force although the value lacks
// them. The returned bytes are the residue to send to peers. configsync.Runner calls apply on one
// goroutine.
func (d *Daemon) apply(u configsync.Update) ([]byte, error) {
	peerResidues := make([]inforce.PeerResidue, len(u.PeerResidues))
	for i, m := range u.PeerResidues {
		peerResidues[i] = inforce.PeerResidue{Source: m.Source, Content: m.Content, IsRawValue: m.IsRawValue}
	}
	result, err := d.config.Apply(u.Name, u.Revision, u.Content, peerResidues...)
	d.auditRefused(u.Name, result.Refused)
	d.auditChanges(u.Name, u.Revision, result.Changes)
	d.auditFindings(u.Name, u.Revision, result.Findings)
	d.auditOmitted(u.Name, u.Revision, result.Omitted)
	for value, residue := range result.Claims {
		d.configSync.AddOwnResidue(value, residue)
	}
	if err == nil || len(result.Changes) > 0 || len(peerResidues) > 0 {
		d.requestPublish()
	}
	return result.Residue, err
}

// requestPublish wakes publish, without blocking.
func (d *Daemon) requestPublish() {
	select {
	case d.publishPending <- struct{}{}:
	default:
	}
}

// publish puts applied values in force until ctx ends, at most once per publishDelay.
func (d *Daemon) publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.publishPending:
		}
		d.startGate.publish(d.publishApplied)
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishDelay):
		}
	}
}

// publishApplied puts the applied values in force and passes the new snapshot to the parts that it
// concerns. It returns false while only the index is known, which has no documents. Most changes
// are of contracts, which concern only lookups in the snapshot.
func (d *Daemon) publishApplied() bool {
	before := d.config.Snapshot()
	snapshot := d.config.Publish()
	if snapshot == nil {
		return false
	}
	var conflicts []catalog.Conflict
	if before != nil {
		conflicts = before.Conflicts()
	}
	d.auditConflicts(conflicts, snapshot.Conflicts())
	// Services and VMs that did not change keep their pointers in the new snapshot. A service gets
	// a new pointer also when one of its VMs changes. A conflict, however, can move a backend
	// server to another service without a new pointer.
	if before == nil || !maps.Equal(before.Services(), snapshot.Services()) || !slices.Equal(conflicts, snapshot.Conflicts()) {
		for _, err := range d.home.Apply(snapshot) {
			d.log.Part("home").Warn("The detector settings of a service are invalid.", "err", err)
		}
	}
	if before == nil || !maps.Equal(before.VMs(), snapshot.VMs()) {
		d.guard.update(snapshot)
		d.configSync.SetDirectory(directoryOf(snapshot))
		d.updateLimitsPlan(snapshot)
	}
	return true
}

// directoryOf returns the VMs of a snapshot in the form that membership needs.
func directoryOf(snapshot *catalog.Snapshot) *membership.Directory {
	vms := make([]membership.VM, 0, len(snapshot.VMs()))
	for _, vm := range snapshot.VMs() {
		vms = append(vms, membership.VM{ID: vm.ID, DataCentre: vm.Locality.DataCentre, Region: vm.Locality.Region, Address: vm.PeerAddress})
	}
	return membership.NewDirectory(vms)
}

// updateLimitsPlan divides the limits among regions by the number of configured VMs, not of live
// ones, so that regions that cannot reach each other keep their parts.
func (d *Daemon) updateLimitsPlan(snapshot *catalog.Snapshot) {
	total, inRegion := 0, 0
	for _, vm := range snapshot.VMs() {
		total++
		if vm.Locality.Region == d.settings.Region {
			inRegion++
		}
	}
	switch {
	case inRegion > 0:
		d.regionPlanned = true
		d.setLimitsPlan(limits.Plan{Daemons: total, RegionWeight: float64(inRegion) / float64(total)})
	case !d.regionPlanned:
		// The parts of the configured regions already add up to the whole limits. A daemon of
		// another region therefore grants nothing.
		d.setLimitsPlan(limits.Plan{Daemons: total + 1})
	}
}

func (d *Daemon) setLimitsPlan(plan limits.Plan) {
	d.limitsHolder.SetPlan(plan)
	d.shares.SetPlan(plan)
}

// trackLiveVMs updates the live VMs and the comparison budget every liveVMsInterval, and drops
// expired state of the entry.
func (d *Daemon) trackLiveVMs(ctx context.Context) {
	ticker := time.NewTicker(liveVMsInterval)
	defer ticker.Stop()
	for {
		d.updateLiveVMs()
		d.updateComparisonBudget(liveVMsInterval)
		d.entry.Expire(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateLiveVMs passes the live VMs of the region to the two sides of limits, and takes this VM out
// of service while the platform lists it as leaving.
func (d *Daemon) updateLiveVMs() {
	var live []string
	var listed membership.State
	d.configSync.View(func(now time.Time, m *membership.Members) {
		live, listed = m.LiveInRegion(now, d.settings.Region), m.Listed(d.settings.VM)
	})
	d.applyListedState(listed == membership.Leaving)
	view := limits.NewView(live)
	d.limitsHolder.SetView(time.Now(), view)
	d.shares.SetView(view)
}

// applyListedState takes this VM out of service while the platform lists it as leaving.
func (d *Daemon) applyListedState(leaving bool) {
	if !d.home.SetListedLeaving(leaving) {
		return
	}
	state := "live"
	if leaving {
		state = "leaving"
	}
	d.audit.Add(audit.Entry{Actor: "platform", Action: "list of VMs", Subject: "VM " + d.settings.VM, To: state, Accepted: true})
	d.log.Part("daemon").Info("The state of this VM in the platform's list of VMs changed.", "state", state)
}
