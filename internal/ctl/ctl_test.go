package ctl

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cowslipctl": func() { os.Exit(Run(os.Args[1:], Streams{os.Stdin, os.Stdout, os.Stderr})) },
	})
}

// fleetKey is the key of a script's fake fleet in the values of its environment.
type fleetKey struct{}

// TestScripts runs the scripts of testdata. Each has two daemons of its own, at $VM1 and $VM2.
// Which failures a script guards against stands at its head.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			fleet := newFakeFleet()
			env.Defer(fleet.close)
			env.Values[fleetKey{}] = fleet
			env.Setenv("VM1", fleet.daemons["vm1"].address())
			env.Setenv("VM2", fleet.daemons["vm2"].address())
			env.Setenv("USER", "anna")
			// By default, the race detector waits a second at the end of each process. Over all
			// scripts that adds up to a minute.
			env.Setenv("GORACE", "atexit_sleep_ms=10")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"status": expectStatus,
			"fake": func(ts *testscript.TestScript, neg bool, args []string) {
				ts.Value(fleetKey{}).(*fakeFleet).change(ts, neg, args)
			},
		},
	})
}

// expectStatus is the script command "status". It requires that cowslipctl, run with the arguments
// after the first, exits with the status given by the first.
func expectStatus(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec("cowslipctl", args[1:]...)
	var exit *exec.ExitError
	if got := 0; errors.As(err, &exit) {
		if got = exit.ExitCode(); got != want {
			ts.Fatalf("exit status %d, want %d", got, want)
		}
	} else if err != nil || want != 0 {
		ts.Fatalf("no exit status %d: %v", want, err)
	}
}

// Guards against commands that wait without end for a daemon, and against errors from which the
// operator can't tell what to do. Servers that are slow, gone or of another version cause these.
func TestClientErrorsNameTheCause(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/good":
			_, _ = w.Write([]byte(`{"method":"` + r.Method + `"}`))
		case "/slow":
			<-release
		case "/refused":
			http.Error(w, "draining", http.StatusConflict)
		case "/large":
			_, _ = w.Write(make([]byte, maxResponseBytes+1))
		default:
			_, _ = w.Write([]byte("<html>"))
		}
	}))
	defer server.Close()
	defer close(release)
	address := server.Listener.Addr().String()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := closed.Addr().String()
	closed.Close()
	for _, c := range []struct {
		address, path string
		timeout       time.Duration
		status        int
		want          string
	}{
		{address, "/slow", 50 * time.Millisecond, ExitUnreachable, "no response from the daemon at " + address + ": timed out after 50ms; check that"},
		{closedAddress, "/good", time.Minute, ExitUnreachable, "no response from the daemon at " + closedAddress + ": connection refused; check that"},
		{address, "/refused", time.Minute, ExitUsage, "refused GET /refused with status 409: draining"},
		{address, "/html", time.Minute, ExitUsage, "is it another version?"},
		{address, "/large", time.Minute, ExitUsage, "sent more than"},
	} {
		var out struct{}
		err := newClient(c.address, c.timeout).getJSON(context.Background(), c.path, &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || exitStatusOf(err) != c.status {
			t.Errorf("%s gives status %d, %v; want %d, %q", c.path, exitStatusOf(err), err, c.status, c.want)
		}
	}
	var out map[string]string
	if err := newClient(address, time.Minute).sendJSON(context.Background(), http.MethodPost, "/good", struct{}{}, &out); err != nil || out["method"] != http.MethodPost || exitStatusOf(err) != ExitOK {
		t.Errorf("a good call gives %v, %v", out, err)
	}
}

// roundTripFunc is an http.RoundTripper made of a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against daemons that can't be called because their VM document has a host name as admin
// address. The admin listener rejects such a name in the Host header, so the client must replace
// it.
func TestClientPassesTheHostCheckOfTheAdminListener(t *testing.T) {
	fleet := newFakeFleet()
	defer fleet.close()
	handler := admin.Handler(fleet.daemons["vm1"])
	for _, address := range []string{"vm-17.example:7002", "10.0.0.17:7002", "[::1]:7002", "localhost:7002"} {
		c := newClient(address, time.Minute)
		c.http.Transport = roundTripFunc(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			return w.Result(), nil
		})
		if st, err := getStatus(context.Background(), c); err != nil || st.VM != "vm1" {
			t.Errorf("%s: %v", address, err)
		}
	}
}

// Guards against an order that seems to be carried out because its request was redirected: net/http
// follows a redirect of a POST with a GET, to whatever server it names.
func TestRedirectedOrderIsRefused(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.Errorf("the other server got %s %s", r.Method, r.URL)
		io.WriteString(w, "{}") //nolint:errcheck // the test has failed
	}))
	defer other.Close()
	daemon := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	defer daemon.Close()
	c := newClient(daemon.Listener.Addr().String(), DefaultClientTimeout)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var refused *refusedError
		if err := c.sendJSON(t.Context(), method, "/v1/drain", struct{}{}, nil); !errors.As(err, &refused) || refused.status != http.StatusFound {
			t.Errorf("%s ends with %v, want a refusal with status 302", method, err)
		}
	}
}
