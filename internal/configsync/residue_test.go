package configsync

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/inforce"
	"pgregory.net/rapid"
)

// generationsInForce returns the generations of the documents in force at a daemon, or nil without
// a configuration.
func (d *daemon) generationsInForce() map[contract.Ref]uint64 {
	if d.configuration == nil || d.cachedGenerations != nil {
		return d.cachedGenerations
	}
	out := map[contract.Ref]uint64{}
	documents, err := d.configuration.Documents(DataCentresName)
	if err != nil {
		panic(err)
	}
	for _, doc := range documents.All() {
		out[doc.Ref()] = doc.Version()
	}
	d.cachedGenerations = out
	return out
}

// merge does what the daemon does to apply a value.
func (d *daemon) merge(v Value, peerResidues []PeerResidue) ([]byte, error) {
	if d.configuration == nil || v.Name != DataCentresName {
		return nil, nil
	}
	content, err := v.Content()
	if err != nil {
		return nil, err
	}
	var list []inforce.PeerResidue
	for _, m := range peerResidues {
		list = append(list, inforce.PeerResidue{Source: m.Source, Content: m.Content, IsRawValue: m.IsRawValue})
	}
	d.cachedGenerations = nil
	result, err := d.configuration.Apply(v.Name, v.Revision.Number, content, list...)
	return result.Residue, err
}

// advertisedDeletions returns the generations of the deletions that a daemon tells its peers about.
func (d *daemon) advertisedDeletions(t *rapid.T) map[contract.Ref]uint64 {
	out := map[contract.Ref]uint64{}
	v, _ := d.syncer.store.Get(DataCentresName)
	for _, packed := range v.Residues {
		content, err := decompress(packed)
		if err != nil {
			t.Fatal(err)
		}
		residue, _, err := contract.DecodeResidue(DataCentresName, content, nil)
		if err != nil {
			continue // the value cannot be parsed and was not applied
		}
		for _, del := range residue.Tombstones {
			out[del.Ref] = max(out[del.Ref], del.Generation)
		}
	}
	return out
}

// checkDocuments checks that no generation goes down at a running daemon, and that no daemon begins
// to serve something older than a peer that it asked had in force.
func (m *model) checkDocuments(t *rapid.T) {
	for _, d := range m.daemons {
		current := d.generationsInForce()
		for ref, generation := range current {
			if generation < d.seenGenerations[ref] {
				t.Fatalf("%s has %s in force at %d after %d", d.vm.ID, ref, generation, d.seenGenerations[ref])
			}
		}
		for ref, generation := range d.seenGenerations {
			if _, inForce := current[ref]; !inForce && !d.deletedRefs[ref] {
				d.seenGenerations[ref] = generation + 1 // only a higher generation may come back
			}
		}
		d.deletedRefs = map[contract.Ref]bool{}
		for ref := range d.seenGenerations {
			_, inForce := current[ref]
			d.deletedRefs[ref] = !inForce
		}
		for ref, generation := range current {
			d.seenGenerations[ref] = generation
		}
		if ready, _ := d.syncer.Ready(m.now); ready && !d.ready {
			m.checkStartGenerations(t, d, current)
		}
	}
}

// checkStartGenerations checks that a daemon has nothing older in force, or deleted, than the peers
// that it asked during its start had in force.
func (m *model) checkStartGenerations(t *rapid.T, d *daemon, current map[contract.Ref]uint64) {
	for ref, generation := range d.startGenerations {
		if _, inForce := current[ref]; inForce && current[ref] < generation || !inForce && d.advertisedDeletions(t)[ref] < generation {
			t.Fatalf("%s serves %s at %d, a peer asked at the start had %d in force", d.vm.ID, ref, current[ref], generation)
		}
	}
}

// drawContent draws the content of a value: documents of any generation, missing, faulty and
// unnamed ones, or content that cannot be parsed.
func drawContent(t *rapid.T) string {
	var docs []string
	for _, name := range []string{"a", "b"} {
		doc := func(generation uint64, region string) string {
			return fmt.Sprintf(`{"apiVersion":%q,"kind":"DataCentre","dataCentre":%q,"generation":%d,"region":%s}`, contract.APIVersion, name, generation, region)
		}
		region := rapid.SampledFrom([]string{`"r"`, `"s"`}).Draw(t, "region")
		switch rapid.IntRange(0, 9).Draw(t, "form") {
		case 0:
		case 1:
			docs = append(docs, doc(9, "7"))
		case 2:
			docs = append(docs, `{"kind":"DataCentre","generation":9}`)
		default:
			docs = append(docs, doc(rapid.Uint64Range(1, 6).Draw(t, "generation"), region))
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "unreadable") == 9 {
		return "{"
	}
	return `{"documents":[` + strings.Join(docs, ",") + `]}`
}

// newDocumentModel returns a model whose daemons merge the documents of the value DataCentresName.
func newDocumentModel(n int, seed uint64) *model {
	m := newModel(n, seed)
	m.documents = true
	m.platform.put(DataCentresName, `{"documents":[]}`)
	m.platform.put(IndexName, `{"values":{"vms":{},"contracts/000":{},"contracts/001":{},"datacentres":{}}}`)
	for _, d := range m.daemons {
		m.restart(d)
	}
	return m
}

// Guards against documents that go back to an older generation when the platform publishes
// outdated, faulty and re-created ones, messages are lost, and daemons restart. A restarted daemon
// must serve nothing older than its peers, and all must converge.
func TestAcceptedDocumentsSurviveRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDocumentModel(rapid.IntRange(2, 6).Draw(t, "n"), rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		m.run(t, 10*time.Second)
		pick := func(t *rapid.T) *daemon { return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, "daemon")] }
		message := func(t *rapid.T) int {
			if len(m.packets) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, len(m.packets)-1).Draw(t, "message")
		}
		work := func(t *rapid.T) {
			d := pick(t)
			m.read(d)
			m.exchange(d)
			m.push(d)
		}
		run := func(t *rapid.T) {
			m.run(t, time.Duration(rapid.IntRange(1, 5).Draw(t, "s"))*time.Second)
		}
		t.Repeat(map[string]func(*rapid.T){
			"work": work, "work more": work, "run": run,
			"apply": func(t *rapid.T) { m.apply(pick(t)) }, "apply more": func(t *rapid.T) { m.apply(pick(t)) },
			"deliver":      func(t *rapid.T) { m.deliver(message(t), false) },
			"deliver more": func(t *rapid.T) { m.deliver(message(t), false) },
			"deliver all": func(*rapid.T) {
				for len(m.packets) > 0 {
					m.deliver(0, false)
				}
			},
			"lose": func(t *rapid.T) { m.deliver(message(t), true) },
			"repeat": func(t *rapid.T) {
				if len(m.duplicates) == 0 {
					t.Skip("no message")
				}
				m.duplicates[rapid.IntRange(0, len(m.duplicates)-1).Draw(t, "repeat")].arrive()
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"publish": func(t *rapid.T) { m.platform.put(DataCentresName, drawContent(t)) },
			"publish and run": func(t *rapid.T) {
				m.platform.put(DataCentresName, drawContent(t))
				run(t)
			},
			"restart and run": func(t *rapid.T) {
				m.restart(pick(t))
				run(t)
			},
			"platform down":  func(t *rapid.T) { m.platform.down = rapid.Bool().Draw(t, "down") },
			"platform stale": func(t *rapid.T) { m.platform.visibleUpTo = rapid.Uint64Range(0, m.platform.revision).Draw(t, "upTo") },
			"restart":        func(t *rapid.T) { m.restart(pick(t)) },
			"block": func(t *rapid.T) {
				pair := [2]*daemon{pick(t), pick(t)}
				m.blocked[pair] = !m.blocked[pair]
			},
			"": m.checkInvariants,
		})
		for len(m.packets) > 0 {
			m.deliver(0, true)
		}
		m.checkConverges(t)
	})
}

// dataCentreValue returns a value with one data centre, "a", of the given generation.
func dataCentreValue(revision uint64, generation int) Value {
	content := fmt.Sprintf(`{"documents":[{"apiVersion":%q,"kind":"DataCentre","dataCentre":"a","generation":%d,"region":"r"}]}`, contract.APIVersion, generation)
	return Value{Revision: Revision{Name: DataCentresName, Number: revision}, Data: compress.Pack([]byte(content))}
}

// Guards against a restarted daemon that serves an older generation than the peer it asked had in
// force. This can happen when one of them holds a newer value that is not applied yet, or when they
// hold different revisions.
func TestRestartedDaemonServesNoOlderGenerationDuringChange(t *testing.T) {
	const accepted, outdated = 5, 3
	ref := contract.Ref{Kind: contract.KindDataCentre, Name: "a"}
	for name, change := range map[string]func(m *model, peer, fresh *daemon){
		"the change comes before what the peer supplied is applied": func(*model, *daemon, *daemon) {},
		"the peer has not heard of the change": func(m *model, _, fresh *daemon) {
			fresh.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
		},
		"the peer has not applied the change": func(m *model, peer, _ *daemon) {
			peer.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
		},
		"both have not applied the change": func(m *model, peer, fresh *daemon) {
			peer.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
			fresh.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
		},
		"the peer applied the change": func(m *model, peer, _ *daemon) {
			peer.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
			m.apply(peer)
		},
		"the peer applied a value while a newer one came": func(m *model, peer, _ *daemon) {
			peer.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(99, accepted+1)})
			applying, _ := peer.syncer.store.Get(DataCentresName)
			peer.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
			residue, err := peer.merge(applying, nil)
			peer.syncer.FinishApply(m.now, applying, nil, residue, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newDocumentModel(2, 1)
			m.platform.down = true
			peer, fresh := m.daemons[0], m.daemons[1]
			peer.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(98, accepted)})
			m.apply(peer)
			change(m, peer, fresh)
			want := peer.generationsInForce()[ref]
			for range 20 {
				m.exchange(fresh)
				for len(m.packets) > 0 {
					m.deliver(0, false)
				}
			}
			fresh.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, outdated)})
			m.apply(fresh)
			if got := fresh.generationsInForce()[ref]; fresh.syncer.Starting() || want < accepted || got != want {
				t.Errorf("generation %d in force, the peer asked had %d; starting: %t", got, want, fresh.syncer.Starting())
			}
		})
	}
}

// Guards against a different residue that an exchange finds in one direction only, and against an
// unusable residue that is pulled again with every exchange.
func TestResidueIsOfferedAndPulledOnce(t *testing.T) {
	m := newDocumentModel(2, 1)
	a, b := m.daemons[0], m.daemons[1]
	for _, d := range m.daemons {
		d.syncer.finishStart()
		d.syncer.Receive(m.now, SourcePlatform, []Value{dataCentreValue(100, 3)})
		m.apply(d)
	}
	v, _ := a.syncer.store.Get(DataCentresName)
	a.syncer.FinishApply(m.now, v, nil, []byte(`{"documents":[7]}`), nil)
	if _, offers := a.syncer.CompareRevisions(m.now, b.vm.ID, b.syncer.store.Revisions()); len(offers) != 1 || offers[0].Residue == 0 {
		t.Errorf("offers %+v", offers)
	}
	for i, want := range []int{1, 0, 0} {
		pull, _ := b.syncer.CompareRevisions(m.now, a.vm.ID, a.syncer.store.Revisions())
		if len(pull) != want {
			t.Fatalf("exchange %d pulls %v", i, pull)
		}
		b.syncer.Receive(m.now, a.vm.ID, valuesOf(a.syncer.store, pull))
		m.apply(b)
		m.now = m.now.Add(RepairInterval)
	}
	if got, _ := b.syncer.store.Get(DataCentresName); got.Residue != 0 || len(b.syncer.RevisionsToApply()) > 0 {
		t.Errorf("an unusable residue was kept: %+v, to apply %v", got.Revision, b.syncer.RevisionsToApply())
	}
	refused := 0
	b.syncer.cfg.Emit = func(e Event) {
		if e.Kind == EventRefused && e.Source == a.vm.ID {
			refused++
		}
	}
	b.syncer.Receive(m.now, a.vm.ID, []Value{{Revision: v.Revision, Data: v.Data, Residues: [][]byte{[]byte("plain")}}})
	if refused != 1 {
		t.Errorf("a residue that is not gzip was refused %d times", refused)
	}
}

// checkConverges heals the fleet. It checks that all daemons then have the same in force, and
// nothing older than any of them had before.
func (m *model) checkConverges(t *rapid.T) {
	before := map[contract.Ref]uint64{}
	for _, d := range m.daemons {
		for ref, generation := range d.generationsInForce() {
			before[ref] = max(before[ref], generation)
		}
	}
	m.heal()
	m.platform.down, m.platform.visibleUpTo = false, 0
	m.run(t, 2*time.Minute)
	first := m.daemons[0]
	want, err := first.configuration.Documents(DataCentresName)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range m.daemons {
		got, err := d.configuration.Documents(DataCentresName)
		// All sorts by name. The order in Documents depends on how each document arrived.
		if err != nil || !slices.EqualFunc(got.All(), want.All(), contract.SameContent) {
			t.Fatalf("%s has %v in force, %s has %v, %v", d.vm.ID, got, first.vm.ID, want, err)
		}
		if d.syncer.store.Digest() != first.syncer.store.Digest() {
			t.Fatalf("%s and %s have the same in force and different digests", d.vm.ID, first.vm.ID)
		}
		if ready, reason := d.syncer.Ready(m.now); !ready {
			t.Fatalf("%s is not ready: %s", d.vm.ID, reason)
		}
	}
	after, deleted := first.generationsInForce(), first.advertisedDeletions(t)
	for ref, generation := range before {
		if _, inForce := after[ref]; inForce && after[ref] < generation || !inForce && deleted[ref] < generation {
			t.Fatalf("%s went from %d to %d", ref, generation, after[ref])
		}
	}
}
