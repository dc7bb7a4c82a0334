// Package capacity measures what a daemon spends for control at a configuration of a given size: it starts a few real daemons
// as separate processes and gives them the documents of a whole fleet, whose other VMs are reached at the real daemons.
package capacity
