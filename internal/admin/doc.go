// Package admin is the operators' side of a daemon: status, explanations, audit trail, overrides, drain and metrics, as JSON
// over HTTP. It exists only on the admin listener; the callers' and the peer listener do not route to it.
package admin
