// Package capacity measures the resources that a daemon uses for control at a configuration of a
// given size, without requests of callers. It starts a few real daemons as separate processes and
// gives them the documents of a whole fleet. The addresses of all other VMs are those of the real
// daemons.
package capacity
