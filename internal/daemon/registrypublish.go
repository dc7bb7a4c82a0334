package daemon

import (
	"context"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/recovery"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// publishInterval is the shortest time between two snapshots that differ in registrations only. A
// snapshot takes time in proportion to the number of registrations, on every daemon, and a release
// or a scale-out changes many of them in quick succession.
const publishInterval = 100 * time.Millisecond

// applyUpdate adds an update from the registry or from another daemon to the table, puts the result
// in force and reports whether anything changed.
func (d *RegistryDaemon) applyUpdate(u registry.Update) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.RemovalHold > 0 {
		d.table.HoldRemovals(now.Add(u.RemovalHold))
	}
	for i := range u.Changes {
		if c := &u.Changes[i]; c.Fault != "" {
			d.log.Part("registry").Warn("A value of the registry cannot be parsed.", "key", c.Key, "revision", c.Revision, "fault", c.Fault)
		}
	}
	changed := false
	if u.Full {
		changed = d.table.Replace(now, u.Revision, u.Changes)
	} else {
		changed = d.table.Apply(now, u.Changes)
		d.table.SetComplete(u.Revision)
	}
	d.fresh = d.fresh || u.Fresh
	if changed || d.fresh && d.snapshot.Load() == nil {
		d.publishSoon(now)
	}
	return changed
}

// publishSoon puts the content of the table in force: at once if the daemon cannot do without it, if
// the operator's configuration changed or if the latest snapshot is older than publishInterval, and
// otherwise when that time has passed. The caller holds mu.
func (d *RegistryDaemon) publishSoon(now time.Time) {
	d.unpublished = true
	if now.Sub(d.lastPublish) >= publishInterval || d.mustPublish() {
		d.publish(now)
		return
	}
	select {
	case d.publishDue <- struct{}{}:
	default:
	}
}

// mustPublish reports whether the content of the table must be put in force without a delay. The
// caller holds mu.
func (d *RegistryDaemon) mustPublish() bool {
	if d.snapshot.Load() == nil {
		return d.fresh || len(*d.feedPeers.Load()) == 0
	}
	c, _ := d.table.Configuration()
	return c != d.configurationInForce
}

// publishDelayed puts changes in force that publishSoon has delayed, until ctx ends.
func (d *RegistryDaemon) publishDelayed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.publishDue:
		}
		if !pause.For(ctx, publishInterval) {
			return
		}
		recovery.Do(d.publishRest, func(err error) {
			d.log.Part("registry").Error("Changes of the registry cannot be put in force.", "err", err)
		})
	}
}

// publishRest puts the changes in force that are not.
func (d *RegistryDaemon) publishRest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unpublished {
		d.publish(time.Now())
	}
}

// publish finds the daemons to follow, builds a snapshot of the table and, once the table is fresh,
// puts the snapshot in force. Without a configuration in the table there is no snapshot. The caller
// holds mu.
func (d *RegistryDaemon) publish(now time.Time) {
	d.lastPublish, d.unpublished = now, false
	d.updateFeedPeers()
	before, next := d.snapshot.Load(), registry.Build(d.table, d.buildOptions)
	if next == nil {
		return
	}
	d.guard.update(next)
	if !d.fresh {
		return
	}
	d.quota.update(now, d.table.Registrations(), &d.buildOptions)
	for _, err := range d.home.Apply(next) {
		d.log.Part("home").Warn("The detector settings of a service are invalid.", "err", err)
	}
	d.entry.SetRetryLimits(retryLimits(&d.settings.Registry, len(next.VMs())))
	d.snapshot.Store(next)
	c, _ := d.table.Configuration()
	d.versionInForce.Store(c.Version)
	if d.keys != nil {
		d.keys.Adopt() // before the requests that wait for the first configuration
	}
	if before == nil {
		close(d.configured)
	}
	d.noteConfiguration(before)
}
