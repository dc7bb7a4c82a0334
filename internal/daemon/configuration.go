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
	// publishDelay gathers the values of a start, or of one large change, into one snapshot.
	publishDelay = 20 * time.Millisecond
	// viewInterval is the time between two looks at which VMs are live, for the holders of limits.
	viewInterval = 2 * time.Second
)

// apply merges a value and the memories of peers into the configuration in force. The runner calls it on one goroutine.
func (d *Daemon) apply(u configsync.Update) ([]byte, error) {
	memories := make([]inforce.Memory, len(u.Memories))
	for i, m := range u.Memories {
		memories[i] = inforce.Memory{Source: m.Source, Content: m.Content, Raw: m.Raw}
	}
	result, err := d.book.Apply(u.Name, u.Revision, u.Content, memories...)
	d.auditRefused(u.Name, result.Refused)
	d.auditChanges(u.Name, u.Revision, result.Changes)
	d.auditFindings(u.Name, u.Revision, result.Findings)
	d.auditOmitted(u.Name, u.Revision, result.Omitted)
	for value, residue := range result.Claims {
		d.sync.Remember(value, residue)
	}
	if err == nil || len(result.Changes) > 0 || len(memories) > 0 {
		d.wakePublish()
	}
	return result.Residue, err
}

func (d *Daemon) wakePublish() {
	select {
	case d.published <- struct{}{}:
	default:
	}
}

// publish puts applied values in force, at most once per publishDelay.
func (d *Daemon) publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.published:
		}
		d.start.publish(d.publishApplied)
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishDelay):
		}
	}
}

// publishApplied puts the applied values in force. It returns false while only the index is held, which has no documents. Most changes
// are of contracts, which concern only the look-ups in the snapshot.
func (d *Daemon) publishApplied() bool {
	before := d.book.Snapshot()
	snapshot := d.book.Publish()
	if snapshot == nil {
		return false
	}
	var conflicts []catalog.Conflict
	if before != nil {
		conflicts = before.Conflicts()
	}
	d.auditConflicts(conflicts, snapshot.Conflicts())
	// A snapshot keeps the pointers of services and VMs that did not change. A service gets a new one when a VM of it changes.
	// A conflict can give a backend server to another service without that.
	if before == nil || !maps.Equal(before.Services(), snapshot.Services()) || !slices.Equal(conflicts, snapshot.Conflicts()) {
		for _, err := range d.home.Apply(snapshot) {
			d.log.Part("home").Warn("Detector settings are not usable.", "err", err)
		}
	}
	if before == nil || !maps.Equal(before.VMs(), snapshot.VMs()) {
		d.guard.update(snapshot)
		d.sync.SetDirectory(directoryOf(snapshot))
		d.updatePlan(snapshot)
	}
	return true
}

func directoryOf(snapshot *catalog.Snapshot) *membership.Directory {
	vms := make([]membership.VM, 0, len(snapshot.VMs()))
	for _, vm := range snapshot.VMs() {
		vms = append(vms, membership.VM{ID: vm.ID, DataCentre: vm.Locality.DataCentre, Region: vm.Locality.Region, Address: vm.PeerAddress})
	}
	return membership.NewDirectory(vms)
}

// updatePlan divides the limits by the configured VMs, not by the live ones, so that regions that lose each other keep their
// parts.
func (d *Daemon) updatePlan(snapshot *catalog.Snapshot) {
	total, own := 0, 0
	for _, vm := range snapshot.VMs() {
		total++
		if vm.Locality.Region == d.settings.Region {
			own++
		}
	}
	switch {
	case own > 0:
		d.planned = true
		d.setPlan(limits.Plan{Daemons: total, RegionWeight: float64(own) / float64(total)})
	case !d.planned:
		// The parts of the configured regions already add up to the limits, so a VM of another region grants nothing.
		d.setPlan(limits.Plan{Daemons: total + 1})
	}
}

func (d *Daemon) setPlan(plan limits.Plan) {
	d.holder.SetPlan(plan)
	d.shares.SetPlan(plan)
}

// watchViews keeps the holders of limits in step with the live VMs of the region, and drops state that is no longer used.
func (d *Daemon) watchViews(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		d.updateView()
		d.divideBudget(viewInterval)
		d.entry.Expire(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) updateView() {
	var live []string
	var listed membership.State
	d.sync.View(func(now time.Time, m *membership.Members) {
		live, listed = m.LiveInRegion(now, d.settings.Region), m.Listed(d.settings.VM)
	})
	d.followList(listed == membership.Leaving)
	view := limits.NewView(live)
	d.holder.SetView(time.Now(), view)
	d.shares.SetView(view)
}

// followList takes this VM out of service while the platform lists it as leaving.
func (d *Daemon) followList(leaving bool) {
	if !d.home.SetListedLeaving(leaving) {
		return
	}
	state := "live"
	if leaving {
		state = "leaving"
	}
	d.audit.Add(audit.Entry{Actor: "platform", Action: "list of VMs", Subject: "VM " + d.settings.VM, To: state, Accepted: true})
	d.log.Part("daemon").Info("The platform's list of VMs changed for this VM.", "state", state)
}
