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

// newUnconnected returns a daemon without listeners, whose platform is never called.
func newUnconnected(t testing.TB) *Daemon {
	t.Helper()
	return newUnconnectedWith(t, Options{Log: io.Discard, Audit: io.Discard})
}

func newUnconnectedWith(t testing.TB, o Options) *Daemon {
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

// applyDocuments applies a value with the documents.
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

func vmDocument(generation uint64, peerAddress string) contract.VM {
	return contract.VM{
		APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: "vm1", Generation: generation, DataCentre: "dc1", PeerAddress: peerAddress,
	}
}

// A restarted daemon must not serve by an older value that was published during the start, while the newer one that the start
// procedure gathered waits for its publication.
func TestServesOnlyWhatTheStartGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUnconnected(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go d.publish(ctx)

		applyDocuments(t, d, contract.ValueVMs, 1, vmDocument(1, "10.0.0.1:1"))
		synctest.Wait()
		if s := d.book.Snapshot(); s == nil || s.VM("vm1").PeerAddress != "10.0.0.1:1" {
			t.Fatal("the first value is not published")
		}
		if d.snapshot() != nil {
			t.Fatal("serves before the start procedure is over")
		}
		applyDocuments(t, d, contract.ValueVMs, 2, vmDocument(2, "10.0.0.1:2"))
		d.writeSyncEvent(func(string, ...any) {}, func(string, ...any) {}, configsync.Event{Kind: configsync.EventReady})
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

// A start procedure that ends after the last publication, for example because a slow peer brought nothing new, must still open the
// gate, or the daemon would refuse everything until the next change.
func TestStartThatEndsLateOpensTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUnconnected(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go d.publish(ctx)
		applyDocuments(t, d, contract.ValueVMs, 1, vmDocument(1, "10.0.0.1:1"))
		time.Sleep(time.Minute)
		d.writeSyncEvent(func(string, ...any) {}, func(string, ...any) {}, configsync.Event{Kind: configsync.EventReady})
		synctest.Wait()
		if d.snapshot() == nil {
			t.Error("does not serve")
		}
	})
}

// A start procedure that ends while a publication runs may have applied values that this publication did not see. Only the next one
// may open the gate, and one without any documents may not.
func TestGateOpensWithThePublicationAfterTheStart(t *testing.T) {
	var g startGate
	g.publish(func() bool { g.setGathered(); return true })
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
