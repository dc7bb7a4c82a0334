package daemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// unavailableStore is a registry that fails every call.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, func()) ([]registry.Change, uint64, error) {
	return nil, 0, errors.New("away")
}

func (unavailableStore) Probe(context.Context, uint64) error { return errors.New("unavailable") }

func (unavailableStore) Peek(context.Context) ([]registry.Change, error) {
	return nil, errors.New("away")
}

func (unavailableStore) Watch(context.Context, uint64, time.Duration, func()) ([]registry.Change, uint64, error) {
	return nil, 0, errors.New("away")
}

// newUnconfiguredRegistry returns a daemon whose registry is unavailable. It listens on loopback
// addresses and serves nothing before Run.
func newUnconfiguredRegistry(t *testing.T, edits ...func(*settings.Settings)) *RegistryDaemon {
	t.Helper()
	s := settings.Default()
	s.VM, s.DataCentre, s.Region = "127.0.0.1", "a", "r"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Limits.MaxConnections = 1
	for _, edit := range edits {
		edit(&s)
	}
	d, err := NewRegistryDaemon(s, RegistryOptions{Store: func(string) registry.Store { return unavailableStore{} }, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.closeListeners)
	return d
}

// Guards against callers that use up the file descriptors of a RegistryDaemon. It once did not
// apply limits.maxConnections.
func TestRegistryDaemonBoundsCallerConnections(t *testing.T) {
	d := newUnconfiguredRegistry(t)
	served := make(chan error, 1)
	go func() { served <- d.callers.server.Serve(d.callers.listener) }()
	defer func() { d.closeListeners(); <-served }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", d.callers.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	first := dial()
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", resp, err)
	}
	second := dial()
	defer second.Close()
	second.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck // the read below fails without it
	if n, err := second.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a second connection got %d bytes, %v", n, err)
	}
	first.Close()
	second.SetReadDeadline(time.Time{}) //nolint:errcheck // the read below fails without it
	if _, err := http.ReadResponse(bufio.NewReader(second), nil); err != nil {
		t.Errorf("after the first one ended: %v", err)
	}
}

// Guards against a route of an unknown kind that no operator hears of, and against a count that
// stays after the route was corrected.
func TestRoutesOfUnknownKindAreCounted(t *testing.T) {
	d := newUnconfiguredRegistry(t)
	publish := func(version uint64, unknown string) {
		route := registry.Route{Name: "r", Host: "h", PathPrefix: "/", UnknownKind: unknown, Parts: []catalog.WeightedService{{Service: "s", Weight: 1}}}
		c := &registry.Configuration{Version: version, Routes: []registry.Route{route}, Services: []registry.Service{{Name: "s"}}}
		d.applyUpdate(registry.Update{Fresh: true, Full: true, Revision: version, Changes: []registry.Change{{Key: "op/config", Revision: version, Configuration: c}}})
	}
	for version, c := range []struct {
		unknown string
		want    int64
	}{{`"stream"`, 1}, {"", 0}} {
		publish(uint64(version+1), c.unknown)
		if got := d.unknownKinds.Load(); got != c.want {
			t.Errorf("version %d: %d routes of unknown kind, want %d", version+1, got, c.want)
		}
	}
}
