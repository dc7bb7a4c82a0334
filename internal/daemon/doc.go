// Package daemon assembles the parts of one proxy process and owns its life cycle: settings,
// listeners, configuration, drain and stop.
//
// New builds the parts, and Run starts one goroutine for each periodic or background task. Every
// value received from the platform or from a peer goes through apply, which merges it into the
// configuration in force, and then through publish, which builds a snapshot for all parts. At start
// a daemon collects the newest values from the platform and its peers (the start procedure). The
// method snapshot returns nil, so that requests are refused, until these values are in force.
//
// Messages of other daemons are served by controlHandler, requests of callers by package entry, and
// requests forwarded by other daemons by package home.
//
// RegistryDaemon is the variant for deployments whose configuration comes from a registry.
package daemon
