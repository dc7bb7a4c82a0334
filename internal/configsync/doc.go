// Package configsync spreads the platform's configuration over the fleet. Readers watch the platform and offer what
// changed to their peers, which pass it on; every daemon compares itself with a random peer every few seconds; a daemon that
// hears of no reader reads by itself within a budget. The revision that a daemon holds of a value never goes down.
//
// Store holds values, Syncer decides, and Runner does the I/O with one goroutine per duty: reading the platform, exchanging
// with peers, pushing, and applying.
package configsync
