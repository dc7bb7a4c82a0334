// Package daemon assembles the roles of one process and owns its life cycle: settings, listeners, drain and stop.
//
// New builds the parts, and Run starts one goroutine for each duty. A value of the platform or of a peer goes through apply, which merges
// it into the configuration in force, and publish, which makes a snapshot for all parts. snapshot hands it out once everything that the
// start procedure gathered is in force. What other daemons ask arrives at controlHandler, callers' requests at internal/entry and
// forwarded ones at internal/home.
package daemon
