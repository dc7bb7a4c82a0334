package feed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
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
func skewedLease(n *regionNode) *keylease.Lease {
	random := rand.New(rand.NewPCG(51, uint64(n.vm[len(n.vm)-1])))
	base, rate, start := time.Hour+time.Duration(random.IntN(1000))*time.Hour, 0.995+0.01*random.Float64(), time.Now()
	if n.vm == "vm0000" {
		rate = 0.995
	}
	clock := func() time.Duration { return base + time.Duration(math.Round(rate*float64(time.Since(start)))) }
	return keylease.New(clock, leaseLimit, n.configurationInForce)
}

// configurationInForce returns the revision of the node's configuration once it serves.
func (n *regionNode) configurationInForce() uint64 {
	if n.source == nil || !n.source.Fresh() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, revision := n.table.Configuration()
	return revision
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
}

// run plays it. It requires that no daemon trusts keys with a configuration that was replaced longer
// than leaseLimit ago, and that those that are not disturbed always trust theirs. It returns the
// highest age of a confirmation at these.
func (p leasePlay) run(t *testing.T) (highest time.Duration) {
	r := newRegionWithLeases(p.size, 0, skewedLease)
	r.store.write(configurationChange(1, "a"))
	r.registerAll()
	r.startAll()
	defer r.stopAll()
	trusted := func(n *regionNode) bool { return n.lease.Fresh() }
	r.until(t, "all trust their keys after a start", startBound+500*time.Millisecond, trusted)
	time.Sleep(5 * time.Second)
	disturbed := map[string]bool{}
	for _, i := range p.vms {
		disturbed[r.names[i]] = true
		p.set(r.nodes[r.names[i]], true)
	}
	type version struct {
		revision uint64
		at       time.Time
	}
	var versions []version
	begin := time.Now()
	end := begin.Add(p.lasts)
	on := true
	for now := begin; now.Before(end.Add(leaseContactTime + leaseLimit)); now = time.Now() {
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
			_, revision, _ := r.store.after(math.MaxUint64)
			versions = append(versions, version{revision, now})
		}
		needed := uint64(0)
		for _, v := range versions {
			if now.Sub(v.at) >= leaseLimit {
				needed = v.revision
			}
		}
		for _, name := range r.names {
			n := r.nodes[name]
			isTrusted := n.lease.Fresh()
			if has := n.configurationInForce(); isTrusted && has < needed {
				t.Fatalf("%v after the begin: %s trusts the keys of revision %d, %d was acknowledged %v ago", now.Sub(begin), name, has, needed, leaseLimit)
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
	return highest
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

// Guards against a daemon that accepts a revoked key for too long, whatever it is cut off from, and
// against daemons that refuse valid keys because some others are silent, those that read the store
// among them, at whichever moment of a watch that begins.
func TestLeaseWhileOthersAreSilent(t *testing.T) {
	disturbances := []struct {
		name string
		set  func(*regionNode, bool)
	}{{"cut off", cutOff}, {"unanswered", unanswered}, {"refused", refused}, {"held", hold}}
	for _, size := range []int{14, 96, 176} {
		for k, d := range disturbances {
			for i, share := range []float64{0.17, 0.35} {
				if size > 14 && (k+i+size/96)%2 == 0 || size > 96 && k > 1 {
					continue // the larger ones take long
				}
				t.Run(fmt.Sprint(size, " ", d.name, " ", share), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						vms := drawn(size, share, uint64(i))
						if i%2 == 0 {
							vms = unlucky(size, share)
						}
						highest := leasePlay{size, vms, d.set, 7*time.Second + time.Duration(size)*10*time.Millisecond, 670 * time.Millisecond}.run(t)
						t.Logf("confirmed up to %v ago", highest)
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
			if size > 14 && i%4 != 0 {
				continue // the larger ones take long
			}
			t.Run(fmt.Sprint(size, " ", interval), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					highest := leasePlay{size, nil, nil, 20 * time.Second, interval}.run(t)
					t.Logf("confirmed up to %v ago", highest)
					if most := 2900 * time.Millisecond; highest > most {
						t.Errorf("confirmed %v ago, want at most %v", highest, most)
					}
				})
			})
		}
	}
}
