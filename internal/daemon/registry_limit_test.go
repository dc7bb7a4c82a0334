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

	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// unavailableStore is a registry that fails every call.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, bool) ([]registry.Change, uint64, error) {
	return nil, 0, errors.New("away")
}

func (unavailableStore) Watch(context.Context, uint64, time.Duration) ([]registry.Change, uint64, error) {
	return nil, 0, errors.New("away")
}

// Guards against callers that use up the file descriptors of a RegistryDaemon. It once did not
// apply limits.maxConnections.
func TestRegistryDaemonBoundsCallerConnections(t *testing.T) {
	s := settings.Default()
	s.VM, s.DataCentre, s.Region = "127.0.0.1", "a", "r"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Limits.MaxConnections = 1
	d, err := NewRegistryDaemon(s, RegistryOptions{Store: func(string) registry.Store { return unavailableStore{} }, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
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
