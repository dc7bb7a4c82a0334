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

// eventCapacity bounds the events that wait for the audit writer. The oldest are lost first. A start accepts and applies
// 580 values.
const eventCapacity = 2048

// Platform reads the configuration service. *platform.Client implements it.
type Platform interface {
	Changes(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
	Value(ctx context.Context, name string) (platform.Value, error)
	VMs(ctx context.Context) (platform.VMList, error)
}

// Options of New.
type Options struct {
	// Members of the daemon. The runner takes it over: use View afterwards.
	Members *membership.Members
	// Incarnation is a random number drawn at the start of the process.
	Incarnation uint64
	Platform    Platform
	Peers       PeerClient
	// Apply puts a value in force, together with memories of peers. It is called on one goroutine, in the order of revisions
	// as far as they are held, and again for the same revision when memories arrive later. It returns the residue for peers,
	// nil when the value is enough. An error refuses the whole value, but not the memories; the previous one stays in force.
	Apply func(u Update) (residue []byte, err error)
	// IndexNames returns the names that an index lists. Default: ParseIndex.
	IndexNames func(content []byte) ([]string, error)
	// Fanout is the number of peers offered a change. Default: DefaultFanout.
	Fanout int
	// Seed draws peers and intervals.
	Seed uint64
}

// Runner keeps the configuration of one daemon up to date. Create it with New.
type Runner struct {
	opts   Options
	store  *Store
	events *ring.Ring[Event]
	served byteCounts

	// applyWork and pushWork wake the goroutines of these duties.
	applyWork, pushWork *ring.Ring[struct{}]

	mu     sync.Mutex
	syncer *Syncer
}

// New returns a runner that holds nothing.
func New(opts Options) *Runner {
	r := &Runner{
		opts: opts, store: NewStore(), events: ring.New[Event](eventCapacity),
		applyWork: ring.New[struct{}](1), pushWork: ring.New[struct{}](1),
	}
	r.syncer = NewSyncer(time.Now(), SyncerConfig{
		Store: r.store, Members: opts.Members, Random: rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		IndexNames: opts.IndexNames, Emit: r.events.Push, Fanout: opts.Fanout,
	})
	return r
}

// Run works until ctx ends, and returns when all its goroutines have.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){r.runApply, r.runExchange, r.runPush, r.runRead} {
		wg.Go(func() { duty(ctx) })
	}
	wg.Wait()
}

// Events returns the ring of events for the audit trail.
func (r *Runner) Events() *ring.Ring[Event] { return r.events }

// Held lists the revisions held, by name.
func (r *Runner) Held() []Revision { return r.store.Revisions() }

// Value returns a value held. It may not be in force yet.
func (r *Runner) Value(name string) (Value, bool) { return r.store.Get(name) }

// IndexRevision returns the revision of the index in force, or 0.
func (r *Runner) IndexRevision() uint64 { return r.InForce(IndexName) }

// InForce returns the revision of a value in force, or 0.
func (r *Runner) InForce(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syncer.InForce(name)
}

// Ready reports whether the daemon may serve, else the reason. Once true, it stays true.
func (r *Runner) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syncer.Ready(time.Now())
}

// View calls f with the view of the fleet. f must be short and must not keep m.
func (r *Runner) View(f func(now time.Time, m *membership.Members)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now(), r.syncer.members)
}

// SetDirectory replaces the VMs of the configuration. Apply calls it when the values VMsName or DataCentresName changed.
func (r *Runner) SetDirectory(d *membership.Directory) {
	r.View(func(_ time.Time, m *membership.Members) { m.SetDirectory(d) })
}

// SetLeaving announces to peers that this daemon is leaving.
func (r *Runner) SetLeaving(leaving bool) {
	r.View(func(_ time.Time, m *membership.Members) { m.SetLeaving(leaving) })
}

func (r *Runner) sender() *peerapi.Sender {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.syncer.members
	return &peerapi.Sender{Vm: m.Self().ID, Incarnation: r.opts.Incarnation, Leaving: m.IsLeaving()}
}

func (r *Runner) age() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toAge(r.syncer.PlatformAge(time.Now()))
}

func (r *Runner) heard(sender *peerapi.Sender, ageMs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.syncer.members.Heard(now, fromSender(sender))
	r.hearAge(now, ageMs)
}

// hearAge needs the lock.
func (r *Runner) hearAge(now time.Time, ageMs uint64) {
	if age, ever := fromAge(ageMs); ever {
		r.syncer.HeardOfPlatform(now, age)
	}
}

func (r *Runner) receive(source string, values []Value) {
	if len(values) == 0 {
		return
	}
	r.mu.Lock()
	stored := r.syncer.Receive(time.Now(), source, values)
	r.mu.Unlock()
	r.wake(stored)
}

// Remember merges a residue of this daemon itself into a value, and spreads the result to peers. Apply may call it.
func (r *Runner) Remember(name string, residue []byte) {
	r.mu.Lock()
	r.syncer.RememberOwn(time.Now(), name, residue)
	r.mu.Unlock()
	r.applyWork.Offer(struct{}{})
}

func (r *Runner) wake(stored int) {
	if stored > 0 {
		r.applyWork.Offer(struct{}{})
		r.pushWork.Offer(struct{}{})
	}
}

func (r *Runner) offered(source string, offers []Revision) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syncer.Offered(time.Now(), source, offers)
}
