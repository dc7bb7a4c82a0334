package daemon

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
)

// order is a path of an at-most-once route.
const order = "/orders/once/7"

// requestKey returns a new operation key, which the first entry owns.
func (fleet *testFleet) requestKey(t *testing.T) string {
	t.Helper()
	resp, body, err := fleet.do(t, "POST", order, strings.NewReader("order"))
	key := ""
	if err == nil {
		key = resp.Header.Get(forward.HeaderOperationKey)
	}
	if err != nil || resp.StatusCode != http.StatusPreconditionRequired || key == "" {
		t.Fatalf("no key: %v %v %s", err, resp, body)
	}
	return key
}

// executions returns how often backend servers have run the order.
func (fleet *testFleet) executions() int {
	total := 0
	for _, b := range fleet.backends {
		total += b.Stats().Executions[order]
	}
	return total
}

// Guards against repeats of an operation, concurrent or later and through any daemon, that run it
// again or get another response than the first.
func TestOperationRunsOnceThroughAllEntries(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.setFaults(backend.Faults{LatencyMs: 50})
	key := fleet.requestKey(t)
	bodies := make([][]byte, 12)
	var wg sync.WaitGroup
	for i := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp, body, err := fleet.send(t, fleet.entries[i%3], "POST", order, strings.NewReader("order"), key)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("%v %v %s", err, resp, body)
			}
			bodies[i] = body
		}()
	}
	wg.Wait()
	if n := fleet.executions(); n != 1 {
		t.Errorf("%d executions of one operation", n)
	}
	for _, body := range bodies[1:] {
		if !bytes.Equal(body, bodies[0]) {
			t.Errorf("repeats got different responses: %s and %s", bodies[0], body)
		}
	}
	resp, _, err := fleet.send(t, fleet.entries[2], "POST", order, strings.NewReader("another order"), key)
	if err != nil || resp.Header.Get(forward.HeaderErrorKind) != "operation_conflict" {
		t.Errorf("another body under the same key: %v %v", err, resp)
	}
}

// Guards against a repeat that runs an operation again, or is refused as not run, after the owner
// of its key has stopped.
func TestOutcomeIsUnknownAfterOwnerStops(t *testing.T) {
	fleet := newTestFleet(t, 3)
	key := fleet.requestKey(t)
	if resp, body, err := fleet.send(t, fleet.entries[1], "POST", order, strings.NewReader("order"), key); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v %v %s", err, resp, body)
	}
	fleet.stopPeerListeners[0]()
	resp, body, err := fleet.send(t, fleet.entries[1], "POST", order, strings.NewReader("order"), key)
	if err != nil || resp.Header.Get(forward.HeaderOutcome) != "unknown" {
		t.Fatalf("%v %v %s", err, resp, body)
	}
	if n := fleet.executions(); n != 1 {
		t.Errorf("%d executions of one operation", n)
	}
}

// Guards against a repeat that runs an operation again after its response was truncated. The caller
// and every repeat must get the outcome "unknown".
func TestTruncatedOperationResponseIsUnknownAndNotRepeated(t *testing.T) {
	fleet := newTestFleet(t, 3)
	key := fleet.requestKey(t)
	fleet.setFaults(backend.Faults{CutShare: 1})
	for range 3 {
		resp, body, err := fleet.send(t, fleet.entries[1], "POST", order, strings.NewReader("order"), key)
		if err != nil || resp.Header.Get(forward.HeaderOutcome) != "unknown" {
			t.Fatalf("%v %v %s", err, resp, body)
		}
	}
	if n := fleet.executions(); n != 1 {
		t.Errorf("%d executions of one operation", n)
	}
}
