package daemon

import (
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// startProcedures are served before a configuration is held: they bring it.
var startProcedures = map[string]bool{
	peerapiconnect.PeerServiceExchangeProcedure: true,
	peerapiconnect.PeerServicePushProcedure:     true,
	peerapiconnect.PeerServicePullProcedure:     true,
}

// peerGuard admits only other daemons to the peer listener. Forwarded requests carry no API key, so anyone else who reached
// the listener could use every service without a contract, and could push configuration.
type peerGuard struct {
	seeds    map[netip.Addr]bool
	networks []netip.Prefix
	// vms are the addresses of the VMs in the configuration in force, nil before there is one.
	vms atomic.Pointer[map[netip.Addr]bool]
	log *telemetry.Logger
}

func newPeerGuard(s settings.Settings, log *telemetry.Logger) *peerGuard {
	g := &peerGuard{seeds: map[netip.Addr]bool{}, networks: prefixes(s.PeerNetworks), log: log}
	for _, seed := range s.SeedPeers {
		addHost(g.seeds, seed.Address)
	}
	return g
}

// prefixes returns the networks of a settings field, which settings.Load has checked.
func prefixes(networks []string) []netip.Prefix {
	var out []netip.Prefix
	for _, text := range networks {
		if network, err := netip.ParsePrefix(text); err == nil {
			out = append(out, network)
		}
	}
	return out
}

// addHost adds the IP address of host:port. A host name adds nothing: it is not resolved, because the answer could change
// with each look-up.
func addHost(to map[netip.Addr]bool, hostPort string) {
	if a, err := netip.ParseAddrPort(hostPort); err == nil {
		to[a.Addr().Unmap().WithZone("")] = true
	}
}

// update takes over the VMs of a new configuration.
func (g *peerGuard) update(snapshot *catalog.Snapshot) {
	vms := make(map[netip.Addr]bool, len(snapshot.VMs()))
	for _, vm := range snapshot.VMs() {
		addHost(vms, vm.PeerAddress)
	}
	g.vms.Store(&vms)
}

// knows reports whether the address may be a daemon's.
func (g *peerGuard) knows(address netip.Addr) bool {
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

// wrap returns the handler of the peer listener. Refusals are certain refusals (not run), so that an entry whose VM is not
// yet known here can try another home.
func (g *peerGuard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		address := remote.Addr().Unmap().WithZone("")
		switch {
		case err != nil || !g.knows(address):
			g.log.Warn("A request from an address that is not a peer's was refused.", "address", address)
			g.refuse(w, r, errkind.NotPeer, "the address is not that of a VM in the configuration, of a seed peer or of peerNetworks")
		case g.vms.Load() == nil && !startProcedures[r.URL.Path]:
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
