package audit

import (
	"strings"
	"testing"
)

// Guards against a trail that grows without bound, drops its newest entries instead of the oldest,
// or hides from a reader that entries were dropped: the sequence numbers must show the gap.
func TestTrailIsBoundedAndNumbered(t *testing.T) {
	var out strings.Builder
	trail := New("vm1", 3, &out)
	_, changed := trail.Since(0)
	for range 5 {
		trail.Add(Entry{Action: "configuration"})
	}
	select {
	case <-changed:
	default:
		t.Error("the channel of Since was not closed when an entry was added")
	}
	entries, _ := trail.Since(0)
	if len(entries) != 3 || entries[0].Sequence != 2 || entries[2].Sequence != 4 || entries[0].VM != "vm1" {
		t.Errorf("entries %+v", entries)
	}
	if rest, _ := trail.Since(4); len(rest) != 1 {
		t.Errorf("Since(4) returned %d entries", len(rest))
	}
	if lines := strings.Count(out.String(), "\n"); lines != 5 {
		t.Errorf("%d JSON lines, want 5", lines)
	}
}
