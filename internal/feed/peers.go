package feed

// Candidate is a daemon as the registration of its backend server tells of it.
type Candidate struct {
	Peer
	// Draining means that the backend server is leaving, so that the daemon may end soon.
	Draining bool
}

// NearPeers returns the daemons that one of the region may follow, in the order in which they are to read
// the store. Registered and former candidates are in the order of their registrations, so that daemons
// that know only the first ones agree with the others. Former ones are no longer registered. Their
// daemons may still be there, as a registration also ends when a backend server does not reach the
// store, so they and those of leaving servers come last. If none of the region is known, the registered
// ones of all regions take their place.
func NearPeers(region string, registered, former []Candidate) []Peer {
	near := newPeerList(len(registered))
	near.addRegistered(registered, func(c *Candidate) bool { return c.Region == region })
	for i := range former {
		if former[i].Region == region {
			near.add(former[i].Peer, true)
		}
	}
	if len(near.peers) == 0 {
		near.addRegistered(registered, func(*Candidate) bool { return true })
	}
	return near.peers
}

// RemotePeers returns the daemons of each other region than the given one, those of leaving servers last.
func RemotePeers(region string, registered []Candidate) map[string][]Peer {
	remote := map[string][]Peer{}
	for i := range registered {
		other := registered[i].Region
		if other == region || remote[other] != nil {
			continue
		}
		list := newPeerList(len(registered))
		list.addRegistered(registered, func(c *Candidate) bool { return c.Region == other })
		remote[other] = list.peers
	}
	return remote
}

// peerList is a list with each VM once.
type peerList struct {
	peers []Peer
	seen  map[string]bool
}

func newPeerList(size int) *peerList { return &peerList{seen: make(map[string]bool, size)} }

// addRegistered adds the included candidates, those of leaving servers last.
func (l *peerList) addRegistered(registered []Candidate, include func(*Candidate) bool) {
	for _, draining := range []bool{false, true} {
		for i := range registered {
			if c := &registered[i]; c.Draining == draining && include(c) {
				l.add(c.Peer, draining)
			}
		}
	}
}

func (l *peerList) add(p Peer, standby bool) {
	if l.seen[p.VM] {
		return
	}
	l.seen[p.VM] = true
	p.Standby = standby
	l.peers = append(l.peers, p)
}
