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

// logBuffer holds log output. It may be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// takeLines returns the lines written since the last call.
func (l *logBuffer) takeLines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.out.Reset()
	return strings.FieldsFunc(l.out.String(), func(c rune) bool { return c == '\n' })
}

// newLog returns a logger of warnings, and the buffer that its lines go to.
func newLog(t *testing.T) (*logBuffer, *telemetry.Logger) {
	t.Helper()
	lines := &logBuffer{}
	log, err := telemetry.NewLogger(lines, "logfmt", "warn")
	if err != nil {
		t.Fatal(err)
	}
	return lines, log
}

// newLoggingEntry is like newEntry, with a log in place of an observer.
func newLoggingEntry(snapshot *catalog.Snapshot, transport http.RoundTripper, log *telemetry.Logger) *entry.Entry {
	return entry.New(entry.Options{
		VM: "vm0", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, Seed: 1, Log: log.Part("entry"),
		Snapshot: func() *catalog.Snapshot { return snapshot }, Transport: transport,
	})
}

const secretBody = "SECRET-BODY"

// requireLine fails unless one line contains all texts. It also fails if any line contains a body,
// a query or an API key.
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
			t.Errorf("the line contains a body, a query or an API key: %s", line)
		}
	}
	if !found {
		t.Errorf("no line contains all of %q: %q", texts, lines)
	}
}

// Guards against a broken path whose cause cannot be found. The caller only gets the error kind, so
// the log must have the cause.
func TestBrokenTryIsLoggedWithItsCause(t *testing.T) {
	stray := func(r *http.Request) (*http.Response, error) {
		reportConnected(r)
		resp := homeResponse(r, "answer")
		resp.Header.Set(forward.HeaderRequestID, "other")
		return resp, nil
	}
	cut := func(r *http.Request) (*http.Response, error) {
		reportConnected(r)
		resp := homeResponse(r, "answer")
		resp.Body = io.NopCloser(strings.NewReader("ans"))
		return resp, nil
	}
	late := func(r *http.Request) (*http.Response, error) {
		reportConnected(r)
		resp := homeResponse(r, "answer")
		resp.ContentLength = -1
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("ans"), failingReader{}))
		return resp, nil
	}
	for _, c := range []struct {
		name  string
		home  homeFunc
		texts []string
	}{
		{"no connection", func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") }, []string{"kind=home_unreachable", `cause="connection refused"`}},
		{"connection broke", func(r *http.Request) (*http.Response, error) {
			reportConnected(r)
			return nil, errors.New("reset by peer")
		}, []string{"kind=path_broken", `cause="reset by peer"`}},
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
				id = sendRequest(e, "POST", "/orders?token=SECRET", secretBody).Header().Get(forward.HeaderRequestID)
			}()
			requireLine(t, lines.takeLines(), append(c.texts, "level=warn", `msg="entry: A try got no complete response." vm=vm0 backend=b0 service=stock request=`+id)...)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("reader failed") }

// Guards against a dead VM that floods the log, and against one whose lines hide those about
// another VM. Uses virtual time, so that all failures fall within one limit interval of the logger.
func TestBrokenTryLinesAreLimitedPerVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, log := newLog(t)
		e := newLoggingEntry(snapshotOf("127.0.0.1:1", "127.0.0.1:2"), homeFunc(func(r *http.Request) (*http.Response, error) {
			return nil, errors.New("connection refused")
		}), log)
		for range 100 {
			sendRequest(e, "POST", "/orders", "order")
		}
		count := map[string]int{}
		for _, line := range lines.takeLines() {
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

// Guards against logging a caller's disconnect as a failure of a VM. Such lines would use up the
// limit of the logger and hide real failures.
func TestCallerDisconnectIsNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, log := newLog(t)
		e := newLoggingEntry(snapshotOf("127.0.0.1:1"), homeFunc(hangUntilDone), log)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		r := httptest.NewRequestWithContext(ctx, "POST", "/orders", strings.NewReader("order"))
		r.Header.Set("Authorization", "Bearer "+apiKey)
		e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		if got := lines.takeLines(); len(got) > 0 {
			t.Errorf("unexpected log lines: %q", got)
		}
	})
}

// Guards against a backend server that fails requests with the status of a refusal, while no log of its
// home shows it.
func TestHomeLogsUnconfirmedRefusal(t *testing.T) {
	lines, log := newLog(t)
	snapshot := snapshotOf(startRawBackend(t, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"))
	address := startHomeWith(t, snapshot, home.Options{VM: "vm0", Log: log.Part("home")})
	w := sendRequest(newLoggingEntry(snapshot, fixedPeer{address}, log), "POST", "/orders?token=SECRET", secretBody)
	requireLine(t, lines.takeLines(), `status 421`, `level=warn msg="home: A backend server failed a request with the status of a refusal." backend=b0 service=stock vm=vm0 request=`+w.Header().Get(forward.HeaderRequestID))
}

// Guards against a backend server that breaks its responses for a reason that no log shows. The
// home daemon must log it, and the entry must not log it again.
func TestHomeLogsBrokenBackendResponse(t *testing.T) {
	for name, c := range map[string]struct{ response, want string }{
		"closed connection": {"", "kind=backend_broken cause="},
		"not HTTP":          {secretBody + "\r\n\r\n", `kind=backend_broken cause="the bytes of the backend server are no response: invalid status line"`},
		"cut response":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", secretBody), `kind=answer_invalid cause="unexpected EOF"`},
	} {
		t.Run(name, func(t *testing.T) {
			lines, log := newLog(t)
			snapshot := snapshotOf(startRawBackend(t, c.response))
			address := startHomeWith(t, snapshot, home.Options{VM: "vm0", Log: log.Part("home")})
			w := sendRequest(newLoggingEntry(snapshot, fixedPeer{address}, log), "POST", "/orders?token=SECRET", secretBody)
			got := lines.takeLines()
			requireLine(t, got, c.want, `level=warn msg="home: A backend server gave no complete response." backend=b0 service=stock vm=vm0 request=`+w.Header().Get(forward.HeaderRequestID))
			if len(got) != 1 {
				t.Errorf("%d lines, want one: %q", len(got), got)
			}
		})
	}
}
