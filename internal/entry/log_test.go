package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// logLines is a log that may be read while it is written.
type logLines struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// take returns and forgets the lines.
func (l *logLines) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.out.Reset()
	return strings.FieldsFunc(l.out.String(), func(c rune) bool { return c == '\n' })
}

func newLog(t *testing.T) (*logLines, *telemetry.Logger) {
	t.Helper()
	lines := &logLines{}
	log, err := telemetry.NewLogger(lines, "logfmt", "warn")
	if err != nil {
		t.Fatal(err)
	}
	return lines, log
}

func newLoggingEntry(snapshot *catalog.Snapshot, transport http.RoundTripper, log *telemetry.Logger) *entry.Entry {
	return entry.New(entry.Options{
		VM: "vm0", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, Seed: 1, Log: log.Part("entry"),
		Snapshot: func() *catalog.Snapshot { return snapshot }, Transport: transport,
	})
}

const secretBody = "SECRET-BODY"

// requireLine fails unless one line has all texts, and fails when any line holds a body, a query or an API key.
func requireLine(t *testing.T, lines []string, texts ...string) {
	t.Helper()
	found := false
	for _, line := range lines {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		found = found || all
		if strings.Contains(line, "SECRET") || strings.Contains(line, apiKey) {
			t.Errorf("the line tells what no one may read: %s", line)
		}
	}
	if !found {
		t.Errorf("no line has %q: %q", texts, lines)
	}
}

// Guards against a broken path whose cause no one can find: the caller gets only the kind.
func TestEntryLogsWhyATryBroke(t *testing.T) {
	stray := func(r *http.Request) (*http.Response, error) {
		connected(r)
		resp := answered(r, "answer")
		resp.Header.Set(forward.HeaderRequestID, "other")
		return resp, nil
	}
	cut := func(r *http.Request) (*http.Response, error) {
		connected(r)
		resp := answered(r, "answer")
		resp.Body = io.NopCloser(strings.NewReader("ans"))
		return resp, nil
	}
	late := func(r *http.Request) (*http.Response, error) {
		connected(r)
		resp := answered(r, "answer")
		resp.ContentLength = -1
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("ans"), failingReader{}))
		return resp, nil
	}
	for _, c := range []struct {
		name  string
		home  homes
		texts []string
	}{
		{"no connection", func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") }, []string{"kind=home_unreachable", `cause="connection refused"`}},
		{"connection broke", func(r *http.Request) (*http.Response, error) { connected(r); return nil, errors.New("reset by peer") }, []string{"kind=path_broken", `cause="reset by peer"`}},
		{"stray response", stray, []string{"kind=path_broken", `cause="the response belongs to another request"`}},
		{"cut response", cut, []string{"kind=path_broken", "cause="}},
		{"response cut after its header", late, []string{"kind=path_broken", `cause="reader failed"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			lines, log := newLog(t)
			e := newLoggingEntry(snapshotOf("127.0.0.1:1"), c.home, log)
			var id string
			func() {
				defer func() { recover() }() // the caller's connection is aborted when the header is already out
				id = ask(e, "POST", "/orders?token=SECRET", secretBody).Header().Get(forward.HeaderRequestID)
			}()
			requireLine(t, lines.take(), append(c.texts, "level=warn", `msg="entry: A try got no whole response." vm=vm0 backend=b0 service=stock request=`+id)...)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("reader failed") }

// Guards against a dead VM that fills the log, and against one that hides the lines about another. Virtual time, in which all
// failures come within one interval.
func TestLinesAreLimitedPerVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, log := newLog(t)
		e := newLoggingEntry(snapshotOf("127.0.0.1:1", "127.0.0.1:2"), homes(func(r *http.Request) (*http.Response, error) {
			return nil, errors.New("connection refused")
		}), log)
		for range 100 {
			ask(e, "POST", "/orders", "order")
		}
		count := map[string]int{}
		for _, line := range lines.take() {
			for _, vm := range []string{"vm0", "vm1"} {
				if strings.Contains(line, " vm="+vm+" ") {
					count[vm]++
				}
			}
		}
		if count["vm0"] != 5 || count["vm1"] != 5 {
			t.Errorf("lines by VM: %v, want 5 each", count)
		}
	})
}

// A caller that leaves is no failure of a VM. Its lines would use up the limit and hide real failures.
func TestCallerThatLeavesIsNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, log := newLog(t)
		e := newLoggingEntry(snapshotOf("127.0.0.1:1"), homes(hang), log)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		r := httptest.NewRequestWithContext(ctx, "POST", "/orders", strings.NewReader("order"))
		r.Header.Set("Authorization", "Bearer "+apiKey)
		e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		if got := lines.take(); len(got) > 0 {
			t.Errorf("lines %q", got)
		}
	})
}

// Guards against a backend server that breaks its responses for a reason that no log tells, on either side of the hop.
func TestHomeLogsWhyABackendServerBroke(t *testing.T) {
	for name, c := range map[string]struct{ response, want string }{
		"closed connection": {"", "kind=backend_broken cause="},
		"not HTTP":          {secretBody + "\r\n\r\n", `kind=backend_broken cause="net/http: HTTP/1.x transport connection broken: malformed HTTP response"`},
		"cut response":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", secretBody), `kind=answer_invalid cause="unexpected EOF"`},
	} {
		t.Run(name, func(t *testing.T) {
			lines, log := newLog(t)
			snapshot := snapshotOf(rawBackend(t, c.response))
			address := serveHomeWith(t, snapshot, home.Options{VM: "vm0", Log: log.Part("home")})
			w := ask(newLoggingEntry(snapshot, toAddress{address}, log), "POST", "/orders?token=SECRET", secretBody)
			got := lines.take()
			requireLine(t, got, c.want, `level=warn msg="home: A backend server gave no whole response." backend=b0 service=stock vm=vm0 request=`+w.Header().Get(forward.HeaderRequestID))
			if len(got) != 1 {
				t.Errorf("%d lines, want one: %q", len(got), got)
			}
		})
	}
}
