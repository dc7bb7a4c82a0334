package daemon

import (
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

func strictRevocation(s *settings.Settings) { s.Registry.StrictRevocation = true }

// Guards against a daemon that trusts keys because the newest configuration has been confirmed, and
// serves by an older one: because it has yet to get that, or to put it in force.
func TestKeysAreTrustedOnlyWithTheConfigurationInForce(t *testing.T) {
	d := newUnconfiguredRegistry(t, strictRevocation)
	confirm := func(revision uint64) bool {
		d.keys.Offer(keylease.Confirmation{At: keylease.BootClock(), Configuration: revision})
		return d.keysTrusted()()
	}
	d.applyUpdate(registry.Update{Revision: 5, Changes: []registry.Change{configurationChange(5)}})
	if confirm(5) {
		t.Error("trusted before a configuration is in force")
	}
	d.applyUpdate(registry.Update{Revision: 5, Fresh: true})
	if !d.keysTrusted()() {
		t.Error("not trusted with the newest configuration in force, as soon as requests are let in")
	}
	d.keys = keylease.New(keylease.BootClock, time.Minute, d.versionInForce.Load)
	if confirm(7) {
		t.Error("trusted with an older configuration in force")
	}
	d.applyUpdate(registry.Update{Revision: 7, Changes: []registry.Change{configurationChange(7)}})
	if !confirm(6) {
		t.Error("not trusted with a newer configuration in force")
	}
}

// Guards against requests that need a confirmation on a deployment that does not ask for one.
func TestKeysNeedNoConfirmationWithoutTheSetting(t *testing.T) {
	if d := newUnconfiguredRegistry(t); d.keys != nil || d.keysTrusted() != nil {
		t.Error("a lease without registry.strictRevocation")
	}
}
