package daemon

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// newOffline returns a daemon without listeners, whose platform is never called.
func newOffline(t testing.TB) *Daemon {
	t.Helper()
	return newOfflineWith(t, Options{Log: io.Discard, Audit: io.Discard})
}

func newOfflineWith(t testing.TB, o Options) *Daemon {
	t.Helper()
	s := settings.Default()
	s.VM, s.DataCentre, s.Region = "vm1", "dc1", "r1"
	s.Platform.URLs = []string{"http://127.0.0.1:1"}
	d, err := build(s, o)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// applyDocuments applies a value that consists of the documents.
func applyDocuments(t testing.TB, d *Daemon, name string, revision uint64, documents ...any) {
	t.Helper()
	content, err := json.Marshal(map[string]any{"documents": documents})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.apply(configsync.Update{Name: name, Revision: revision, Content: content}); err != nil {
		t.Fatal(err)
	}
}

// vmDocument returns the document of vm1.
func vmDocument(generation uint64, peerAddress string) contract.VM {
	return contract.VM{
		APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: "vm1", Generation: generation, DataCentre: "dc1", PeerAddress: peerAddress,
	}
}

// Guards against a restarted daemon that serves by an older value, which was published during the
// start procedure, while the newer one that the procedure collected is not published yet.
func TestServesOnlyConfigurationOfTheStartProcedure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newOffline(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go d.publish(ctx)

		applyDocuments(t, d, contract.ValueVMs, 1, vmDocument(1, "10.0.0.1:1"))
		synctest.Wait()
		if s := d.config.Snapshot(); s == nil || s.VM("vm1").PeerAddress != "10.0.0.1:1" {
			t.Fatal("the first value was not published")
		}
		if d.snapshot() != nil {
			t.Fatal("serves before the start procedure is over")
		}
		applyDocuments(t, d, contract.ValueVMs, 2, vmDocument(2, "10.0.0.1:2"))
		d.reportSyncEvent(func(string, ...any) {}, func(string, ...any) {}, configsync.Event{Kind: configsync.EventReady})
		for range 2 * publishDelay / time.Millisecond {
			synctest.Wait()
			if s := d.snapshot(); s != nil && s.VM("vm1").PeerAddress != "10.0.0.1:2" {
				t.Fatalf("serves by the older value: %+v", s.VM("vm1"))
			}
			time.Sleep(time.Millisecond)
		}
		if d.snapshot() == nil {
			t.Error("does not serve although the start procedure is over and its values are published")
		}
	})
}

// Guards against a daemon that refuses all requests until the next change, because its start
// procedure ended after the last publication. This happens, for example, when a slow peer had
// nothing new.
func TestStartProcedureThatEndsLateOpensTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newOffline(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go d.publish(ctx)
		applyDocuments(t, d, contract.ValueVMs, 1, vmDocument(1, "10.0.0.1:1"))
		time.Sleep(time.Minute)
		d.reportSyncEvent(func(string, ...any) {}, func(string, ...any) {}, configsync.Event{Kind: configsync.EventReady})
		synctest.Wait()
		if d.snapshot() == nil {
			t.Error("does not serve after the start procedure")
		}
	})
}

// Guards against a gate that opens too early. A start procedure that ends during a publication may
// have applied values that the publication did not see, so only the next publication may open the
// gate, and only if there is a configuration.
func TestGateOpensAtThePublicationAfterTheStartProcedure(t *testing.T) {
	var g startGate
	g.publish(func() bool { g.setStartComplete(); return true })
	if g.isOpen() {
		t.Error("open by a publication that began before the start procedure was over")
	}
	g.publish(func() bool { return false })
	if g.isOpen() {
		t.Error("open without a configuration")
	}
	g.publish(func() bool { return true })
	if !g.isOpen() {
		t.Error("closed after the publication of the start's values")
	}
}
