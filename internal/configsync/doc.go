// Package configsync distributes the configuration of the platform to all daemons of a fleet.
//
// The daemons of each data centre elect a few readers, which watch the platform. A daemon that
// receives a changed value offers it to its peers (push). Every daemon also compares revisions with
// a random peer every few seconds (exchange), which repairs what a push lost. A daemon that hears
// of no answer of the platform, neither its own nor one reported by a peer, reads from the platform
// within a budget of calls.
//
// Terms:
//
//   - A value is a named part of the configuration. The platform gives it a higher revision with
//     each change. The value "index" lists the names of the others.
//   - A value is held once its content is stored. It is in force once it was applied. The revision
//     that a daemon holds of a value never goes down while its process runs.
//   - The residue of a value is what a daemon has in force beyond its content: documents kept
//     because those in the value are older or faulty, deletions, and claims on identifiers that
//     several documents list. Daemons exchange residues so that a restarted daemon puts nothing
//     older in force than its peers.
//
// Store holds values. Syncer makes the decisions and does no I/O. Runner does the I/O with four
// goroutines: one applies values, one exchanges with peers, one pushes to peers and one reads the
// platform.
package configsync
