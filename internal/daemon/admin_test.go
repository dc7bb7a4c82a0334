package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// newUnconfigured returns a daemon whose platform answers every call with 404, so that it never
// gets a configuration.
func newUnconfigured(t *testing.T) *Daemon {
	t.Helper()
	platform := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(platform.Close)
	s := settings.Default()
	s.VM, s.DataCentre, s.Region = "vm1", "dc1", "r1"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Platform.URLs = []string{platform.URL}
	d, err := New(s, Options{Log: io.Discard, Audit: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.listeners.closeListeners)
	return d
}

// Guards against an admin path that is also served to callers or other daemons, who could then
// drain the daemon or read contracts. Each path is also tried on the admin listener, so that the
// test does not pass with paths that exist nowhere.
func TestAdminPathsExistOnTheAdminListenerOnly(t *testing.T) {
	d := newUnconfigured(t)
	d.serve()
	defer d.close()
	ctx := context.Background()
	// The test's own address becomes that of a peer, so that the peer listener's routes are tested
	// and not its check of addresses.
	d.guard.update(catalog.Build([]catalog.Source{{Revision: 1, Documents: contract.Documents{
		VMs: []contract.VM{{VM: "vm1", DataCentre: "dc1", PeerAddress: "127.0.0.1:1"}},
	}}}))
	callers, peer, adminAddr := d.Addresses()
	h2c := new(http.Protocols)
	h2c.SetUnencryptedHTTP2(true)
	peerClient := &http.Client{Transport: &http.Transport{Protocols: h2c}}
	routes, ok := admin.Handler(adminView{d}).(chi.Routes)
	if !ok {
		t.Fatal("the admin handler does not list its routes")
	}
	tried := 0
	err := chi.Walk(routes, func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		tried++
		path = strings.ReplaceAll(path, "{id}", "b1")
		for _, listener := range []struct {
			name, address string
			client        *http.Client
		}{{"callers", callers.String(), http.DefaultClient}, {"peer", peer.String(), peerClient}} {
			req, err := http.NewRequestWithContext(ctx, method, "http://"+listener.address+path, strings.NewReader("{}"))
			if err != nil {
				return err
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := listener.client.Do(req)
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode < 400 {
				t.Errorf("%s %s on the %s listener: status %d", method, path, listener.name, resp.StatusCode)
			}
		}
		if path == "/v1/drain" {
			return nil
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+adminAddr.String()+path, strings.NewReader("{}"))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusNotFound && !strings.Contains(string(body), "b1") {
			t.Errorf("%s %s does not exist on the admin listener", method, path)
		}
		return err
	})
	if err != nil || tried < 10 {
		t.Errorf("%d paths tried, %v", tried, err)
	}
	if d.home.Leaving() {
		t.Error("a caller or a peer has drained the daemon")
	}
}

// Guards against a status that cannot be encoded while the daemon has no configuration, which is
// when operators need it most.
func TestStatusWithoutConfiguration(t *testing.T) {
	d := newUnconfigured(t)
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "/v1/status", nil)
	req.Host = "localhost"
	admin.Handler(adminView{d}).ServeHTTP(w, req)
	var st admin.Status
	if err := json.Unmarshal(w.Body.Bytes(), &st); err != nil || st.Ready || st.Reason == "" || st.VM != "vm1" || time.Since(st.Started) > time.Hour {
		t.Errorf("%v, %s", err, w.Body)
	}
	if st.Configuration.Platform.Age != 0 {
		t.Errorf("the platform has not answered yet, but its age is %s", st.Configuration.Platform.Age)
	}
	if list := (adminView{d}).VMs(); list == nil || len(list) != 0 {
		t.Errorf("VMs without a configuration: %v", list)
	}
}
