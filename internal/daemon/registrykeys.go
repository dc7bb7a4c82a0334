package daemon

import (
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
)

// newKeyLease returns the lease on the trust in API keys, or nil without registry.strictRevocation.
func (d *RegistryDaemon) newKeyLease() *keylease.Lease {
	if !d.settings.Registry.StrictRevocation {
		return nil
	}
	return keylease.New(keylease.BootClock, time.Duration(d.settings.Registry.RevocationLimit), d.versionInForce.Load)
}

// keysTrusted returns what the entry asks before it serves a request with an API key, or nil if it
// need not ask.
func (d *RegistryDaemon) keysTrusted() func() bool {
	if d.keys == nil {
		return nil
	}
	return d.keys.Fresh
}

// keysConfirmedAge returns the age of the latest confirmation of the keys in seconds, or +Inf before
// there is one.
func (d *RegistryDaemon) keysConfirmedAge() float64 {
	if !d.keys.Confirmed() {
		return math.Inf(1)
	}
	return d.feed.ConfirmedAge().Seconds()
}
