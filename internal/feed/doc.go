// Package feed distributes the content of the store among the daemons of a region, so that the
// store gets few calls.
//
// The daemons of a region agree on an order. The first of them read the store. The others follow
// them over streams, which carry each change at once, and a heartbeat when there is none. In a
// large region some daemons of each data centre, the relays, follow the readers, and the others
// follow relays of their data centre, so that the followers of one daemon stay few. Each status says
// how old the state is, whatever the number of daemons it has passed.
//
// The configuration can be large, so streams only name its version. A daemon with an older one
// fetches what has changed, from whichever daemon has it and has room on its link.
//
// Each status says how long ago the store last answered a reader. A daemon for which that is too long
// looks for other readers: more and more daemons try, in order, in steps that depend on this age alone.
// A daemon that other daemons follow as a reader reads as well.
//
// A starting daemon first looks at a part of the store with a cheap read that may be outdated, only
// to find its peers. It serves once it has the full state from a stream or from a read of its own.
package feed
