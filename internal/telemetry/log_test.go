package telemetry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A failing peer must not fill the log, and the log must tell how much was left out.
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

// Lines about one backend server must not hide those about another, and the rest of a line must not get around the limit.
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

func TestUnknownFormatAndLevelAreRefused(t *testing.T) {
	if _, err := NewLogger(nil, "xml", ""); err == nil {
		t.Error("format xml was accepted")
	}
	if _, err := NewLogger(nil, "json", "loud"); err == nil {
		t.Error("level loud was accepted")
	}
}
