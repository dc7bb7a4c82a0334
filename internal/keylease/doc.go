// Package keylease decides whether API keys may be trusted: only while the configuration in force is
// known to have been the newest one at a moment that is not too long ago. It makes no I/O.
//
// A Confirmation says that every configuration that the store acknowledged before a moment has at
// most a certain version. It can be passed on and may be late. A daemon adopts it once a configuration
// of that version or a later one is in force.
//
// Moments are readings of a Clock of one daemon. Localize converts a reading of another daemon's
// clock to an earlier or equal moment of the own clock. It only uses how much time passed at the
// other daemon since that received a ping, and when the own daemon sent this ping, so a message that
// was delayed, or a daemon that was paused, makes a confirmation older and never younger.
package keylease
