// Package daemon assembles the roles of one process and owns its life cycle: settings, listeners, drain and stop.
package daemon
