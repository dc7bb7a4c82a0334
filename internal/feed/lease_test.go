package feed

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// leaseLimit is the time after which no daemon may accept a revoked key, on all deployments.
	leaseLimit = 5 * time.Second
	// leaseStep is the time between two checks of all daemons.
	leaseStep = 20 * time.Millisecond
	// leaseContactTime is the time after which a daemon that was silent must have its lease again.
	leaseContactTime = 3 * time.Second
)

// skewedLease returns a lease whose clock has another reading than those of other daemons, and runs up
// to 0.5% too fast or too slow.
func skewedLease(n *regionNode, limit time.Duration) *keylease.Lease {
	random := rand.New(rand.NewPCG(51, uint64(n.vm[len(n.vm)-1])))
	base, rate, start := time.Hour+time.Duration(random.IntN(1000))*time.Hour, 0.995+0.01*random.Float64(), time.Now()
	if n.vm == "vm0000" {
		rate = 0.995
	}
	clock := func() time.Duration { return base + time.Duration(math.Round(rate*float64(time.Since(start)))) }
	return keylease.New(clock, limit, n.configurationInForce)
}

// newSkewedLease is skewedLease with the limit of all deployments.
func newSkewedLease(n *regionNode) *keylease.Lease { return skewedLease(n, leaseLimit) }

// configurationInForce returns the version of the node's configuration once it serves.
func (n *regionNode) configurationInForce() uint64 {
	if n.source == nil || !n.source.Fresh() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, _ := n.table.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// leasePlay is a time in which some VMs of a region are disturbed, while configurations change.
type leasePlay struct {
	size int
	// vms are the numbers of the disturbed VMs.
	vms []int
	// set disturbs a VM, or ends that.
	set func(n *regionNode, on bool)
	// lasts is how long the VMs are disturbed.
	lasts time.Duration
	// configurations is the time between two changes of the configuration. 0 means none.
	configurations time.Duration
	// phase is added to the time between the start of the region and the disturbance. limit is the limit
	// of the leases, 0 for leaseLimit.
	phase, limit time.Duration
}

// run plays it. It requires that no daemon trusts keys with a configuration that was replaced longer
// than the limit ago, and that those that are not disturbed always trust theirs. It returns the
// highest age of a confirmation at these.
func (p leasePlay) run(t *testing.T) (highest time.Duration) {
	limit := cmp.Or(p.limit, leaseLimit)
	r := newRegionWithLeases(p.size, 0, func(n *regionNode) *keylease.Lease { return skewedLease(n, limit) })
	r.store.write(configurationChange(1, "a"))
	r.registerAll()
	r.startAll()
	defer r.stopAll()
	trusted := func(n *regionNode) bool { return n.lease.Fresh() }
	r.until(t, "all trust their keys after a start", startBound+500*time.Millisecond, trusted)
	time.Sleep(5*time.Second + p.phase)
	disturbed := map[string]bool{}
	for _, i := range p.vms {
		disturbed[r.names[i]] = true
		p.set(r.nodes[r.names[i]], true)
	}
	type version struct {
		number uint64
		at     time.Time
	}
	var versions []version
	begin := time.Now()
	end := begin.Add(p.lasts)
	sentBefore, callsBefore := r.sentBytes(), r.calls.Load()
	on := true
	for now := begin; now.Before(end.Add(leaseContactTime + limit)); now = time.Now() {
		if on && !now.Before(end) {
			on = false
			for _, i := range p.vms {
				p.set(r.nodes[r.names[i]], false)
			}
		}
		if p.configurations > 0 && !now.Before(begin.Add(time.Duration(len(versions))*p.configurations)) {
			change := configurationChange(0, "a", fmt.Sprint(len(versions)))
			change.Configuration.Version = uint64(len(versions) + 2)
			r.store.write(change)
			versions = append(versions, version{change.Configuration.Version, now})
		}
		needed := uint64(0)
		for _, v := range versions {
			if now.Sub(v.at) >= limit {
				needed = v.number
			}
		}
		for _, name := range r.names {
			n := r.nodes[name]
			isTrusted := n.lease.Fresh()
			if has := n.configurationInForce(); isTrusted && has < needed {
				t.Fatalf("%v after the begin: %s trusts the keys of version %d, %d was acknowledged %v ago", now.Sub(begin), name, has, needed, limit)
			}
			if disturbed[name] && now.Before(end.Add(leaseContactTime)) {
				continue
			}
			highest = max(highest, n.lease.Age())
			if !isTrusted {
				t.Fatalf("%v after the begin: %s does not trust its keys, confirmed %v ago: %s", now.Sub(begin), name, n.lease.Age(), n.describe())
			}
		}
		time.Sleep(leaseStep)
	}
	took := time.Since(begin)
	t.Logf("confirmed up to %v ago; %d calls and %.0f bytes a daemon and second", highest, r.calls.Load()-callsBefore, float64(r.sentBytes()-sentBefore)/took.Seconds()/float64(p.size))
	return highest
}

// sentBytes returns what all daemons have sent to others.
func (r *region) sentBytes() (sum int64) {
	for _, n := range r.nodes {
		sum += n.sentBytes.Load()
	}
	return sum
}

// hold delays what a VM sends and gets until it is over. Streams that are held for too long end.
func hold(n *regionNode, on bool) {
	if on {
		n.held.Store(new(make(chan struct{})))
		return
	}
	close(*n.held.Swap(nil))
}

// refused makes the store refuse a VM.
func refused(n *regionNode, on bool) {
	if on {
		n.region.refused.Store(n.vm, true)
	} else {
		n.region.refused.Delete(n.vm)
	}
}

var disturbances = []struct {
	name string
	set  func(*regionNode, bool)
}{{"cut off", cutOff}, {"unanswered", unanswered}, {"refused", refused}, {"held", hold}}

// Guards against a daemon that accepts a revoked key for too long, whatever it is cut off from, and
// against daemons that refuse valid keys because some others are silent, those that read the store
// among them, at whichever moment of a watch that begins.
func TestLeaseWhileOthersAreSilent(t *testing.T) {
	for _, size := range []int{14, 96, 176} {
		for k, d := range disturbances {
			for i, share := range []float64{0.17, 0.35} {
				if size > 14 && (k+i+size/96)%2 == 0 || size > 96 && k > 0 {
					continue // the larger ones take long
				}
				t.Run(fmt.Sprint(size, " ", d.name, " ", share), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						vms := drawn(size, share, uint64(i))
						if i%2 == 0 {
							vms = unlucky(size, share)
						}
						leasePlay{size: size, vms: vms, set: d.set, lasts: 7*time.Second + time.Duration(size)*10*time.Millisecond, configurations: 670 * time.Millisecond}.run(t)
					})
				})
			}
		}
	}
}

// Guards against a confirmation that grows too old without any fault, with changes at any moment of a
// watch.
func TestLeaseOfCalmRegion(t *testing.T) {
	for _, size := range []int{14, 176} {
		for i, interval := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1700 * time.Millisecond, 2290 * time.Millisecond, 3100 * time.Millisecond} {
			if size > 14 && i > 0 {
				continue // the larger ones take long
			}
			t.Run(fmt.Sprint(size, " ", interval), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					highest := leasePlay{size: size, lasts: 20 * time.Second, configurations: interval}.run(t)
					if most := 2900 * time.Millisecond; highest > most {
						t.Errorf("confirmed %v ago, want at most %v", highest, most)
					}
				})
			})
		}
	}
}

// Guards against both in any other order of events: each of the disturbed VMs is cut off, refused, held
// or left without answers, at any moment of the watches, with changes at any other, and with other
// limits. A silent reader or more are always among them.
func TestLeaseWithRandomFaults(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(53, seed))
				randomTime := func(longest time.Duration) time.Duration {
					return time.Duration(random.Int64N(int64(longest/time.Millisecond))) * time.Millisecond
				}
				size := 5 + random.IntN(20)
				vms := random.Perm(size)[:1+random.IntN(size/2)]
				vms = append(vms, random.IntN(readersPerRegion))
				how := map[string]func(*regionNode, bool){}
				for _, i := range vms {
					how[fmt.Sprintf("vm%04d", i)] = disturbances[random.IntN(len(disturbances))].set
				}
				slices.Sort(vms)
				leasePlay{
					size: size, vms: slices.Compact(vms), lasts: time.Second + randomTime(9*time.Second), phase: randomTime(3 * time.Second),
					configurations: 100*time.Millisecond + randomTime(3*time.Second), limit: leaseLimit + randomTime(5*time.Second),
					set: func(n *regionNode, on bool) { how[n.vm](n, on) },
				}.run(t)
			})
		})
	}
}

// Guards against a lease that is lost or regained without a word or a cause, and against a line for each
// time while that happens again and again.
func TestLossOfLeaseIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() time.Duration { return time.Hour + time.Since(start) }
		var out bytes.Buffer
		log, err := telemetry.NewLogger(&out, "logfmt", "info")
		if err != nil {
			t.Fatal(err)
		}
		s := New(Options{
			Self: "vm", Keys: keylease.New(clock, time.Second, func() uint64 { return 1 }), Log: log,
			Apply: func(registry.Update) bool { return false }, State: func() []registry.Change { return nil },
		})
		play := func(losses int, period time.Duration) (lost, regained int) {
			out.Reset()
			for range losses {
				s.options.Keys.Offer(keylease.Confirmation{At: clock() - time.Second + period/2, Configuration: 1})
				s.logLease()
				time.Sleep(period)
				s.logLease()
			}
			return strings.Count(out.String(), "no longer confirmed"), strings.Count(out.String(), "confirmed again")
		}
		if lost, regained := play(10, 2*time.Second); lost != 10 || regained != 9 {
			t.Errorf("%d lines that it was lost, %d that it was regained, want 10 and 9:\n%s", lost, regained, out.String())
		}
		for _, want := range []string{" age=", " followed=", " configuration=", " store_age="} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("no%s in the log:\n%s", want, out.String())
			}
		}
		if lost, regained := play(100, 50*time.Millisecond); lost > 10 || regained > 10 {
			t.Errorf("%d lines that it was lost and %d that it was regained in 5 s", lost, regained)
		}
	})
}
