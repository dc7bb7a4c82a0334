package daemon

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// contractOf returns a contract with the API key.
func contractOf(customer string, generation int, apiKey string) string {
	return fmt.Sprintf(`{"apiVersion":%q,"kind":"Contract","customer":%q,"generation":%d,"apiKeySHA256":[%q],"routes":[],"limits":{"ratePerSecond":1,"concurrency":1}}`,
		contract.APIVersion, customer, generation, catalog.DigestOf(apiKey).Hex())
}

func valueOf(customer string) string {
	return contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: customer})
}

// mustApply puts a value with one document in force.
func mustApply(t *testing.T, d *Daemon, customer string, revision uint64, document string, memories ...configsync.Memory) []byte {
	t.Helper()
	residue, err := d.apply(configsync.Update{Name: valueOf(customer), Revision: revision, Content: []byte(`{"documents":[` + document + `]}`), Memories: memories})
	if err != nil {
		t.Fatal(err)
	}
	return residue
}

func requireText(t *testing.T, what string, out *lockedBuffer, texts ...string) {
	t.Helper()
	for _, line := range strings.Split(out.String(), "\n") {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return
		}
	}
	t.Errorf("no line of the %s has %q:\n%s", what, texts, out.String())
}

// Guards against an API key in two contracts that no one learns of, and against a new contract that takes the key away.
func TestContestedKeyIsReportedAndStays(t *testing.T) {
	var log, trail lockedBuffer
	d := newUnconnectedWith(t, Options{Log: &log, Audit: &trail})
	mustApply(t, d, "grocer", 1, contractOf("grocer", 1, "shared"))
	mustApply(t, d, "alpha", 2, contractOf("alpha", 9, "shared"))
	mustApply(t, d, "grocer", 3, contractOf("grocer", 2, "shared"))
	if !d.publishApplied() {
		t.Fatal("no configuration")
	}
	if c := d.book.Snapshot().CustomerByKey(catalog.DigestOf("shared")); c == nil || c.Name != "grocer" {
		t.Errorf("the key belongs to %+v", c)
	}
	requireText(t, "log", &log, "level=warn", "config: Two documents list the same identifier.", "api-key="+catalog.DigestOf("shared").Hex(), "held_by=grocer", "refused=alpha")
	requireText(t, "audit trail", &trail, "held by grocer, also listed by alpha")
}

// Guards against residues of peers that are refused without a sign: log and audit trail must name the peer, the value and the
// fault, whether it is one document or the whole residue, and the good documents must be taken.
func TestRefusedResiduesAreReported(t *testing.T) {
	var log, trail lockedBuffer
	d := newUnconnectedWith(t, Options{Log: &log, Audit: &trail})
	name := valueOf("grocer")
	good, bad := contractOf("grocer", 5, "k"), strings.Replace(contractOf("grocer", 6, "k"), `"concurrency":1`, `"concurrency":-1`, 1)
	mustApply(t, d, "grocer", 3, contractOf("grocer", 1, "k"),
		configsync.Memory{Source: "vm2", Content: []byte("{")},
		configsync.Memory{Source: "vm3", Content: []byte(`{"documents":[` + bad + `]}`)},
		configsync.Memory{Source: "vm4", Content: []byte(`{"documents":[` + good + `]}`)})
	requireText(t, "log", &log, "level=warn", "config: A document of a peer's memory was refused.", "peer=vm2", "value="+name, "reason=")
	requireText(t, "log", &log, "level=warn", "config: A document of a peer's memory was refused.", `document="Contract grocer"`, "peer=vm3", "concurrency")
	requireText(t, "audit trail", &trail, `"actor":"peer vm2"`, `"accepted":false`, "residue of "+name)
	requireText(t, "audit trail", &trail, `"actor":"peer vm3"`, `"accepted":false`, `"subject":"Contract grocer"`, "residue of "+name, "concurrency")
	requireText(t, "audit trail", &trail, `"actor":"peer vm4"`, `"accepted":true`, `"to":"generation 5"`)
	if c := d.book.Publish().Customer("grocer"); c.Generation != 5 {
		t.Errorf("generation %d is in force", c.Generation)
	}
	// A residue that is not gzip is refused before it is merged.
	part := d.log.Part("config")
	d.writeSyncEvent(part.Info, part.Warn, configsync.Event{Kind: configsync.EventRefused, Name: name, Source: "vm5", Reason: "residue: not gzip"})
	requireText(t, "log", &log, "level=warn", "source=vm5", `reason="residue: not gzip"`)
	requireText(t, "audit trail", &trail, `"actor":"peer vm5"`, `"accepted":false`, "residue: not gzip")
}

// Guards against a full residue that no one learns of: what is in force here is then unknown to daemons that start.
func TestFullResidueIsInLogAndAuditTrail(t *testing.T) {
	var log, trail lockedBuffer
	d := newUnconnectedWith(t, Options{Log: &log, Audit: &trail})
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
			t.Errorf("a residue with room is reported: %s", log.String())
		}
		update := configsync.Update{Name: contract.ValueOf(ref), Revision: 9, Content: []byte(document), Memories: []configsync.Memory{{Source: fmt.Sprint("vm", i), Content: residue}}}
		if _, err := d.apply(update); err != nil {
			t.Fatal(err)
		}
	}
	requireText(t, "log", &log, "level=warn", "config: The residue of a value is full.", "value="+contract.ValueOf(ref), "omitted=10", "claim of Service stock")
	requireText(t, "audit trail", &trail, `"subject":"`+contract.ValueOf(ref)+`"`, `"accepted":false`, "10 items do not reach other daemons")
}
