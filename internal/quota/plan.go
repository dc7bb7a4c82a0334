package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Daemon is a daemon that may hold parts: its VM, its region and the host:port of its peer listener.
type Daemon struct {
	VM, Region, Address string
}

// Plan is an immutable list of the regions and of their daemons. It determines the holder of each
// part. All daemons with the same list name the same holders.
type Plan struct {
	regions []string
	// members are the daemons of each region, by VM.
	members [][]member
}

type member struct {
	vm, address string
	hash        uint64
}

// NewPlan returns the plan of the daemons. The regions divide the quota whether they have daemons or
// not, so they must be the same at all daemons. Daemons of other regions hold nothing. The order of
// both does not matter, and duplicates are removed.
func NewPlan(regions []string, daemons []Daemon) *Plan {
	p := &Plan{regions: slices.Compact(slices.Sorted(slices.Values(regions)))}
	p.members = make([][]member, len(p.regions))
	for _, d := range daemons {
		if r := p.region(d.Region); r >= 0 {
			p.members[r] = append(p.members[r], member{d.VM, d.Address, xxhash.Sum64String(d.VM)})
		}
	}
	for r := range p.members {
		slices.SortFunc(p.members[r], func(a, b member) int { return cmp.Or(cmp.Compare(a.vm, b.vm), cmp.Compare(a.address, b.address)) })
		p.members[r] = slices.CompactFunc(p.members[r], func(a, b member) bool { return a.vm == b.vm })
	}
	return p
}

// Equal reports whether both plans name the same holders at the same addresses.
func (p *Plan) Equal(other *Plan) bool {
	return slices.Equal(p.regions, other.regions) && slices.EqualFunc(p.members, other.members, slices.Equal)
}

// region returns the number of the region, or -1.
func (p *Plan) region(name string) int { return slices.Index(p.regions, name) }

// holder returns the index of the holder of an organisation's part among the daemons of the region:
// the one with the highest rendezvous hash, or -1 if the region has no daemon.
func (p *Plan) holder(region int, organisation uint64, part int) int {
	h, best, at := mix(organisation+uint64(part)), uint64(0), -1
	for i := range p.members[region] {
		if score := mix(h ^ p.members[region][i].hash); at < 0 || score > best {
			best, at = score, i
		}
	}
	return at
}

// Holder returns the VM that holds the part of the organisation's quota in the region, or "".
func (p *Plan) Holder(region, organisation string, part int) string {
	r := p.region(region)
	if r < 0 {
		return ""
	}
	i := p.holder(r, hashOf(organisation), part)
	if i < 0 {
		return ""
	}
	return p.members[r][i].vm
}

func hashOf(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
