// Package inforce holds the configuration in force at one daemon: the accepted documents of each
// value of the platform, and the snapshot built from all of them. A value is merged document by
// document. An invalid or conflicting document leaves its predecessor in force and does not block
// the others.
//
// A residue is the difference between a value and what is in force of it. Daemons exchange
// residues, so that one that starts or was replaced gets the same documents in force as its peers.
package inforce
