package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

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
	d := newIdleWith(t, Options{Log: &log, Audit: &trail})
	mustApply(t, d, "grocer", 1, contractOf("grocer", 1, "shared"))
	mustApply(t, d, "alpha", 2, contractOf("alpha", 9, "shared"))
	mustApply(t, d, "grocer", 3, contractOf("grocer", 2, "shared"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.publish(ctx) }()
	for i := 0; !strings.Contains(log.String(), "Two documents") && i < 1000; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-done
	if c := d.book.Snapshot().CustomerByKey(catalog.DigestOf("shared")); c == nil || c.Name != "grocer" {
		t.Errorf("the key belongs to %+v", c)
	}
	requireText(t, "log", &log, "level=warn", "config: Two documents list the same identifier.", "api-key="+catalog.DigestOf("shared").Hex(), "held_by=grocer", "refused=alpha")
	requireText(t, "audit trail", &trail, "held by grocer, also listed by alpha")
}
