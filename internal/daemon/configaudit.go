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
	// maxAuditedChanges bounds the audit entries for one value. At start, a value can bring
	// hundreds of changed documents.
	maxAuditedChanges = 16
	// maxNamedOmitted bounds the names listed in one report of a full residue.
	maxNamedOmitted = 8
)

// reportSyncEvents writes the events of configsync to the audit trail and the log until ctx ends.
func (d *Daemon) reportSyncEvents(ctx context.Context) {
	events := d.configSync.Events()
	log := d.log.Part("config")
	for {
		select {
		case <-ctx.Done():
			return
		case <-events.Ready():
		}
		for _, e := range events.Drain() {
			d.reportSyncEvent(log.Info, log.Warn, e)
		}
	}
}

// reportSyncEvent writes one event of configsync to the audit trail and, through info and warn, to
// the log. configsync.EventReady also completes the start procedure.
func (d *Daemon) reportSyncEvent(info, warn func(string, ...any), e configsync.Event) {
	switch e.Kind {
	case configsync.EventAccepted, configsync.EventInForce:
		return // apply audits the documents of the value
	case configsync.EventReady:
		d.startGate.setStartComplete()
		d.requestPublish()
		d.updateLiveVMs()
		info("The start procedure is over.", "reason", e.Reason)
	case configsync.EventPlatformDown, configsync.EventPlatformBehind, configsync.EventRefused, configsync.EventConflict:
		warn("The platform or a configuration value has a problem.", "kind", e.Kind, "value", e.Name, "from", e.From, "to", e.To, "source", e.Source, "reason", e.Reason)
	default:
		info("The platform recovered.", "kind", e.Kind)
	}
	refused := e.Kind == configsync.EventRefused || e.Kind == configsync.EventConflict
	d.audit.Add(audit.Entry{
		Time: e.At.UTC(), Actor: actorOf(e.Source), Action: "configuration: " + string(e.Kind), Subject: e.Name,
		From: formatRevision(e.From), To: formatRevision(e.To), Accepted: !refused, Reason: e.Reason,
	})
}

// actorOf returns the actor of an audit entry for a change that came from source.
func actorOf(source string) string {
	if source == "" || source == configsync.SourcePlatform {
		return "platform"
	}
	return "peer " + source
}

// formatRevision returns a revision as text, or "" for 0, which is none.
func formatRevision(r uint64) string {
	if r == 0 {
		return ""
	}
	return "revision " + strconv.FormatUint(r, 10)
}

// auditChanges records the documents that a value changed, at most maxAuditedChanges of them.
func (d *Daemon) auditChanges(name string, rev uint64, changes []inforce.Change) {
	for i, c := range changes {
		if i == maxAuditedChanges {
			d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration", Subject: name, To: formatRevision(rev), Accepted: true,
				Reason: fmt.Sprintf("%d more documents of this value changed", len(changes)-i)})
			return
		}
		d.audit.Add(audit.Entry{Actor: actorOf(c.Source), Action: "configuration", Subject: c.Ref.String(), From: formatGeneration(c.From), To: formatGeneration(c.To),
			Accepted: true, Reason: name + " at " + formatRevision(rev)})
	}
}

// formatGeneration returns the generation of a document as text, or "" for 0, which is none.
func formatGeneration(g uint64) string {
	if g == 0 {
		return ""
	}
	return "generation " + strconv.FormatUint(g, 10)
}

// auditRefused reports the documents of peers' residues, or whole residues, that are invalid.
func (d *Daemon) auditRefused(name string, refused []inforce.RefusedResidue) {
	for _, r := range refused {
		d.audit.Add(audit.Entry{Actor: actorOf(r.Source), Action: "configuration: " + string(configsync.EventRefused),
			Subject: strings.TrimSpace(r.Ref.String()), Reason: "residue of " + name + ": " + r.Problem})
		d.log.Part("config").Warn("A document of a peer's residue was refused.", "document", r.Ref, "value", name, "peer", r.Source, "reason", r.Problem)
	}
}

// auditFindings reports the documents that a merge did not accept, and those for which a peer's
// residue held a newer generation than the value.
func (d *Daemon) auditFindings(name string, rev uint64, findings []contract.Finding) {
	for _, f := range findings {
		if f.Reason == contract.ReasonPeerResidue {
			d.log.Part("config").Info("A peer's residue held a newer generation of a document.", "document", f.Ref, "value", name, "from", f.Generation, "to", f.InForce, "detail", f.Detail)
			continue // auditChanges has recorded it
		}
		reason := strings.TrimSuffix(string(f.Reason)+": "+f.Detail, ": ")
		d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration", Subject: f.Ref.String(), From: formatGeneration(f.InForce), To: formatGeneration(f.Generation),
			Accepted: false, Reason: name + " at " + formatRevision(rev) + ": " + reason})
		d.log.Part("config").Warn("A document was not accepted.", "document", f.Ref, "value", name, "reason", reason)
	}
}

// auditConflicts reports identifiers that two documents list, if the conflict is new or its holder
// changed.
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

// auditOmitted reports documents and claims that are in force here but are not sent to other
// daemons, because the residue of the value is full.
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
	reason := fmt.Sprintf("the residue is full; %d items do not reach other daemons: %s", total, strings.Join(names[:min(total, maxNamedOmitted)], ", "))
	d.audit.Add(audit.Entry{Actor: "platform", Action: "configuration: residue", Subject: name, To: formatRevision(rev), Reason: reason})
	d.log.Part("config").Warn("The residue of a value is full.", "value", name, "omitted", total, "reason", reason)
}
