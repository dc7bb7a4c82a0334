package platform_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/platform"
	standin "github.com/cowsliprun/cowsliprun/internal/standin/platform"
)

// startPlatform starts a stand-in of the platform and returns a client of it.
func startPlatform(t *testing.T) (*standin.Store, *standin.Server, *platform.Client) {
	t.Helper()
	store := standin.NewStore()
	server := standin.New(store, "")
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	client := platform.New(platform.Options{BaseURL: listener.URL})
	t.Cleanup(client.Close)
	return store, server, client
}

// Guards against a client and a stand-in that disagree about the protocol, and against a watch that
// misses a change made while it waits.
func TestClientReadsValuesChangesAndVMs(t *testing.T) {
	store, server, client := startPlatform(t)
	ctx := t.Context()
	if _, err := client.Value(ctx, "index"); !platform.IsKind(err, platform.NotFound) {
		t.Fatalf("missing value: error %v, want NotFound", err)
	}
	first, _ := store.Put("index", []byte("a"), nil)
	done := make(chan platform.Changes, 1)
	go func() {
		changes, err := client.Changes(ctx, first, time.Minute)
		if err != nil {
			t.Error(err)
		}
		done <- changes
	}()
	for server.Stats().Changes == 0 {
		time.Sleep(time.Millisecond)
	}
	second, _ := store.Put("services/00", []byte("b"), nil)
	got := <-done
	if got.Revision != second || len(got.Changed) != 1 || got.Changed[0] != (platform.Change{Name: "services/00", Revision: second}) {
		t.Fatalf("watch returned %+v", got)
	}
	value, err := client.Value(ctx, "services/00")
	if err != nil || value.Revision != second || string(value.Data) != "b" {
		t.Fatalf("value = %+v, error %v", value, err)
	}
	if err := server.SetVMs([]standin.VM{{ID: "vm1", State: "leaving"}}); err != nil {
		t.Fatal(err)
	}
	list, err := client.VMs(ctx)
	if err != nil || len(list.VMs) != 1 || list.VMs[0] != (platform.VM{ID: "vm1", State: "leaving"}) {
		t.Fatalf("list of VMs = %+v, error %v", list, err)
	}
	if client.Calls() != 4 {
		t.Fatalf("calls = %d, want 4", client.Calls())
	}
}

// Guards against a failed call that the client reports as a success, and against a stale or
// restored platform whose lower revision the caller cannot see.
func TestClientReportsPlatformFaults(t *testing.T) {
	store, server, client := startPlatform(t)
	old, _ := store.Put("index", []byte("old"), nil)
	revision, _ := store.Put("index", []byte("new"), nil)
	server.SetFault(standin.Fault{Mode: standin.ModeStale, Revision: old})
	if v, err := client.Value(t.Context(), "index"); err != nil || string(v.Data) != "old" || v.Revision != old {
		t.Fatalf("stale value = %+v, %v", v, err)
	}
	if c, err := client.Changes(t.Context(), revision, time.Minute); err != nil || c.Revision != old {
		t.Fatalf("stale changes = %+v, %v", c, err)
	}
	server.SetFault(standin.Fault{Mode: standin.ModeDown})
	if _, err := client.Value(t.Context(), "index"); !platform.IsKind(err, platform.Unreachable) {
		t.Fatalf("platform down: error %v, want Unreachable", err)
	}
	server.SetFault(standin.Fault{Mode: standin.ModeError, Every: 1})
	if _, err := client.VMs(t.Context()); !platform.IsKind(err, platform.BadStatus) {
		t.Fatalf("error status: error %v, want BadStatus", err)
	}
	server.SetFault(standin.Fault{Mode: standin.ModeNone})
	store.Restore(old)
	if v, err := client.Value(t.Context(), "index"); err != nil || v.Revision != old {
		t.Fatalf("restored value = %+v, %v", v, err)
	}
}

// Guards against an oversized response that exhausts the memory of a daemon, and against a value
// without a valid revision or a list that is not JSON, which the client must report as malformed.
func TestClientRejectsOversizedAndMalformedResponses(t *testing.T) {
	size, revision := platform.MaxValueBytes+1, "1"
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Revision", revision)
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	}))
	defer listener.Close()
	client := platform.New(platform.Options{BaseURL: listener.URL})
	if _, err := client.Value(context.Background(), "v"); !platform.IsKind(err, platform.TooLarge) {
		t.Fatalf("value over the size limit: error %v, want TooLarge", err)
	}
	size, revision = 1, "x"
	if _, err := client.Value(context.Background(), "v"); !platform.IsKind(err, platform.Malformed) {
		t.Fatalf("revision not a number: error %v, want Malformed", err)
	}
	if _, err := client.VMs(context.Background()); !platform.IsKind(err, platform.Malformed) {
		t.Fatalf("list that is not JSON: error %v, want Malformed", err)
	}
}
