package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"github.com/cowsliprun/cowsliprun/internal/platform"
	"github.com/cowsliprun/cowsliprun/internal/ring"
)

// eventCapacity bounds the events that wait for the audit writer; beyond it the oldest are lost. A
// start accepts and applies 580 values, which makes 1,160 events.
const eventCapacity = 2048

// Platform reads from the configuration service. *platform.Client implements it.
type Platform interface {
	// Changes lists the values changed after a revision. It waits up to wait for the first
	// change.
	Changes(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
	// Value returns the current revision of a value.
	Value(ctx context.Context, name string) (platform.Value, error)
	// VMs returns the list of live and leaving VMs.
	VMs(ctx context.Context) (platform.VMList, error)
}

// Options configure a Runner.
type Options struct {
	// Members is the membership view of this daemon. The runner takes it over: afterwards use
	// it only through View.
	Members *membership.Members
	// Incarnation is a random number drawn at the start of the process. It tells peers of a
	// restart.
	Incarnation uint64
	Platform    Platform
	Peers       PeerClient
	// Apply puts a value in force, merged with residues of peers. It is called on one
	// goroutine, in the order of revisions among the values held, and again for the same
	// revision when residues arrive later. It returns the residue for peers, or nil when the
	// value is enough. An error refuses the whole value: the previous one stays in force, but
	// the residues are merged.
	Apply func(u Update) (residue []byte, err error)
	// IndexNames returns the names that an index lists. Default: ParseIndex.
	IndexNames func(content []byte) ([]string, error)
	// Fanout is the number of peers in the own data centre to which a change is offered.
	// Default: DefaultFanout.
	Fanout int
	// Seed seeds the random choice of peers and intervals.
	Seed uint64
}

// Runner keeps the configuration of one daemon up to date. Create it with New. It is safe for
// concurrent use.
type Runner struct {
	opts   Options
	store  *Store
	events *ring.Ring[Event]
	// servedBytes counts the messages of calls that peers made.
	servedBytes byteCounts

	// applySignal and pushSignal wake applyLoop and pushLoop. Their capacity of one merges
	// signals.
	applySignal, pushSignal *ring.Ring[struct{}]

	// mu guards syncer and the Members of opts.
	mu     sync.Mutex
	syncer *Syncer
}

// New returns a runner that holds no values.
func New(opts Options) *Runner {
	r := &Runner{
		opts: opts, store: NewStore(), events: ring.New[Event](eventCapacity),
		applySignal: ring.New[struct{}](1), pushSignal: ring.New[struct{}](1),
	}
	r.syncer = NewSyncer(time.Now(), SyncerConfig{
		Store: r.store, Members: opts.Members, Random: rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		IndexNames: opts.IndexNames, Emit: r.events.Push, Fanout: opts.Fanout,
	})
	return r
}

// Run works until ctx ends, and returns after all its goroutines have.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.applyLoop, r.exchangeLoop, r.pushLoop, r.readLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Events returns the queue of events for the audit trail.
func (r *Runner) Events() *ring.Ring[Event] { return r.events }

// Held lists the revisions held, ordered by name.
func (r *Runner) Held() []Revision { return r.store.Revisions() }

// Value returns the value held, or false when there is none. It may not be in force yet.
func (r *Runner) Value(name string) (Value, bool) { return r.store.Get(name) }

// IndexRevision returns the revision of the index in force, or 0 for none.
func (r *Runner) IndexRevision() uint64 { return r.InForce(IndexName) }

// InForce returns the revision of a value that is in force, or 0 for none.
func (r *Runner) InForce(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syncer.InForce(name)
}

// Ready reports whether the daemon may serve, or else the reason why not. Once true, it stays true.
func (r *Runner) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syncer.Ready(time.Now())
}

// View calls f with the membership view, under the lock of the runner. f must return quickly, call
// no method of the runner and not keep m.
func (r *Runner) View(f func(now time.Time, m *membership.Members)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now(), r.syncer.members)
}

// SetDirectory replaces the VMs known from the configuration. Apply calls it after VMsName or
// DataCentresName changed.
func (r *Runner) SetDirectory(d *membership.Directory) {
	r.View(func(_ time.Time, m *membership.Members) { m.SetDirectory(d) })
}

// SetLeaving sets whether this daemon announces to peers that it is leaving.
func (r *Runner) SetLeaving(leaving bool) {
	r.View(func(_ time.Time, m *membership.Members) { m.SetLeaving(leaving) })
}

// sender describes this daemon in a message.
func (r *Runner) sender() *peerapi.Sender {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.syncer.members
	return &peerapi.Sender{Vm: m.Self().ID, Incarnation: r.opts.Incarnation, Leaving: m.IsLeaving()}
}

// platformAgeMs returns the time since the last answer of the platform, as encodeAge does.
func (r *Runner) platformAgeMs() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return encodeAge(r.syncer.PlatformAge(time.Now()))
}

// recordCaller records that a peer called, and the platform age that it reported.
func (r *Runner) recordCaller(sender *peerapi.Sender, ageMs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.syncer.members.Heard(now, senderFromProto(sender))
	r.recordPlatformAge(now, ageMs)
}

// recordPlatformAge takes over an encoded platform age of a peer. The caller must hold mu.
func (r *Runner) recordPlatformAge(now time.Time, ageMs uint64) {
	if age, known := decodeAge(ageMs); known {
		r.syncer.RecordPlatformAge(now, age)
	}
}

// receiveValues stores values of a peer and wakes the loops that process them.
func (r *Runner) receiveValues(source string, values []Value) {
	if len(values) == 0 {
		return
	}
	r.mu.Lock()
	stored := r.syncer.Receive(time.Now(), source, values)
	r.mu.Unlock()
	r.wakeLoops(stored)
}

// AddOwnResidue queues a residue of this daemon itself, to be merged into the named value and then
// offered to peers. Apply may call it.
func (r *Runner) AddOwnResidue(name string, residue []byte) {
	r.mu.Lock()
	r.syncer.AddOwnResidue(time.Now(), name, residue)
	r.mu.Unlock()
	r.applySignal.Offer(struct{}{})
}

// wakeLoops wakes applyLoop and pushLoop when values were stored.
func (r *Runner) wakeLoops(stored int) {
	if stored > 0 {
		r.applySignal.Offer(struct{}{})
		r.pushSignal.Offer(struct{}{})
	}
}

// wantedOffers returns the names of the offered values that this daemon wants from the peer.
func (r *Runner) wantedOffers(source string, offers []Revision) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syncer.WantedOffers(time.Now(), source, offers)
}
