package daemon

import (
	"net"
	"net/netip"
	"strconv"

	"github.com/cowsliprun/cowsliprun/internal/feed"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// updateFeedPeers finds the daemons that the feed may follow. The caller holds mu.
func (d *RegistryDaemon) updateFeedPeers() {
	registered, former := feedCandidates(d.table.Registrations(), &d.buildOptions), feedCandidates(d.table.Former(), &d.buildOptions)
	peers := feed.NearPeers(d.settings.Region, registered, former)
	d.feedPeers.Store(&peers)
}

// remoteFeedPeers returns the daemons of other regions.
func (d *RegistryDaemon) remoteFeedPeers() map[string][]feed.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return feed.RemotePeers(d.settings.Region, feedCandidates(d.table.Registrations(), &d.buildOptions))
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
			Peer: feed.Peer{
				VM: vm, DataCentre: r.DataCentre, Region: options.Regions[r.DataCentre], Address: net.JoinHostPort(vm, strconv.Itoa(options.PeerPort)),
			},
			Draining: r.Draining,
		})
	}
	return candidates
}
