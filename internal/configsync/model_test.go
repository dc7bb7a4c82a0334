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

var errModel = errors.New("not reachable")

// modelPlatform keeps all versions. upTo limits what readers see when the platform is stale.
type modelPlatform struct {
	revision, upTo uint64
	versions       map[string][]platform.Value
	down           bool
}

func (p *modelPlatform) put(name, content string) {
	p.revision++
	p.versions[name] = append(p.versions[name], platform.Value{Name: name, Revision: p.revision, Data: []byte(content)})
}

func (p *modelPlatform) restore(revision uint64) {
	for name, versions := range p.versions {
		p.versions[name] = slices.DeleteFunc(versions, func(v platform.Value) bool { return v.Revision > revision })
	}
	p.revision = revision
}

func (p *modelPlatform) at(name string) (found platform.Value) {
	for _, v := range p.versions[name] {
		if p.upTo == 0 || v.Revision <= p.upTo {
			found = v
		}
	}
	return found
}

// changes lists what changed after a revision.
func (p *modelPlatform) changes(after uint64) platform.Changes {
	changes := platform.Changes{Revision: p.revision}
	if p.upTo > 0 {
		changes.Revision = min(p.revision, p.upTo)
	}
	for _, name := range slices.Sorted(maps.Keys(p.versions)) {
		if v := p.at(name); v.Revision > after {
			changes.Changed = append(changes.Changed, platform.Change{Name: name, Revision: v.Revision})
		}
	}
	return changes
}

// answer applies a step as of now and returns the function that hands the answer to a syncer.
func (p *modelPlatform) answer(step Step, asked time.Time) func(now time.Time, s *Syncer) {
	var err error
	if p.down {
		err = &platform.Error{Kind: platform.Unreachable, Call: "model", Cause: errModel}
	}
	switch step.Kind {
	case StepChanges:
		changes := p.changes(step.After)
		return func(now time.Time, s *Syncer) { s.ChangesDone(now, step, asked, changes, err) }
	case StepValue:
		v := p.at(step.Name)
		if v.Revision == 0 && err == nil {
			err = &platform.Error{Kind: platform.NotFound, Call: "model"}
		}
		return func(now time.Time, s *Syncer) { s.ValueDone(now, step, v, err) }
	}
	return func(now time.Time, s *Syncer) { s.VMsDone(now, platform.VMList{}, err) }
}

// daemon is one daemon of the model with its current incarnation.
type daemon struct {
	vm          membership.VM
	incarnation uint64
	syncer      *Syncer
	paused      bool
	// reading and exchanging are true while the goroutine of that duty waits for an answer.
	reading, exchanging bool
	// highest holds the highest revisions seen held and in force in this incarnation.
	held, inForce map[string]uint64
	// asked holds the highest revisions that the peers asked during the start held.
	asked map[string]uint64
	ready bool
	// book is nil in tests about revisions alone, whose values hold no documents.
	book *inforce.Book
	// versions holds the versions of documents seen in force or deleted in this incarnation, recalled those that the peers
	// asked during the start had in force.
	versions, recalled map[contract.Ref]uint64
	// inBook caches what is in force in book until the next merge.
	inBook map[contract.Ref]uint64
	// gone holds the documents seen in force before that are deleted.
	gone map[contract.Ref]bool
}

// packet is a message on its way. lost is called instead of arrive when it does not get through.
type packet struct {
	from, to     *daemon
	arrive, lost func()
}

// model is a fleet whose network delivers, loses and repeats as the test decides.
type model struct {
	now       time.Time
	platform  *modelPlatform
	daemons   []*daemon
	directory *membership.Directory
	blocked   map[[2]*daemon]bool
	packets   []packet
	// repeats holds pushes of values that can arrive again at any later time.
	repeats []packet
	seed    uint64
	seeds   []string
	// documents makes the daemons merge the documents of values.
	documents bool
}

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
		m.seeds = append(m.seeds, vm.Address)
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

// restart replaces the process by one with empty memory.
func (m *model) restart(d *daemon) {
	d.incarnation++
	d.paused, d.reading, d.exchanging, d.ready = false, false, false, false
	d.held, d.inForce, d.asked = map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
	m.seed++
	d.versions, d.recalled = map[contract.Ref]uint64{}, map[contract.Ref]uint64{}
	if m.documents {
		d.book, d.inBook, d.gone = inforce.New(), nil, nil
	}
	members := membership.New(membership.Config{Self: d.vm, Seeds: m.seeds, Salt: m.seed})
	d.syncer = NewSyncer(m.now, SyncerConfig{Store: NewStore(), Members: members, Random: rand.New(rand.NewPCG(m.seed, 0))})
}

func (m *model) byAddress(address string) *daemon {
	return m.daemons[slices.IndexFunc(m.daemons, func(d *daemon) bool { return d.vm.Address == address })]
}

// send puts a message on its way. Both ends must still be the same process when it arrives.
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

// deliver lets the i-th message arrive, or loses it when its path is blocked or its receiver paused.
func (m *model) deliver(i int, lose bool) {
	p := m.packets[i]
	m.packets = slices.Delete(m.packets, i, i+1)
	if lose || p.to.paused || m.blocked[[2]*daemon{p.from, p.to}] {
		p.lost()
		return
	}
	p.arrive()
}

// read does one step of reading. The answer is as of now and arrives later.
func (m *model) read(d *daemon) {
	if d.paused || d.reading {
		return
	}
	step := d.syncer.NextRead(m.now)
	if step.Kind == StepWait {
		return
	}
	d.reading = true
	done := m.platform.answer(step, m.now)
	m.send(d, d, func() { d.reading = false; done(m.now, d.syncer) }, func() {
		d.reading = false
		down := modelPlatform{down: true}
		down.answer(step, m.now)(m.now, d.syncer)
	})
}

// exchange does what Runner.exchange does, with each message on the model's network.
func (m *model) exchange(d *daemon) {
	if d.paused || d.exchanging {
		return
	}
	starting, next := d.syncer.Starting(), d.syncer.NextRepair
	if starting {
		next = d.syncer.NextAsk
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
		listing, age, ever := to.syncer.store.Revisions(), time.Duration(0), false
		age, ever = to.syncer.PlatformAge(m.now)
		sender := membership.Sender{VM: to.vm.ID, Incarnation: to.incarnation}
		same, inForce := to.syncer.store.Digest() == digest, to.generations()
		m.send(to, d, func() {
			d.syncer.members.Answered(m.now, peer, sender)
			if ever {
				d.syncer.HeardOfPlatform(m.now, age)
			}
			var pull []string
			var offers []Revision
			if !same {
				pull, offers = d.syncer.Compared(m.now, to.vm.ID, listing)
			}
			m.pull(d, to, pull, func() {
				d.exchanging = false
				if starting {
					d.syncer.AskDone(to.vm.ID)
					for _, r := range listing {
						d.asked[r.Name] = max(d.asked[r.Name], r.Revision)
					}
					for ref, generation := range inForce {
						d.recalled[ref] = max(d.recalled[ref], generation)
					}
				} else if len(offers) > 0 {
					m.offer(d, to, offers)
				}
			}, fail)
		}, func() {})
		// The answer's loss is the caller's failure; a packet from the receiver cannot report it there.
		m.packets[len(m.packets)-1].lost = onlyIf(d, fail)
	}, fail)
}

// onlyIf calls f when the daemon is still the same process.
func onlyIf(d *daemon, f func()) func() {
	incarnation := d.incarnation
	return func() {
		if d.incarnation == incarnation {
			f()
		}
	}
}

func (m *model) pull(d, to *daemon, names []string, done, fail func()) {
	if len(names) == 0 {
		done()
		return
	}
	m.send(d, to, func() {
		values := valuesOf(to.syncer.store, names)
		m.send(to, d, func() { d.syncer.Receive(m.now, to.vm.ID, values); done() }, func() {})
		m.packets[len(m.packets)-1].lost = onlyIf(d, fail)
	}, fail)
}

func valuesOf(store *Store, names []string) []Value {
	list, _ := takeValues(store, names)
	return fromValues(list)
}

// offer does what Runner.push does. Values can arrive again later.
func (m *model) offer(d, to *daemon, offers []Revision) {
	nothing := func() {}
	m.send(d, to, func() {
		wanted := to.syncer.Offered(m.now, d.vm.ID, offers)
		m.send(to, d, func() {
			if len(wanted) > 0 {
				values := valuesOf(d.syncer.store, wanted)
				arrive := func() { to.syncer.Receive(m.now, d.vm.ID, values) }
				m.send(d, to, arrive, nothing)
				m.repeats = append(m.repeats, packet{d, to, arrive, nothing})
			}
		}, nothing)
	}, nothing)
}

func (m *model) push(d *daemon) {
	if d.paused {
		return
	}
	targets, offers := d.syncer.PushRound(m.now)
	for i, peer := range targets {
		m.offer(d, m.byAddress(peer.Address), offers[i])
	}
}

func (m *model) apply(d *daemon) {
	if d.paused {
		return
	}
	for _, r := range d.syncer.ToApply() {
		if r.Name == VMsName {
			d.syncer.members.SetDirectory(m.directory)
		}
		v, _ := d.syncer.store.Get(r.Name)
		memories := d.syncer.Memories(r.Name)
		residue, err := d.merge(v, memories)
		d.syncer.Settle(m.now, v, memories, residue, err)
	}
}
