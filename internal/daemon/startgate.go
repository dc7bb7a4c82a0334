package daemon

import "sync/atomic"

// startGate keeps the daemon from serving until the values that its start procedure collected are
// in force. Before that, newer values may be applied but not published, and requests would be
// decided by older ones. It is closed at first; setStartComplete and then a successful publish open
// it for good. It is safe for concurrent use.
type startGate struct {
	startComplete, open atomic.Bool
}

// setStartComplete records that the start procedure is over: all values that it collected are
// applied, and the next publication puts them in force.
func (g *startGate) setStartComplete() { g.startComplete.Store(true) }

// publish calls publishApplied, which puts the applied values in force and reports whether there is
// a configuration. If so, the gate opens when the start procedure was over before the call. A start
// procedure that ends during the call may have applied values that the call did not publish.
func (g *startGate) publish(publishApplied func() bool) {
	startComplete := g.startComplete.Load()
	if publishApplied() && startComplete {
		g.open.Store(true)
	}
}

// isOpen reports whether the daemon may serve.
func (g *startGate) isOpen() bool { return g.open.Load() }
