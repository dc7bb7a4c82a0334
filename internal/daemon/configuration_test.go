package daemon

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// contractOf returns a contract document, with the digest of apiKey.
func contractOf(customer string, generation int, apiKey string) string {
	return fmt.Sprintf(`{"apiVersion":%q,"kind":"Contract","customer":%q,"generation":%d,"apiKeySHA256":[%q],"routes":[],"limits":{"ratePerSecond":1,"concurrency":1}}`,
		contract.APIVersion, customer, generation, catalog.DigestOf(apiKey).Hex())
}

// valueOf returns the name of the configuration value that holds the customer's contract.
func valueOf(customer string) string {
	return contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: customer})
}

// mustApply applies a value with one document, which is not published yet, and returns the residue.
func mustApply(t *testing.T, d *Daemon, customer string, revision uint64, document string, peerResidues ...configsync.PeerResidue) []byte {
	t.Helper()
	residue, err := d.apply(configsync.Update{Name: valueOf(customer), Revision: revision, Content: []byte(`{"documents":[` + document + `]}`), PeerResidues: peerResidues})
	if err != nil {
		t.Fatal(err)
	}
	return residue
}

// requireLine fails the test unless one line of out contains all texts.
func requireLine(t *testing.T, output string, out *syncBuffer, texts ...string) {
	t.Helper()
	for _, line := range strings.Split(out.String(), "\n") {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			return
		}
	}
	t.Errorf("no line of the %s has %q:\n%s", output, texts, out.String())
}

// Guards against an API key that is in two contracts without a report, and against a newer contract
// that takes the key away from the customer that had it.
func TestDuplicateAPIKeyIsReportedAndStays(t *testing.T) {
	var log, trail syncBuffer
	d := newOfflineWith(t, Options{Log: &log, Audit: &trail})
	mustApply(t, d, "grocer", 1, contractOf("grocer", 1, "shared"))
	mustApply(t, d, "alpha", 2, contractOf("alpha", 9, "shared"))
	mustApply(t, d, "grocer", 3, contractOf("grocer", 2, "shared"))
	if !d.publishApplied() {
		t.Fatal("publishApplied found no configuration")
	}
	if c := d.config.Snapshot().CustomerByKey(catalog.DigestOf("shared")); c == nil || c.Name != "grocer" {
		t.Errorf("the key belongs to %+v", c)
	}
	requireLine(t, "log", &log, "level=warn", "config: Two documents list the same identifier.", "api-key="+catalog.DigestOf("shared").Hex(), "held_by=grocer", "refused=alpha")
	requireLine(t, "audit trail", &trail, "held by grocer, also listed by alpha")
}

// Guards against invalid residues of peers that are dropped without a report. Log and audit trail
// must name the peer, the value and the problem, for a single document and for a whole residue, and
// valid documents must be applied.
func TestRefusedResiduesAreReported(t *testing.T) {
	var log, trail syncBuffer
	d := newOfflineWith(t, Options{Log: &log, Audit: &trail})
	name := valueOf("grocer")
	good, bad := contractOf("grocer", 5, "k"), strings.Replace(contractOf("grocer", 6, "k"), `"concurrency":1`, `"concurrency":-1`, 1)
	mustApply(t, d, "grocer", 3, contractOf("grocer", 1, "k"),
		configsync.PeerResidue{Source: "vm2", Content: []byte("{")},
		configsync.PeerResidue{Source: "vm3", Content: []byte(`{"documents":[` + bad + `]}`)},
		configsync.PeerResidue{Source: "vm4", Content: []byte(`{"documents":[` + good + `]}`)})
	requireLine(t, "log", &log, "level=warn", "config: A document of a peer's residue was refused.", "peer=vm2", "value="+name, "reason=")
	requireLine(t, "log", &log, "level=warn", "config: A document of a peer's residue was refused.", `document="Contract grocer"`, "peer=vm3", "concurrency")
	requireLine(t, "audit trail", &trail, `"actor":"peer vm2"`, `"accepted":false`, "residue of "+name)
	requireLine(t, "audit trail", &trail, `"actor":"peer vm3"`, `"accepted":false`, `"subject":"Contract grocer"`, "residue of "+name, "concurrency")
	requireLine(t, "audit trail", &trail, `"actor":"peer vm4"`, `"accepted":true`, `"to":"generation 5"`)
	if c := d.config.Publish().Customer("grocer"); c.Generation != 5 {
		t.Errorf("generation %d is in force", c.Generation)
	}
	// configsync refuses a residue that is not gzip before it reaches apply.
	part := d.log.Part("config")
	d.reportSyncEvent(part.Info, part.Warn, configsync.Event{Kind: configsync.EventRefused, Name: name, Source: "vm5", Reason: "residue: not gzip"})
	requireLine(t, "log", &log, "level=warn", "source=vm5", `reason="residue: not gzip"`)
	requireLine(t, "audit trail", &trail, `"actor":"peer vm5"`, `"accepted":false`, "residue: not gzip")
}

// Guards against a full residue without a report: daemons that start then do not learn of what was
// left out, although it is in force here.
func TestFullResidueIsReported(t *testing.T) {
	var log, trail syncBuffer
	d := newOfflineWith(t, Options{Log: &log, Audit: &trail})
	ref := contract.Ref{Kind: contract.KindService, Name: "stock"}
	var servers []string
	var claims []contract.Claim
	for i := range contract.MaxClaims + 10 {
		id := fmt.Sprintf("b%03d", i)
		servers = append(servers, fmt.Sprintf(`{"id":%q,"vm":"vm1","address":"127.0.0.1:%d"}`, id, i+1))
		claims = append(claims, contract.Claim{Ref: ref, ID: id, Since: 1})
	}
	document := fmt.Sprintf(`{"documents":[{"apiVersion":%q,"kind":"Service","service":"stock","generation":1,"backendServers":[%s]}]}`, contract.APIVersion, strings.Join(servers, ","))
	for i, list := range [][]contract.Claim{claims[:contract.MaxClaims], claims[contract.MaxClaims:]} {
		residue, _, err := contract.EncodeResidue(contract.Residue{Claims: list})
		if err != nil {
			t.Fatal(err)
		}
		if log.String() != "" {
			t.Errorf("a residue that is not full was reported: %s", log.String())
		}
		update := configsync.Update{Name: contract.ValueOf(ref), Revision: 9, Content: []byte(document), PeerResidues: []configsync.PeerResidue{{Source: fmt.Sprint("vm", i), Content: residue}}}
		if _, err := d.apply(update); err != nil {
			t.Fatal(err)
		}
	}
	requireLine(t, "log", &log, "level=warn", "config: The residue of a value is full.", "value="+contract.ValueOf(ref), "omitted=10", "claim of Service stock")
	requireLine(t, "audit trail", &trail, `"subject":"`+contract.ValueOf(ref)+`"`, `"accepted":false`, "10 items do not reach other daemons")
}
