package daemon

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/inforce"
)

const (
	// maxAuditedChanges bounds the entries of one value. The first value of a start holds up to hundreds of documents.
	maxAuditedChanges = 16
	// maxNamedOmissions bounds the names in one report of a full residue.
	maxNamedOmissions = 8
)

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

// auditOmitted reports what is in force here and does not travel to other daemons, since the residue of the value is full.
func (d *Daemon) auditOmitted(name string, rev uint64, omitted contract.Omitted) {
	total := omitted.Len()
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
