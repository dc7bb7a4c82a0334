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

const order = "/orders/once/7"

func (p *path) key(t *testing.T) string {
	t.Helper()
	resp, body, err := p.do(t, "POST", order, strings.NewReader("order"))
	key := ""
	if err == nil {
		key = resp.Header.Get(forward.HeaderOperationKey)
	}
	if err != nil || resp.StatusCode != http.StatusPreconditionRequired || key == "" {
		t.Fatalf("no key: %v %v %s", err, resp, body)
	}
	return key
}

func (p *path) executions() int {
	total := 0
	for _, b := range p.backends {
		total += b.Stats().Executions[order]
	}
	return total
}

// Repeats through other daemons, at the same time and later, must not run the operation again and must get its response.
func TestOperationRunsOnceThroughAllEntries(t *testing.T) {
	p := newPath(t, 3)
	p.setFaults(backend.Faults{LatencyMs: 50})
	key := p.key(t)
	bodies := make([][]byte, 12)
	var wg sync.WaitGroup
	for i := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp, body, err := p.send(t, p.entries[i%3], "POST", order, strings.NewReader("order"), key)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("%v %v %s", err, resp, body)
			}
			bodies[i] = body
		}()
	}
	wg.Wait()
	if n := p.executions(); n != 1 {
		t.Errorf("%d executions of one operation", n)
	}
	for _, body := range bodies[1:] {
		if !bytes.Equal(body, bodies[0]) {
			t.Errorf("repeats got different responses: %s and %s", bodies[0], body)
		}
	}
	resp, _, err := p.send(t, p.entries[2], "POST", order, strings.NewReader("another order"), key)
	if err != nil || resp.Header.Get(forward.HeaderErrorKind) != "operation_conflict" {
		t.Errorf("another body under the same key: %v %v", err, resp)
	}
}

// When the owner is gone, a repeat must be told that the outcome is unknown and must not run.
func TestOwnerGoneMeansUnknown(t *testing.T) {
	p := newPath(t, 3)
	key := p.key(t)
	if resp, body, err := p.send(t, p.entries[1], "POST", order, strings.NewReader("order"), key); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v %v %s", err, resp, body)
	}
	p.stops[0]()
	resp, body, err := p.send(t, p.entries[1], "POST", order, strings.NewReader("order"), key)
	if err != nil || resp.Header.Get(forward.HeaderOutcome) != "unknown" {
		t.Fatalf("%v %v %s", err, resp, body)
	}
	if n := p.executions(); n != 1 {
		t.Errorf("%d executions of one operation", n)
	}
}

// A response that is cut after the operation ran must give "unknown" to the caller and to every repeat.
func TestCutResponseOfOperationIsUnknownAndNotRepeated(t *testing.T) {
	p := newPath(t, 3)
	key := p.key(t)
	p.setFaults(backend.Faults{CutShare: 1})
	for range 3 {
		resp, body, err := p.send(t, p.entries[1], "POST", order, strings.NewReader("order"), key)
		if err != nil || resp.Header.Get(forward.HeaderOutcome) != "unknown" {
			t.Fatalf("%v %v %s", err, resp, body)
		}
	}
	if n := p.executions(); n != 1 {
		t.Errorf("%d executions of one operation", n)
	}
}
