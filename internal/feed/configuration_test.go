package feed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

func configurationChange(revision uint64, routes ...string) registry.Change {
	c := &registry.Configuration{Version: revision}
	for _, name := range routes {
		c.Routes = append(c.Routes, registry.Route{Name: name})
	}
	return registry.Change{Key: "op/config", Revision: revision, Configuration: c}
}

func receive(t *testing.T, c *configurations, known registry.Change) (configurationMessage, registry.Change) {
	t.Helper()
	data, err := c.message(known.Revision)
	if err != nil {
		t.Fatal(err)
	}
	var m configurationMessage
	if err := readMessage(bytes.NewReader(data), func() {}, &m); err != nil {
		t.Fatal(err)
	}
	change, err := m.change(known)
	if err != nil {
		t.Fatal(err)
	}
	return m, change
}

// Guards against a configuration that is another one after its transfer, or that travels whole where
// the other daemon has most of it.
func TestConfigurationTravelsAsWhatChanged(t *testing.T) {
	versions := []registry.Change{
		configurationChange(10, "a", "b", "c", "d"), configurationChange(20, "a", "b", "x", "c", "d"), configurationChange(30, "b", "x", "c", "d"),
	}
	var c configurations
	for _, v := range versions {
		c.add(v, true)
	}
	for _, known := range []registry.Change{{}, configurationChange(15, "a"), versions[0], versions[1]} {
		m, got := receive(t, &c, known)
		if !reflect.DeepEqual(got, versions[2]) {
			t.Errorf("from revision %d: got %+v", known.Revision, got)
		}
		if whole := m.Full != nil; whole != (known.Revision == 0 || known.Revision == 15) {
			t.Errorf("from revision %d: whole is %v", known.Revision, whole)
		}
	}
	if _, err := c.message(30); !errors.Is(err, errNothingNewer) {
		t.Errorf("from revision 30: %v", err)
	}
	m, _ := receive(t, &c, versions[1])
	if _, err := m.change(versions[0]); !errors.Is(err, errWrongBase) {
		t.Errorf("deltas from revision 20 applied to revision 10: %v", err)
	}
	c.add(configurationChange(40, "p", "q", "r"), true)
	if m, _ := receive(t, &c, versions[0]); m.Full == nil {
		t.Error("deltas larger than the configuration were sent")
	}
}

// Guards against transfers that fill the link of the VM, or wait behind many others.
func TestPacerKeepsLinkFree(t *testing.T) {
	p := pacer{bytesPerSecond: 1000}
	now := time.Now()
	for i, want := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond} {
		if wait, ok := p.reserve(now, 100); !ok || wait != want {
			t.Errorf("transfer %d begins after %v (%v), want %v", i, wait, ok, want)
		}
	}
	if wait, ok := p.reserve(now, 100); ok {
		t.Errorf("a transfer is to wait %v, want at most %v", wait, maxTransferQueue)
	}
	if wait, ok := p.reserve(now.Add(time.Second), 100); !ok || wait != 0 {
		t.Errorf("a transfer on an idle link begins after %v (%v)", wait, ok)
	}
}

// configurationPeer is another daemon that answers requests for the configuration.
type configurationPeer struct{ configurations *configurations }

func (p configurationPeer) RoundTrip(req *http.Request) (*http.Response, error) {
	data, err := p.configurations.message(0)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
}

// Guards against a daemon that counts as being as new as the store, starts to serve, or reads the
// store from a revision after a configuration that it has yet to get.
func TestStateIsNotFreshWithoutAnnouncedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peer configurations
		peer.add(configurationChange(9, "a"), true)
		s := New(Options{
			Self: "vm", Transport: configurationPeer{&peer}, Apply: func(registry.Update) bool { return true }, State: func() []registry.Change { return nil },
			Peers: func() []Peer { return nil }, RemovalHold: func() time.Duration { return 0 }, Log: telemetry.Discard(),
		})
		time.Sleep(5 * time.Second)
		st := &stream{peer: Peer{VM: "other"}}
		s.streams["other"] = st
		s.handleFrame(st, frame{Full: true, Complete: true, Revision: 12})
		s.handleFrame(st, frame{Status: &status{Revision: 12, Configuration: 9, ConfiguredUpTo: 12, Complete: true, Reading: true}})
		if !s.Outdated() {
			t.Error("without the configuration: not outdated")
		}
		if out := s.status(); s.Fresh() || out.AgeMs == 0 || out.ConfiguredUpTo != 0 || out.Configuration != 0 || out.Revision != 12 {
			t.Errorf("without the configuration: fresh %v, status %+v", s.Fresh(), out)
		}
		if out := s.status(); out.StoreAgeMs != 0 {
			t.Errorf("a reader reaches the store, but others would look for it: %+v", out)
		}
		if s.fetchRound(context.Background()) {
			t.Error("the configuration was not fetched")
		}
		if s.Outdated() {
			t.Error("with the configuration: outdated")
		}
		if out := s.status(); !s.Fresh() || out.AgeMs != 0 || out.ConfiguredUpTo != 12 || out.Configuration != 9 {
			t.Errorf("with the configuration: fresh %v, status %+v", s.Fresh(), out)
		}
	})
}

// Guards against a registration that waits for a transfer: streams carry no configuration.
func TestStreamsCarryNoConfiguration(t *testing.T) {
	both := []registry.Change{configurationChange(9, "a"), {Key: "s", Revision: 8, Registration: &registry.Registration{ID: "s"}}}
	s := newUnconnectedSource(func(registry.Update) bool { return true }, func() []registry.Change { return both })
	f := s.hub.add(false, 0, false)
	frames := take(t, s.hub, f)
	s.apply(registry.Update{Changes: both, Revision: 9})
	frames = append(frames, take(t, s.hub, f)...)
	carried := 0
	for _, out := range frames {
		carried += len(out.Changes)
		if slices.ContainsFunc(out.Changes, func(c registry.Change) bool { return c.Configuration != nil }) {
			t.Errorf("a stream carries a configuration: %+v", out)
		}
	}
	if last := frames[len(frames)-1].Status; carried != 2 || last == nil || last.Configuration != 9 {
		t.Errorf("%d registrations, last status %+v", carried, last)
	}
}

// partInterval is the time between two parts of a response of a receivingStore.
const partInterval = 100 * time.Millisecond

// receivingStore is a store whose watches bring something all the time and never end.
type receivingStore struct{ *memoryStore }

func (s receivingStore) List(context.Context, func()) ([]registry.Change, uint64, error) {
	changes, revision, _ := s.after(0)
	return changes, revision, nil
}

func (s receivingStore) Peek(context.Context) ([]registry.Change, error) { return nil, nil }

func (s receivingStore) Probe(context.Context, uint64) error { return nil }

func (s receivingStore) Watch(ctx context.Context, _ uint64, _ time.Duration, progress func()) ([]registry.Change, uint64, error) {
	for pause.For(ctx, partInterval) {
		progress()
	}
	return nil, 0, ctx.Err()
}

// Guards against a region that waits for a reader whose transfer from the store takes very long, and
// against others that read as well as soon as a transfer begins.
func TestReaderWithLongTransferIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("vm")
		s := New(Options{
			Self: "vm", Store: receivingStore{store}, Apply: func(registry.Update) bool { return true }, State: func() []registry.Change { return nil },
			Peers: func() []Peer { return []Peer{{VM: "vm"}} }, RemovalHold: func() time.Duration { return 0 }, Log: telemetry.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		time.Sleep(time.Second)
		if out := s.status(); !out.Reading || out.storeAge() > partInterval || out.AgeMs == 0 || !s.Outdated() {
			t.Errorf("after 1 s of a transfer: %+v, outdated %v", out, s.Outdated())
		}
		time.Sleep(receivePatience)
		if out := s.status(); out.Reading || out.storeAge() <= partInterval {
			t.Errorf("after 3 s of a transfer: %+v", out)
		}
	})
}

// Guards against a configuration of the size that the daemon is designed for that is too large for a
// message between daemons.
func TestConfigurationOfDesignSizeTravels(t *testing.T) {
	c := &registry.Configuration{Version: 1}
	for i := range 26_000 {
		name := fmt.Sprintf("route-of-many-%05d", i)
		c.Routes = append(c.Routes, registry.Route{
			Name: name, Host: fmt.Sprintf("host-%03d.example", i%400), PathPrefix: "/" + name + "/", Timeout: 4 * time.Second, Goal: 1200 * time.Millisecond,
			Rank: 1, MaxBackends: 2, Parts: []catalog.WeightedService{{Service: fmt.Sprintf("service-%03d", i%890), Weight: 1}},
		})
	}
	for i := range 37_000 {
		keys := []catalog.KeyDigest{catalog.DigestOf(fmt.Sprint("first ", i)), catalog.DigestOf(fmt.Sprint("second ", i))}
		c.Organisations = append(c.Organisations, registry.Organisation{Name: fmt.Sprintf("organisation-of-many-%05d", i), Keys: keys, Rank: 1, RatePerSecond: 5.5, Burst: 5})
	}
	data, err := encodeMessage(&configurationMessage{Key: "op/config", Revision: 7, Full: c})
	if err != nil {
		t.Fatal(err)
	}
	var m configurationMessage
	if err := readMessage(bytes.NewReader(data), func() {}, &m); err != nil || !reflect.DeepEqual(m.Full, c) {
		t.Errorf("a message of %d bytes: %v", len(data), err)
	}
	t.Logf("%d bytes", len(data))
}
