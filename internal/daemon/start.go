package daemon

import "sync/atomic"

// startGate lets the daemon serve when the configuration gathered at its start is in force. Before that, newer values may be held
// that are not published yet, and requests would be decided by older ones.
type startGate struct {
	gathered, open atomic.Bool
}

// setGathered records that the start procedure is over: all values of the start are applied, and the next publication puts them in
// force.
func (g *startGate) setGathered() { g.gathered.Store(true) }

// publish calls put, which publishes the applied values and reports whether there is a configuration. The gate opens when the start
// procedure was over before that call; a start that ends during the call may have applied values that the call did not see.
func (g *startGate) publish(put func() bool) {
	gathered := g.gathered.Load()
	if put() && gathered {
		g.open.Store(true)
	}
}

// isOpen reports whether the daemon may serve. Once open, the gate stays open.
func (g *startGate) isOpen() bool { return g.open.Load() }
