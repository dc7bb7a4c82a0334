package configsync

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/inforce"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/platform"
)

// errUnreachable is the error of calls to a platform or daemon that is down.
var errUnreachable = errors.New("not reachable")

// modelPlatform keeps all versions of its values. visibleUpTo limits the revisions that readers see
// while the platform is stale; 0 is no limit.
type modelPlatform struct {
	revision, visibleUpTo uint64
	versions              map[string][]platform.Value
	down                  bool
}

// put stores content as the next revision.
func (p *modelPlatform) put(name, content string) {
	p.revision++
	p.versions[name] = append(p.versions[name], platform.Value{Name: name, Revision: p.revision, Data: []byte(content)})
}

// restore discards what changed after a revision, as a restore from a backup does.
func (p *modelPlatform) restore(revision uint64) {
	for name, versions := range p.versions {
		p.versions[name] = slices.DeleteFunc(versions, func(v platform.Value) bool { return v.Revision > revision })
	}
	p.revision = revision
}

// latest returns the last version that readers see, or the zero value.
func (p *modelPlatform) latest(name string) (found platform.Value) {
	for _, v := range p.versions[name] {
		if p.visibleUpTo == 0 || v.Revision <= p.visibleUpTo {
			found = v
		}
	}
	return found
}

// changes lists what changed after a revision.
func (p *modelPlatform) changes(after uint64) platform.Changes {
	changes := platform.Changes{Revision: p.revision}
	if p.visibleUpTo > 0 {
		changes.Revision = min(p.revision, p.visibleUpTo)
	}
	for _, name := range slices.Sorted(maps.Keys(p.versions)) {
		if v := p.latest(name); v.Revision > after {
			changes.Changed = append(changes.Changed, platform.Change{Name: name, Revision: v.Revision})
		}
	}
	return changes
}

// answerStep computes the answer to a step at the present state. The function that it returns
// passes the answer to a syncer.
func (p *modelPlatform) answerStep(step Step, asked time.Time) func(now time.Time, s *Syncer) {
	var err error
	if p.down {
		err = &platform.Error{Kind: platform.Unreachable, Call: "model", Cause: errUnreachable}
	}
	switch step.Kind {
	case StepChanges:
		changes := p.changes(step.After)
		return func(now time.Time, s *Syncer) { s.HandleChanges(now, step, asked, changes, err) }
	case StepValue:
		v := p.latest(step.Name)
		if v.Revision == 0 && err == nil {
			err = &platform.Error{Kind: platform.NotFound, Call: "model"}
		}
		return func(now time.Time, s *Syncer) { s.HandleValue(now, step, v, err) }
	}
	return func(now time.Time, s *Syncer) { s.HandleVMs(now, platform.VMList{}, err) }
}

// daemon is one daemon of the model, as its current process. restart replaces the process.
type daemon struct {
	vm          membership.VM
	incarnation uint64
	syncer      *Syncer
	paused      bool
	// reading and exchanging are true while the loop of that name waits for an answer.
	reading, exchanging bool
	// highestHeld and highestInForce map each value to the highest revision seen held and in
	// force in this process.
	highestHeld, highestInForce map[string]uint64
	// startRevisions maps each value to the highest revision held by a peer that was asked
	// during the start.
	startRevisions map[string]uint64
	ready          bool
	// configuration is nil in tests of revisions alone, whose values hold no documents.
	configuration *inforce.Configuration
	// seenGenerations holds the least generation that each document may have in force from now
	// on. startGenerations holds the generations in force at the peers that were asked during
	// the start.
	seenGenerations, startGenerations map[contract.Ref]uint64
	// cachedGenerations caches what configuration has in force until the next merge.
	cachedGenerations map[contract.Ref]uint64
	// deletedRefs holds the documents that were in force before and are not any more.
	deletedRefs map[contract.Ref]bool
}

// packet is a message in transit. lost is called instead of arrive when it is not delivered.
type packet struct {
	from, to     *daemon
	arrive, lost func()
}

// model is a fleet whose network delivers, loses and duplicates messages as the test decides.
type model struct {
	now       time.Time
	platform  *modelPlatform
	daemons   []*daemon
	directory *membership.Directory
	blocked   map[[2]*daemon]bool
	packets   []packet
	// duplicates holds pushes of values that can arrive again at any later time.
	duplicates    []packet
	seed          uint64
	seedAddresses []string
	// documents makes the daemons merge the documents of values.
	documents bool
}

// newModel returns a fleet of n daemons in two data centres and a platform with four values. No
// daemon has run yet.
func newModel(n int, seed uint64) *model {
	m := &model{
		now: time.Unix(1_800_000_000, 0), seed: seed, blocked: map[[2]*daemon]bool{},
		platform: &modelPlatform{versions: map[string][]platform.Value{}},
	}
	var vms []membership.VM
	for i := range n {
		vm := membership.VM{ID: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%2), Region: fmt.Sprintf("r%d", i%2), Address: fmt.Sprintf("h:%d", i)}
		vms = append(vms, vm)
		m.daemons = append(m.daemons, &daemon{vm: vm})
	}
	for _, vm := range vms[:min(n, 4)] {
		m.seedAddresses = append(m.seedAddresses, vm.Address)
	}
	m.directory = membership.NewDirectory(vms)
	m.platform.put(VMsName, "{}")
	m.platform.put("contracts/000", "0")
	m.platform.put("contracts/001", "0")
	m.platform.put(IndexName, `{"values":{"vms":{},"contracts/000":{},"contracts/001":{}}}`)
	for _, d := range m.daemons {
		m.restart(d)
	}
	return m
}

// restart replaces the process of a daemon by one with empty memory.
func (m *model) restart(d *daemon) {
	d.incarnation++
	d.paused, d.reading, d.exchanging, d.ready = false, false, false, false
	d.highestHeld, d.highestInForce, d.startRevisions = map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
	m.seed++
	d.seenGenerations, d.startGenerations = map[contract.Ref]uint64{}, map[contract.Ref]uint64{}
	if m.documents {
		d.configuration, d.cachedGenerations, d.deletedRefs = inforce.New(), nil, nil
	}
	members := membership.New(membership.Config{Self: d.vm, Seeds: m.seedAddresses, Salt: m.seed})
	d.syncer = NewSyncer(m.now, SyncerConfig{Store: NewStore(), Members: members, Random: rand.New(rand.NewPCG(m.seed, 0))})
}

// byAddress returns the daemon with the address, which must exist.
func (m *model) byAddress(address string) *daemon {
	return m.daemons[slices.IndexFunc(m.daemons, func(d *daemon) bool { return d.vm.Address == address })]
}

// send puts a message in transit. A message to a process that was replaced is lost. A loss is not
// reported to a sender that was replaced.
func (m *model) send(from, to *daemon, arrive, lost func()) packet {
	sender, receiver := from.incarnation, to.incarnation
	p := packet{from, to,
		func() {
			if to.incarnation == receiver {
				arrive()
			} else if from.incarnation == sender {
				lost()
			}
		},
		func() {
			if from.incarnation == sender {
				lost()
			}
		}}
	m.packets = append(m.packets, p)
	return p
}

// deliver delivers the i-th message, or loses it when lose is set, its path is blocked or its
// receiver is paused.
func (m *model) deliver(i int, lose bool) {
	p := m.packets[i]
	m.packets = slices.Delete(m.packets, i, i+1)
	if lose || p.to.paused || m.blocked[[2]*daemon{p.from, p.to}] {
		p.lost()
		return
	}
	p.arrive()
}

// read starts one call to the platform. The answer has the present state and arrives later.
func (m *model) read(d *daemon) {
	if d.paused || d.reading {
		return
	}
	step := d.syncer.NextReadStep(m.now)
	if step.Kind == StepWait {
		return
	}
	d.reading = true
	done := m.platform.answerStep(step, m.now)
	m.send(d, d, func() { d.reading = false; done(m.now, d.syncer) }, func() {
		d.reading = false
		down := modelPlatform{down: true}
		down.answerStep(step, m.now)(m.now, d.syncer)
	})
}

// exchange does what Runner.exchange does, with each message in transit on the model's network.
func (m *model) exchange(d *daemon) {
	if d.paused || d.exchanging {
		return
	}
	starting, next := d.syncer.Starting(), d.syncer.NextRepairPeer
	if starting {
		next = d.syncer.NextStartPeer
	}
	peer, due, _ := next(m.now)
	if !due {
		return
	}
	d.exchanging = true
	to := m.byAddress(peer.Address)
	digest := d.syncer.store.Digest()
	fail := func() { d.exchanging = false; d.syncer.members.Failed(m.now, peer) }
	m.send(d, to, func() {
		to.syncer.members.Heard(m.now, membership.Sender{VM: d.vm.ID, Incarnation: d.incarnation})
		listing, age, known := to.syncer.store.Revisions(), time.Duration(0), false
		age, known = to.syncer.PlatformAge(m.now)
		sender := membership.Sender{VM: to.vm.ID, Incarnation: to.incarnation}
		same, inForce := to.syncer.store.Digest() == digest, to.generationsInForce()
		m.send(to, d, func() {
			d.syncer.members.Answered(m.now, peer, sender)
			if known {
				d.syncer.RecordPlatformAge(m.now, age)
			}
			var pull []string
			var offers []Revision
			if !same {
				pull, offers = d.syncer.CompareRevisions(m.now, to.vm.ID, listing)
			}
			m.pull(d, to, pull, func() {
				d.exchanging = false
				if starting {
					d.syncer.RecordStartAnswer(to.vm.ID)
					for _, r := range listing {
						d.startRevisions[r.Name] = max(d.startRevisions[r.Name], r.Number)
					}
					for ref, generation := range inForce {
						d.startGenerations[ref] = max(d.startGenerations[ref], generation)
					}
				} else if len(offers) > 0 {
					m.offer(d, to, offers)
				}
			}, fail)
		}, func() {})
		// A lost answer is a failure at the caller, but send reports a loss to the process that sent
		// the packet, which is the receiver of the call.
		m.packets[len(m.packets)-1].lost = ifSameProcess(d, fail)
	}, fail)
}

// ifSameProcess returns a function that calls f unless the daemon was restarted in the meantime.
func ifSameProcess(d *daemon, f func()) func() {
	incarnation := d.incarnation
	return func() {
		if d.incarnation == incarnation {
			f()
		}
	}
}

// pull does what Runner.pull does with one message. It calls done or fail at the end.
func (m *model) pull(d, to *daemon, names []string, done, fail func()) {
	if len(names) == 0 {
		done()
		return
	}
	m.send(d, to, func() {
		values := valuesOf(to.syncer.store, names)
		m.send(to, d, func() { d.syncer.Receive(m.now, to.vm.ID, values); done() }, func() {})
		m.packets[len(m.packets)-1].lost = ifSameProcess(d, fail)
	}, fail)
}

// valuesOf returns values as they arrive at a peer in one message.
func valuesOf(store *Store, names []string) []Value {
	list, _ := nextValueBatch(store, names)
	return valuesFromProto(list)
}

// offer does what Runner.push does. The message with the values can arrive again later.
func (m *model) offer(d, to *daemon, offers []Revision) {
	ignore := func() {}
	m.send(d, to, func() {
		wanted := to.syncer.WantedOffers(m.now, d.vm.ID, offers)
		m.send(to, d, func() {
			if len(wanted) > 0 {
				values := valuesOf(d.syncer.store, wanted)
				arrive := func() { to.syncer.Receive(m.now, d.vm.ID, values) }
				m.send(d, to, arrive, ignore)
				m.duplicates = append(m.duplicates, packet{d, to, arrive, ignore})
			}
		}, ignore)
	}, ignore)
}

// push does one round of Runner.pushLoop.
func (m *model) push(d *daemon) {
	if d.paused {
		return
	}
	targets, offers := d.syncer.NextPushRound(m.now)
	for i, peer := range targets {
		m.offer(d, m.byAddress(peer.Address), offers[i])
	}
}

// apply does one round of Runner.applyLoop.
func (m *model) apply(d *daemon) {
	if d.paused {
		return
	}
	for _, r := range d.syncer.RevisionsToApply() {
		if r.Name == VMsName {
			d.syncer.members.SetDirectory(m.directory)
		}
		v, _ := d.syncer.store.Get(r.Name)
		peerResidues := d.syncer.PeerResidues(r.Name)
		residue, err := d.merge(v, peerResidues)
		d.syncer.FinishApply(m.now, v, peerResidues, residue, err)
	}
}
