package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against output with lines of other requests whose id begins alike, with lines out of
// order, or, with --around, without the earlier lines about the backend server.
func TestStorySelectsAndSortsLinesOfOneRequest(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	write := func(name, text string) {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(one, "ts=2026-01-01T00:00:03Z msg=\"entry: A try failed.\" request=ab12 backend=i-1\nts=2026-01-01T00:00:04Z msg=other request=ab123 backend=i-2\n")
	write(two, "ts=2026-01-01T00:00:01Z msg=\"home: A backend server is suspect.\" backend=i-1 gray=0.9\nts=2026-01-01T00:00:02Z msg=\"home: got\" request=ab12 backend=i-1\nts=2026-01-01T00:00:09Z msg=later backend=i-1\n")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"story", "ab12", one, two}, "02Z 03Z"},
		{[]string{"story", "ab12", one, two, "--around"}, "01Z 02Z 03Z"},
	} {
		var out, errors bytes.Buffer
		if status := Run(c.args, Streams{In: strings.NewReader(""), Out: &out, Err: &errors}); status != ExitOK {
			t.Fatalf("%v: %d, %s", c.args, status, errors.String())
		}
		var got []string
		for line := range strings.Lines(out.String()) {
			got = append(got, strings.TrimPrefix(strings.Fields(line)[0], "ts=2026-01-01T00:00:"))
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%v: %v, want %s", c.args, got, c.want)
		}
	}
	var out, errors bytes.Buffer
	if status := Run([]string{"story", "nobody"}, Streams{In: strings.NewReader("ts=1 request=ab12\n"), Out: &out, Err: &errors}); status != ExitFindings {
		t.Errorf("status %d for an unknown request", status)
	}
}
