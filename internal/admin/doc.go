// Package admin defines the admin API of a daemon: status, explanations, audit trail, overrides,
// drain and metrics. Responses are JSON over HTTP, except /ready and /metrics, which are text.
// Only the admin listener serves it. The listeners for callers and for peers don't route to it.
package admin
