package daemon

import (
	"net"
	"net/netip"
	"strconv"

	"github.com/cowsliprun/cowsliprun/internal/feed"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// updateRoster finds the daemons that the feed may follow. The caller holds mu.
func (d *RegistryDaemon) updateRoster() {
	registered := feedCandidates(d.table.Registrations(), &d.buildOptions)
	roster := feed.NewRoster(d.settings.Region, registered, feedCandidates(d.table.Former(), &d.buildOptions))
	d.roster.Store(&roster)
}

// feedCandidates returns the daemons beside the backend servers of registrations, in their order.
// Those with an unreadable address are left out.
func feedCandidates(registrations []*registry.Registration, options *registry.BuildOptions) []feed.Candidate {
	candidates := make([]feed.Candidate, 0, len(registrations))
	for _, r := range registrations {
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			continue
		}
		vm := address.Addr().String()
		candidates = append(candidates, feed.Candidate{
			Peer:   feed.Peer{VM: vm, DataCentre: r.DataCentre, Address: net.JoinHostPort(vm, strconv.Itoa(options.PeerPort))},
			Region: options.Regions[r.DataCentre], Draining: r.Draining,
		})
	}
	return candidates
}
