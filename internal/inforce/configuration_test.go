package inforce

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

func contractJSON(customer string, generation uint64, rate float64) string {
	doc, err := json.Marshal(map[string]any{
		"apiVersion": contract.APIVersion, "kind": contract.KindContract, "customer": customer, "generation": generation,
		"apiKeySHA256": []string{fmt.Sprintf("%064x", len(customer)*7+1)},
		"routes":       []any{map[string]any{"pathPrefix": "/", "service": "stock"}},
		"limits":       map[string]any{"ratePerSecond": rate, "concurrency": 5},
	})
	if err != nil {
		panic(err)
	}
	return string(doc)
}

func value(docs ...string) []byte {
	return []byte(`{"documents":[` + strings.Join(docs, ",") + `]}`)
}

func mustApply(t *testing.T, cfg *Configuration, name string, revision uint64, content []byte) Result {
	t.Helper()
	result, err := cfg.Apply(name, revision, content)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Guards against an older generation at a newer revision, an invalid document or a stale revision
// that replaces the contract in force.
func TestOlderOrInvalidDocumentsDoNotReplaceAContract(t *testing.T) {
	cfg := New()
	name := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"})
	first := mustApply(t, cfg, name, 10, value(contractJSON("grocer", 3, 30)))
	if len(first.Changes) != 1 || first.Changes[0].To != 3 {
		t.Fatalf("changes %+v", first.Changes)
	}
	for what, step := range map[string]struct {
		revision uint64
		content  []byte
	}{
		"lower generation": {11, value(contractJSON("grocer", 2, 20))},
		"invalid document": {12, value(contractJSON("grocer", 4, -1))},
		"stale revision":   {9, value(contractJSON("grocer", 5, 50))},
	} {
		cfg := cfg
		result, err := cfg.Apply(name, step.revision, step.content)
		if err != nil || len(result.Findings) == 0 || len(result.Changes) != 0 {
			t.Errorf("%s: %+v, %v", what, result, err)
		}
		if c := cfg.Publish().Customer("grocer"); c == nil || c.Generation != 3 || c.Limits.RatePerSecond != 30 {
			t.Errorf("%s: contract in force is %+v", what, c)
		}
	}
	if result := mustApply(t, cfg, name, 20, value(contractJSON("grocer", 4, 40))); len(result.Changes) != 1 || len(cfg.Findings()) != 0 {
		t.Errorf("a valid change after refused ones: %+v, findings %+v", result, cfg.Findings())
	}
	if c := cfg.Publish().Customer("grocer"); c.Limits.RatePerSecond != 40 {
		t.Errorf("contract in force is %+v", c)
	}
}

// Guards against a contract that stays in force after its document was deleted from the value.
func TestDeletedContractLeavesTheSnapshot(t *testing.T) {
	cfg := New()
	name := contract.ValueOf(contract.Ref{Kind: contract.KindContract, Name: "grocer"})
	mustApply(t, cfg, name, 1, value(contractJSON("grocer", 3, 30)))
	if result := mustApply(t, cfg, name, 2, value()); len(result.Changes) != 1 || result.Changes[0].To != 0 {
		t.Errorf("changes %+v", result.Changes)
	}
	if c := cfg.Publish().Customer("grocer"); c != nil {
		t.Errorf("the deleted contract is in force: %+v", c)
	}
}
