package daemon

import (
	"strconv"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// maxAuditedKeys bounds the audit entries about the revoked keys of one change, which may revoke
// thousands.
const maxAuditedKeys = 16

// noteOrganisations records in the audit trail how the organisations of a new configuration differ
// from those before, and logs what of them cannot be used. A revoked key is named by its digest.
func (d *RegistryDaemon) noteOrganisations(before, next *catalog.Organisations, c *registry.Configuration, revision uint64) {
	d.organisationFaults.Store(int64(c.FaultCount))
	log := d.log.Part("registry")
	for _, fault := range c.Faults {
		log.Warn("A part of the organisations cannot be used.", "fault", fault, "version", c.Version)
	}
	if before == nil && next == nil {
		return
	}
	entry := audit.Entry{Actor: "operator", Action: "configuration", Accepted: true, Reason: "revision " + strconv.FormatUint(revision, 10)}
	change := next.Compare(before, maxAuditedKeys)
	if change.Added > 0 || change.Removed > 0 {
		organisations := entry
		organisations.Subject, organisations.From, organisations.To = "organisations", strconv.Itoa(before.Count()), strconv.Itoa(next.Count())
		organisations.Reason += ": " + strconv.Itoa(change.Added) + " added, " + strconv.Itoa(change.Removed) + " removed"
		d.audit.Add(organisations)
	}
	for _, digest := range change.Revoked {
		revoked := entry
		revoked.Action, revoked.Subject = "key revoked", "sha256 "+digest.Hex()
		d.audit.Add(revoked)
	}
	if rest := change.RevokedCount - len(change.Revoked); rest > 0 {
		revoked := entry
		revoked.Action, revoked.Subject = "key revoked", strconv.Itoa(rest)+" further keys"
		d.audit.Add(revoked)
	}
	log.Info("The organisations have changed.", "count", next.Count(), "limited", next.Limited(), "added", change.Added, "removed", change.Removed,
		"revoked_keys", change.RevokedCount, "faults", c.FaultCount, "version", c.Version)
}
