package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/listener"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// breakOff responds with part of a body without a length.
func breakOff(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 4 {
			io.WriteString(w, strings.Repeat("x", 50_000)) //nolint:errcheck // the test reads part of it
			http.NewResponseController(w).Flush()          //nolint:errcheck // as above
		}
		time.Sleep(10 * time.Millisecond) // the parts arrive before the end
		panic(http.ErrAbortHandler)
	})
}

// serveCallers serves the callers of the fleet's entry through a listener as a daemon has it. With
// leaving set, each answer closes its connection.
func serveCallers(t *testing.T, fleet *testFleet) (l *listener.Listener, server *http.Server, leaving *atomic.Bool) {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	leaving = &atomic.Bool{}
	server = newCallersServer(settings.Default().Limits, closeWhenLeaving(leaving.Load, fleet.entry.Config.Handler))
	server.ErrorLog = newServerErrorLog(telemetry.Discard(), "callers")
	go server.Serve(l) //nolint:errcheck // ends with Close
	t.Cleanup(func() { server.Close() })
	return l, server, leaving
}

// callersAddress returns the address of serveCallers.
func callersAddress(t *testing.T, fleet *testFleet) string {
	t.Helper()
	l, _, _ := serveCallers(t, fleet)
	return l.Addr().String()
}

// Guards against an answer that breaks off and looks complete to a caller that speaks HTTP/1.0, for
// which the end of the connection is the end of a body without a length.
func TestBrokenAnswerIsNoEndForOldCallers(t *testing.T) {
	fleet := newTestFleetWith(t, 1, fleetOptions{backend: breakOff})
	address := callersAddress(t, fleet)
	for _, version := range []string{"1.0", "1.1"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "GET /stock/7 HTTP/%s\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", version, testKey)
		data, err := io.ReadAll(conn)
		complete := version == "1.0" && err == nil || strings.HasSuffix(string(data), "\r\n0\r\n\r\n")
		if complete {
			t.Errorf("HTTP/%s: %d bytes that begin with %.20q look complete", version, len(data), data)
		}
	}
}
