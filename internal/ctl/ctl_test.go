package ctl

import (
	"context"
	"errors"
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

// fleetKey finds the fake fleet of a script.
type fleetKey struct{}

// TestScripts runs the scripts of testdata. Each has two daemons of its own, at $VM1 and $VM2.
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
			// The race detector waits a second at the end of each process by default; that is a minute for all scripts.
			env.Setenv("GORACE", "atexit_sleep_ms=10")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"status": wantStatus,
			"fake": func(ts *testscript.TestScript, neg bool, args []string) {
				ts.Value(fleetKey{}).(*fakeFleet).change(ts, neg, args)
			},
		},
	})
}

// wantStatus runs cowslipctl with the arguments after the first and requires the exit status given first.
func wantStatus(ts *testscript.TestScript, _ bool, args []string) {
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

// Guards against online commands that wait without end, or show an error from which the operator cannot tell what to do.
func TestClientReportsWhatWentWrong(t *testing.T) {
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
		{address, "/slow", 50 * time.Millisecond, StatusUnreachable, "no response from the daemon at " + address + ": nothing within 50ms; check that"},
		{closedAddress, "/good", time.Minute, StatusUnreachable, "no response from the daemon at " + closedAddress + ": connection refused; check that"},
		{address, "/refused", time.Minute, StatusUsage, "refused GET /refused with status 409: draining"},
		{address, "/html", time.Minute, StatusUsage, "is it another version?"},
		{address, "/large", time.Minute, StatusUsage, "sent more than"},
	} {
		var out struct{}
		err := newClient(c.address, c.timeout).getJSON(context.Background(), c.path, &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || exitStatusOf(err) != c.status {
			t.Errorf("%s gives status %d, %v; want %d, %q", c.path, exitStatusOf(err), err, c.status, c.want)
		}
	}
	var out map[string]string
	if err := newClient(address, time.Minute).sendJSON(context.Background(), http.MethodPost, "/good", struct{}{}, &out); err != nil || out["method"] != http.MethodPost || exitStatusOf(err) != StatusOK {
		t.Errorf("a good call gives %v, %v", out, err)
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against VM documents whose admin address is a host name, which the admin listener refuses in the Host header.
func TestHostNamesAreServedByTheAdminListener(t *testing.T) {
	fleet := newFakeFleet()
	defer fleet.close()
	handler := admin.Handler(fleet.daemons["vm1"])
	for _, address := range []string{"vm-17.example:7002", "10.0.0.17:7002", "[::1]:7002", "localhost:7002"} {
		c := newClient(address, time.Minute)
		c.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			return w.Result(), nil
		})
		if st, err := getStatus(context.Background(), c); err != nil || st.VM != "vm1" {
			t.Errorf("%s: %v", address, err)
		}
	}
}
