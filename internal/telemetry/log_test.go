package telemetry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a failing peer that fills the log with one sentence, and against a log that does
// not report how many lines were left out.
func TestRepeatsAreLimitedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		base, err := NewLogger(&out, "logfmt", "info")
		if err != nil {
			t.Fatal(err)
		}
		l := base.Part("peer")
		for range 100 {
			l.Warn("A peer did not respond.")
		}
		if n := strings.Count(out.String(), "peer: A peer did not respond."); n != repeatLimit {
			t.Errorf("%d lines, want %d", n, repeatLimit)
		}
		time.Sleep(repeatInterval)
		l.Warn("A peer did not respond.")
		if !strings.Contains(out.String(), "repeats_left_out=95") {
			t.Errorf("the lines left out are not counted: %s", out.String())
		}
	})
}

// Guards against lines about one backend server that suppress those about another, and against
// lines that escape the limit because a key-value pair after the first one changes.
func TestRepeatsAreLimitedPerSubject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		base, err := NewLogger(&out, "logfmt", "info")
		if err != nil {
			t.Fatal(err)
		}
		l := base.Part("home")
		for i := range 100 {
			l.Info("A backend server changed its mode.", "backend", "b1", "reason", i)
		}
		l.Info("A backend server changed its mode.", "backend", "b2", "reason", 100)
		if n := strings.Count(out.String(), "backend=b1"); n != repeatLimit {
			t.Errorf("%d lines about b1, want %d", n, repeatLimit)
		}
		if n := strings.Count(out.String(), "backend=b2"); n != 1 {
			t.Errorf("%d lines about b2, want 1", n)
		}
	})
}

// Guards against a misspelled log format or level that is silently replaced by a default.
func TestUnknownFormatAndLevelAreRefused(t *testing.T) {
	if _, err := NewLogger(nil, "xml", ""); err == nil {
		t.Error("format xml was accepted")
	}
	if _, err := NewLogger(nil, "json", "loud"); err == nil {
		t.Error("level loud was accepted")
	}
}
