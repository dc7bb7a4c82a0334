// Package feed distributes the content of the store among the daemons of a region, so that the
// store gets few calls.
//
// The daemons of a region agree on an order. The first readersPerRegion of them read the store. All
// others follow these over streams, which carry each change at once, and a heartbeat when there is
// none. A daemon also reads the store itself while no stream comes from a reader that reaches the
// store, and while other daemons follow it.
//
// A starting daemon first lists the store with a cheap read that may be stale, only to find its
// peers. It serves once it has the full state from a reader or from a read of its own.
package feed
