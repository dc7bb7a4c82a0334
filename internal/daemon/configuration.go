package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/inforce"
	"github.com/cowsliprun/cowsliprun/internal/limits"
	"github.com/cowsliprun/cowsliprun/internal/membership"
)

const (
	// publishDelay gathers the values of a start, or of one large change, into one snapshot.
	publishDelay = 20 * time.Millisecond
	// viewInterval is the time between two looks at which VMs are live, for the holders of limits.
	viewInterval = 2 * time.Second
	// maxAuditedChanges bounds the entries of one value. The first value of a start holds up to hundreds of documents.
	maxAuditedChanges = 16
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
	if own == 0 {
		return
	}
	plan := limits.Plan{Daemons: total, RegionWeight: float64(own) / float64(total)}
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

// writeSyncEvents copies the events of the propagation into the audit trail and the log.
func (d *Daemon) writeSyncEvents(ctx context.Context) {
	events := d.sync.Events()
	log := d.log.Part("config")
	for {
		select {
		case <-ctx.Done():
			return
		case <-events.Ready():
		}
		for _, e := range events.Drain() {
			d.writeSyncEvent(log.Info, log.Warn, e)
		}
	}
}

func (d *Daemon) writeSyncEvent(info, warn func(string, ...any), e configsync.Event) {
	switch e.Kind {
	case configsync.EventAccepted, configsync.EventInForce:
		return // the documents are audited when they are merged
	case configsync.EventReady:
		d.start.setGathered()
		d.wakePublish()
		d.updateView()
		info("The start procedure is over.", "reason", e.Reason)
	case configsync.EventPlatformDown, configsync.EventPlatformBehind, configsync.EventRefused, configsync.EventConflict:
		warn("The platform or a value has a problem.", "kind", e.Kind, "value", e.Name, "from", e.From, "to", e.To, "source", e.Source, "reason", e.Reason)
	default:
		info("The platform recovered.", "kind", e.Kind)
	}
	refused := e.Kind == configsync.EventRefused || e.Kind == configsync.EventConflict
	d.audit.Add(audit.Entry{
		Time: e.At.UTC(), Actor: actorOf(e.Source), Action: "configuration: " + string(e.Kind), Subject: e.Name,
		From: revision(e.From), To: revision(e.To), Accepted: !refused, Reason: e.Reason,
	})
}

func actorOf(source string) string {
	if source == "" || source == configsync.SourcePlatform {
		return "platform"
	}
	return "peer " + source
}

func revision(r uint64) string {
	if r == 0 {
		return ""
	}
	return "revision " + strconv.FormatUint(r, 10)
}

func (d *Daemon) auditChanges(name string, rev uint64, changes []inforce.Change) {
	for i, c := range changes {
		if i == maxAuditedChanges {
			d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration", Subject: name, To: revision(rev), Accepted: true,
				Reason: fmt.Sprintf("%d more documents of this value changed", len(changes)-i)})
			return
		}
		d.audit.Add(audit.Entry{Actor: actorOf(c.Source), Action: "configuration", Subject: c.Ref.String(), From: generation(c.From), To: generation(c.To),
			Accepted: true, Reason: name + " at " + revision(rev)})
	}
}

func generation(g uint64) string {
	if g == 0 {
		return ""
	}
	return "generation " + strconv.FormatUint(g, 10)
}

func (d *Daemon) auditRefused(name string, refused []inforce.RefusedMemory) {
	for _, r := range refused {
		d.audit.Add(audit.Entry{Actor: actorOf(r.Source), Action: "configuration: " + string(configsync.EventRefused),
			Subject: strings.TrimSpace(r.Ref.String()), Reason: "residue of " + name + ": " + r.Problem})
		d.log.Part("config").Warn("A document of a peer's memory was refused.", "document", r.Ref, "value", name, "peer", r.Source, "reason", r.Problem)
	}
}

func (d *Daemon) auditFindings(name string, rev uint64, findings []contract.Finding) {
	for _, f := range findings {
		if f.Reason == contract.ReasonPeerMemory {
			d.log.Part("config").Info("A peer remembered a newer state of a document.", "document", f.Ref, "value", name, "from", f.Generation, "to", f.InForce, "detail", f.Detail)
			continue // audited as a change
		}
		reason := strings.TrimSuffix(string(f.Reason)+": "+f.Detail, ": ")
		d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration", Subject: f.Ref.String(), From: generation(f.InForce), To: generation(f.Generation),
			Accepted: false, Reason: name + " at " + revision(rev) + ": " + reason})
		d.log.Part("config").Warn("A document was not taken.", "document", f.Ref, "value", name, "reason", reason)
	}
}

// auditConflicts reports the claims of documents that were not there before, among them those whose holder changed.
func (d *Daemon) auditConflicts(before, now []catalog.Conflict) {
	for _, c := range now {
		if slices.Contains(before, c) {
			continue
		}
		reason := "held by " + c.InForce + ", also listed by " + c.Refused
		d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration: " + string(configsync.EventConflict), Subject: c.What + " " + c.ID, Reason: reason})
		d.log.Part("config").Warn("Two documents list the same identifier.", c.What, c.ID, "held_by", c.InForce, "refused", c.Refused)
	}
}

// maxNamedOmissions bounds the names in one report of a full residue.
const maxNamedOmissions = 8

// auditOmitted reports what is in force here and does not travel to other daemons, since the residue of the value is full.
func (d *Daemon) auditOmitted(name string, rev uint64, omitted contract.Omitted) {
	total := len(omitted.Documents) + len(omitted.Claims)
	if total == 0 {
		return
	}
	var names []string
	for _, ref := range omitted.Documents {
		names = append(names, ref.String())
	}
	for _, c := range omitted.Claims {
		names = append(names, "claim of "+c.Ref.String())
	}
	reason := fmt.Sprintf("the residue is full; %d items do not reach other daemons: %s", total, strings.Join(names[:min(total, maxNamedOmissions)], ", "))
	d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration: residue", Subject: name, To: revision(rev), Reason: reason})
	d.log.Part("config").Warn("The residue of a value is full.", "value", name, "omitted", total, "reason", reason)
}
