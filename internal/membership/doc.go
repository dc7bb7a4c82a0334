// Package membership decides which other daemons a daemon talks to and whether it reads the platform. It combines four
// views, each of which can be wrong: the VMs of the configuration, the platform's lagging list of live and leaving VMs, the
// seed peers of the settings, and what other daemons show by answering or failing. It does no I/O and is not safe for
// concurrent use.
//
// Rules for a VM whose views disagree:
//   - A VM needs an address from the configuration to be used, unless it is a seed.
//   - A VM that left the list, is listed as leaving, or is not listed yet is used while it answers, because the list lags
//     in both directions. One failed call ends its use; a listed VM is left after three.
//   - A VM that announces that it is leaving is not used, until another incarnation of it answers.
//   - When the views leave too few VMs, unlisted VMs are tried too, so that an empty list does not cut off a daemon.
package membership
