package daemon

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// organisationsChange returns a configuration at a revision with organisations that have two keys each.
func organisationsChange(revision uint64, names ...string) registry.Change {
	change := configurationChange(revision)
	for _, name := range names {
		change.Configuration.Organisations = append(change.Configuration.Organisations, registry.Organisation{
			Name: name, Keys: []catalog.KeyDigest{catalog.DigestOf(name + " first"), catalog.DigestOf(name + " second")},
		})
	}
	return change
}

// Guards against a revocation that is not in force at once, one that the audit trail lacks, and one of
// many keys that fills the trail.
func TestRevokedKeysAreAudited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUnconfiguredRegistry(t)
		apply := func(revision uint64, names ...string) []string {
			entries, _ := d.audit.Since(0)
			d.applyUpdate(registry.Update{Fresh: true, Revision: revision, Changes: []registry.Change{organisationsChange(revision, names...)}})
			after, _ := d.audit.Since(uint64(len(entries)))
			var lines []string
			for _, e := range after {
				lines = append(lines, strings.Join([]string{e.Action, e.Subject, e.From, e.To, e.Reason}, ", "))
			}
			return lines
		}
		many := make([]string, 30)
		for i := range many {
			many[i] = fmt.Sprintf("n%02d", i)
		}
		apply(1, "acme", "zeta")
		lines := apply(2, "zeta")
		all := strings.Join(lines, "\n")
		digest := catalog.DigestOf("acme first")
		if !strings.Contains(all, "configuration, organisations, 2, 1, revision 2: 0 added, 1 removed") || !strings.Contains(all, "key revoked, sha256 "+digest.Hex()) || len(lines) != 4 {
			t.Errorf("the audit trail has\n%s", all)
		}
		if d.snapshot.Load().CustomerByKey(digest) != nil {
			t.Error("the revoked key is still in force")
		}
		if lines := apply(3, many...); len(lines) != 4 {
			t.Errorf("the audit trail has\n%s", strings.Join(lines, "\n"))
		}
		lines = apply(4)
		if len(lines) != maxAuditedKeys+3 || !strings.Contains(lines[len(lines)-1], "44 further keys") {
			t.Errorf("the audit trail has\n%s", strings.Join(lines, "\n"))
		}
		if lines := apply(5); len(lines) != 1 {
			t.Errorf("the audit trail has\n%s", strings.Join(lines, "\n"))
		}
	})
}

// Guards against organisations that cannot be used and that no metric shows.
func TestFaultsOfOrganisationsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUnconfiguredRegistry(t)
		change := organisationsChange(1, "acme")
		change.Configuration.Faults, change.Configuration.FaultCount = []string{"organisation 7 cannot be read"}, 40
		d.applyUpdate(registry.Update{Fresh: true, Revision: 1, Changes: []registry.Change{change}})
		var out strings.Builder
		d.metrics.WritePrometheus(&out)
		for _, line := range []string{"cowslip_organisations 1\n", "cowslip_organisations_limited 0\n", "cowslip_organisation_faults 40\n"} {
			if !strings.Contains(out.String(), line) {
				t.Errorf("the metrics lack %s", line)
			}
		}
	})
}
