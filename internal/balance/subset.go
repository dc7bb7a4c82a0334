package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// assignSubset chooses the members that the entry prefers: size members of the own region, half of
// them in the own data centre if the rest of the region has as many, and half as many of the other
// region. An entry then knows the state of those that it uses, and a fleet of n daemons does not need
// n*n connections.
//
// Each entry ranks the VMs by a hash of both ids. So all backend servers get about as many entries,
// and a change of the service moves few of the choices.
func (s *service) assignSubset(vm string, size int) {
	if size <= 0 {
		return
	}
	var near, region, far []*member
	for _, m := range s.members {
		m.preferred = false
		if m.rank == 0 {
			m.rank = xxhash.Sum64String(vm + " " + m.backend.VM.ID)
		}
		switch {
		case m.inOwnDataCentre:
			near = append(near, m)
		case m.tier == otherRegion:
			far = append(far, m)
		default:
			region = append(region, m)
		}
	}
	s.hasSubset = len(near)+len(region) > size
	chosen := prefer(near, max(size/2, size-len(region)))
	prefer(region, size-chosen)
	prefer(far, size/2)
}

// prefer marks the count members of the lowest rank as preferred, or all if there are fewer, and
// returns how many.
func prefer(members []*member, count int) int {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.rank, b.rank) })
	count = min(max(count, 0), len(members))
	for _, m := range members[:count] {
		m.preferred = true
	}
	return count
}
