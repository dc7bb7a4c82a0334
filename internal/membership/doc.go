// Package membership decides which other daemons a daemon talks to, and whether it reads the
// platform. It combines four sources, each of which can be wrong: the VMs of the configuration, the
// platform's list of live and leaving VMs, which lags, the seed peers of the settings, and the
// outcome of calls to and from other daemons. It does no I/O and is not safe for concurrent use.
//
// Rules for a VM on which the sources disagree:
//   - A VM needs an address from the configuration to be used, unless it is a seed.
//   - A VM that is no longer or not yet listed, or listed as leaving, is used while it answers,
//     because the list lags in both directions. Such a VM goes out of use after one failed call, a
//     VM that is listed as live after three.
//   - A VM that announces that it is leaving is not used until another incarnation of it answers.
//   - When too few VMs are usable, unlisted VMs are tried too, so that an empty list does not cut
//     off a daemon.
package membership
