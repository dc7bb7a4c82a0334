package audit

import (
	"strings"
	"testing"
)

// The trail must stay bounded, keep the newest entries, and show a reader by the sequence that some were lost.
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
		t.Error("a follower was not told of the change")
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
