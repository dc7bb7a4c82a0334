package feed

// Candidate is a daemon as the registration of its backend server tells of it.
type Candidate struct {
	Peer
	Region string
	// Draining means that the backend server is leaving, so that the daemon may end soon.
	Draining bool
}

// Roster holds the daemons that one daemon may follow.
type Roster struct {
	// Near are the daemons of its region in the order in which they are to read the store.
	Near []Peer
	// Remote maps each other region to its daemons in that order.
	Remote map[string][]Peer
}

// NewRoster returns the daemons that one of the region may follow. Registered and former candidates
// are in the order of their registrations, so that daemons that know only the first ones agree with the
// others. Former ones are no longer registered. Their daemons may still be there, as a registration
// also ends when a backend server does not reach the store, so they and those of leaving servers come
// last. If none of the region is known, the registered ones of all regions take their place.
func NewRoster(region string, registered, former []Candidate) Roster {
	near := newPeerList()
	remote := map[string]*peerList{}
	for _, draining := range []bool{false, true} {
		for i := range registered {
			c := &registered[i]
			if c.Draining != draining {
				continue
			}
			list := near
			if c.Region != region {
				if list = remote[c.Region]; list == nil {
					list = newPeerList()
					remote[c.Region] = list
				}
			}
			list.add(c.Peer, draining)
		}
	}
	for i := range former {
		if former[i].Region == region {
			near.add(former[i].Peer, true)
		}
	}
	if len(near.peers) == 0 {
		for i := range registered {
			near.add(registered[i].Peer, registered[i].Draining)
		}
	}
	r := Roster{Near: near.peers, Remote: map[string][]Peer{}}
	for name, list := range remote {
		r.Remote[name] = list.peers
	}
	return r
}

// peerList is a list with each VM once.
type peerList struct {
	peers []Peer
	seen  map[string]bool
}

func newPeerList() *peerList { return &peerList{seen: map[string]bool{}} }

func (l *peerList) add(p Peer, standby bool) {
	if l.seen[p.VM] {
		return
	}
	l.seen[p.VM] = true
	p.Standby = standby
	l.peers = append(l.peers, p)
}
