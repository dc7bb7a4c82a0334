package feed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// Guards against daemons that go back to an older configuration with a store that comes back from a
// copy, or that do not get what is written under the revisions that it gives out again: beside
// readers of two eras, a daemon that is cut off over the return, two returns in a row, and a daemon
// that starts while others are of the earlier era.
func TestRegionOverReturnsOfTheStore(t *testing.T) {
	for _, size := range []int{14, 112} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(size)
			const late = "vm9000" // starts in a later era
			r.add(late)
			r.nodes[late].cutOff.Store(true)
			r.registerAll()
			version := uint64(0)
			publish := func(n int) {
				for range n {
					version++
					r.store.write(registry.Change{Key: "op/config", Configuration: &registry.Configuration{Version: version}})
				}
			}
			inForce := func(what string) {
				t.Helper()
				r.until(t, what, changeBound, func(n *regionNode) bool { return n.configurationVersion() == version })
			}
			publish(1)
			r.startAll()
			inForce("the first configuration")
			r.store.copy()
			publish(9)
			inForce("the configuration that the copy lacks")

			latest := version
			isolated := r.nodes[r.names[size-1]]
			isolated.cutOff.Store(true)
			r.store.restore()
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				for _, vm := range r.names {
					n := r.nodes[vm]
					if got := n.configurationVersion(); got < latest {
						t.Fatalf("%s went back to version %d from %d", vm, got, latest)
					}
				}
			}
			r.store.restore()
			publish(2)
			inForce("a configuration after two returns in a row")
			isolated.cutOff.Store(false)
			r.change(t, "vm9990", changeBound)
			inForce("the configuration at the daemon that was cut off")

			r.nodes[r.names[0]].kill() // a reader
			r.store.restore()
			r.nodes[late].cutOff.Store(false)
			r.nodes[late].start()
			publish(1)
			inForce("a configuration beside a daemon that starts")
			r.stopAll()
		})
	}
}
