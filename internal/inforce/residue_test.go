package inforce

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Guards against a replaced daemon that puts an older contract in force than its peers have,
// because the platform's value is outdated. Also guards against a change that came from a peer and
// does not name it.
func TestPeerResidueRestoresTheAcceptedContract(t *testing.T) {
	name := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"})
	running, replaced := New(), New()
	if result := mustApply(t, running, name, 10, value(contractJSON("grocer", 5, 50))); result.Residue != nil {
		t.Errorf("residue although nothing differs from the value: %s", result.Residue)
	}
	outdated := value(contractJSON("grocer", 3, 30))
	residue := mustApply(t, running, name, 11, outdated).Residue
	result, err := replaced.Apply(name, 11, outdated, PeerResidue{Source: "vm1", Content: residue}, PeerResidue{Source: "vm2", Content: []byte("{")}, PeerResidue{Source: "vm3", Content: value(contractJSON("grocer", 9, -1))})
	if err != nil || len(result.Refused) != 2 || result.Refused[0].Source != "vm2" || result.Refused[1].Source != "vm3" {
		t.Errorf("refused %+v, error %v", result.Refused, err)
	}
	if want := (Change{Ref: result.Changes[0].Ref, To: 5, Source: "vm1"}); len(result.Changes) != 1 || result.Changes[0] != want {
		t.Errorf("changes %+v", result.Changes)
	}
	isRecovered := func(f contract.Finding) bool {
		return f.Reason == contract.ReasonPeerResidue && f.Generation == 3 && f.InForce == 5 && f.Detail == "document recovered from peer vm1"
	}
	if !slices.ContainsFunc(replaced.Findings(), isRecovered) {
		t.Errorf("findings %+v", replaced.Findings())
	}
	if c := replaced.Publish().Customer("grocer"); c.Limits.RatePerSecond != 50 || string(result.Residue) != string(residue) {
		t.Errorf("contract in force %+v, residue %s, want %s", c, result.Residue, residue)
	}
	if again := mustApplyWithResidue(t, replaced, name, 11, outdated, residue); len(again.Changes)+len(again.Findings) > 0 {
		t.Errorf("the same residue applied again: %+v", again)
	}
	if !slices.ContainsFunc(replaced.Findings(), isRecovered) {
		t.Error("the findings no longer name the peer that the contract came from")
	}
	mustApply(t, replaced, name, 12, value(contractJSON("grocer", 6, 60)))
	if len(replaced.Findings()) != 0 {
		t.Errorf("findings after a valid change: %+v", replaced.Findings())
	}
}

func mustApplyWithResidue(t *testing.T, cfg *Configuration, name string, revision uint64, content, residue []byte) Result {
	t.Helper()
	result, err := cfg.Apply(name, revision, content, PeerResidue{Source: "vm1", Content: residue})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Guards against a value that cannot be decoded and keeps a replaced daemon from what its peers
// have in force.
func TestPeerResidueReplacesAnUnreadableValue(t *testing.T) {
	name := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"})
	running, replaced := New(), New()
	mustApply(t, running, name, 10, value(contractJSON("grocer", 5, 50)))
	result, err := running.Apply(name, 11, []byte("{"))
	if err == nil {
		t.Fatal("an unreadable value was applied")
	}
	result, err = replaced.Apply(name, 11, []byte("{"), PeerResidue{Source: "vm1", Content: result.Residue})
	if err == nil || len(result.Changes) != 1 || result.Changes[0].Source != "vm1" {
		t.Errorf("%+v, %v", result, err)
	}
	if c := replaced.Publish().Customer("grocer"); c == nil || c.Generation != 5 {
		t.Errorf("contract in force: %+v", c)
	}
	if result := mustApply(t, replaced, name, 12, value()); len(result.Changes) != 1 || replaced.Publish().Customer("grocer") != nil {
		t.Errorf("after a deletion: changes %+v", result.Changes)
	}
}

// Guards against daemons that keep different contents of one generation for ever, and against a
// choice between them that is not reported as a conflict.
func TestPeersAgreeOnOneContentOfAGeneration(t *testing.T) {
	name := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"})
	outdated := value(contractJSON("grocer", 1, 10))
	configurations := [2]*Configuration{New(), New()}
	var residues [2][]byte
	for i, cfg := range configurations {
		mustApply(t, cfg, name, 10, value(contractJSON("grocer", 5, float64(50+i))))
		residues[i] = mustApply(t, cfg, name, 11, outdated).Residue
	}
	changed := 0
	for i, cfg := range configurations {
		result := mustApplyWithResidue(t, cfg, name, 11, outdated, residues[1-i])
		changed += len(result.Changes)
		if !slices.ContainsFunc(result.Findings, func(f contract.Finding) bool { return f.IsConflict() && f.Reason == contract.ReasonSameGeneration }) {
			t.Errorf("findings %+v", result.Findings)
		}
	}
	a, b := configurations[0].Publish().Customer("grocer"), configurations[1].Publish().Customer("grocer")
	if a.Limits.RatePerSecond != b.Limits.RatePerSecond || changed != 1 {
		t.Errorf("rates %v and %v in force after %d changes, want one rate after 1 change", a.Limits.RatePerSecond, b.Limits.RatePerSecond, changed)
	}
}

// largeContract returns a contract of about 280 KB. It has an invalid limit unless valid is set.
func largeContract(customer string, generation uint64, valid bool) string {
	routes := make([]any, 256)
	for i := range routes {
		routes[i] = map[string]any{"pathPrefix": fmt.Sprintf("/%d%s", i, strings.Repeat("x", 1000)), "service": "stock"}
	}
	rate := 1
	if !valid {
		rate = -1
	}
	doc, err := json.Marshal(map[string]any{
		"apiVersion": contract.APIVersion, "kind": contract.KindContract, "customer": customer, "generation": generation,
		"apiKeySHA256": []string{catalog.DigestOf(customer).Hex()}, "routes": routes, "limits": map[string]any{"ratePerSecond": rate, "concurrency": 5},
	})
	if err != nil {
		panic(err)
	}
	return string(doc)
}

// Guards against documents that a starting daemon does not get although nothing reports it: a
// residue has a size limit, and what exceeds it must be reported once.
func TestFullResidueIsReportedOnce(t *testing.T) {
	var names []string // of contracts in the same value, in order
	for i := 0; len(names) < 4; i++ {
		if name := fmt.Sprintf("customer-%05d", i); contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: name}) == "contracts/007" {
			names = append(names, name)
		}
	}
	cfg := New()
	var docs []string
	for i, name := range names { // each revision adds a valid document and makes the previous one invalid
		docs = append(docs, largeContract(name, 1, true))
		result := mustApply(t, cfg, "contracts/007", uint64(i+1), value(docs...))
		docs[i] = fmt.Sprintf(`{"apiVersion":%q,"kind":"Contract","customer":%q,"generation":2}`, contract.APIVersion, name)
		if len(result.Omitted.Documents) > 0 {
			t.Fatalf("revision %d: %v are omitted", i+1, result.Omitted)
		}
	}
	result := mustApply(t, cfg, "contracts/007", 9, value(docs...))
	want := contract.Ref{Kind: contract.KindContract, Name: names[3]}
	if len(result.Omitted.Documents) != 1 || result.Omitted.Documents[0] != want || len(result.Residue) > contract.MaxResidueBytes {
		t.Errorf("%v are omitted from a residue of %d bytes, want %v", result.Omitted, len(result.Residue), want)
	}
	if c := cfg.Publish().Customer(names[3]); c == nil {
		t.Error("the omitted contract is not in force")
	}
	for revision := range uint64(2) {
		if again := mustApply(t, cfg, "contracts/007", 9+revision, value(docs...)); len(again.Omitted.Documents) > 0 {
			t.Errorf("reported again: %v", again.Omitted)
		}
	}
	docs[0] = largeContract(names[0], 3, true)
	if fits := mustApply(t, cfg, "contracts/007", 11, value(docs...)); len(fits.Omitted.Documents) > 0 || len(cfg.omitted) > 0 {
		t.Errorf("omitted although the residue has room: %v", fits.Omitted)
	}
}
