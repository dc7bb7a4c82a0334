package daemon

import (
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/feed"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// bootstrapPaths are the paths that are served to peers before there is a configuration, because
// they deliver it or have to do with its delivery.
var bootstrapPaths = map[string]bool{
	feed.Path:      true,
	feed.ClockPath: true,
	peerapiconnect.PeerServiceExchangeProcedure: true,
	peerapiconnect.PeerServicePushProcedure:     true,
	peerapiconnect.PeerServicePullProcedure:     true,
}

// peerGuard admits only other daemons to the peer listener, by their IP address. Forwarded requests
// carry no API key, so anyone else who reached the listener could use every service without a
// contract, and could push configuration. It is safe for concurrent use.
type peerGuard struct {
	seeds    map[netip.Addr]bool
	networks []netip.Prefix
	// vms holds the addresses of the VMs in the configuration in force, nil before there is one.
	vms atomic.Pointer[map[netip.Addr]bool]
	log *telemetry.Logger
}

// newPeerGuard returns a guard that admits the seed peers and peerNetworks of the settings.
func newPeerGuard(s settings.Settings, log *telemetry.Logger) *peerGuard {
	g := &peerGuard{seeds: map[netip.Addr]bool{}, networks: prefixes(s.PeerNetworks), log: log}
	for _, seed := range s.SeedPeers {
		addAddress(g.seeds, seed.Address)
	}
	return g
}

// prefixes parses the networks of a settings field. settings.Load has checked them; others are left
// out.
func prefixes(networks []string) []netip.Prefix {
	var out []netip.Prefix
	for _, text := range networks {
		if network, err := netip.ParsePrefix(text); err == nil {
			out = append(out, network)
		}
	}
	return out
}

// addAddress adds the IP address of hostPort to set. A host name adds nothing: it is not resolved,
// because the result could change with each lookup.
func addAddress(set map[netip.Addr]bool, hostPort string) {
	if a, err := netip.ParseAddrPort(hostPort); err == nil {
		set[a.Addr().Unmap().WithZone("")] = true
	}
}

// update replaces the addresses of VMs by those of a new configuration.
func (g *peerGuard) update(snapshot *catalog.Snapshot) {
	vms := make(map[netip.Addr]bool, len(snapshot.VMs()))
	for _, vm := range snapshot.VMs() {
		addAddress(vms, vm.PeerAddress)
	}
	g.vms.Store(&vms)
}

// allows reports whether the address may belong to a daemon.
func (g *peerGuard) allows(address netip.Addr) bool {
	if vms := g.vms.Load(); vms != nil && (*vms)[address] || g.seeds[address] {
		return true
	}
	for _, network := range g.networks {
		if network.Contains(address) {
			return true
		}
	}
	return false
}

// wrap returns a handler that passes requests of other daemons to next and refuses the rest.
// Refusals state that the request was not run, so that an entry whose VM is not yet known here can
// safely try another home.
func (g *peerGuard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		address := remote.Addr().Unmap().WithZone("")
		switch {
		case err != nil || !g.allows(address):
			g.log.Warn("A request from an address that belongs to no peer was refused.", "address", address)
			g.refuse(w, r, errkind.NotPeer, "the address belongs to no VM of the configuration, no seed peer and no network of peerNetworks")
		case g.vms.Load() == nil && !bootstrapPaths[r.URL.Path]:
			g.refuse(w, r, errkind.NoConfiguration, "this daemon has no configuration yet")
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (g *peerGuard) refuse(w http.ResponseWriter, r *http.Request, kind errkind.Kind, detail string) {
	w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
	forward.WriteError(w, errkind.New(kind, detail))
}
