package limits

import (
	"hash/fnv"
	"slices"
)

// View is an immutable list of the VMs of a region. It determines the holder of each customer.
type View struct {
	vms    []string
	hashes []uint64
}

// NewView returns a view of the VMs. Their order does not matter, and duplicates are removed.
func NewView(vms []string) *View {
	v := &View{vms: slices.Clone(vms)}
	slices.Sort(v.vms)
	v.vms = slices.Compact(v.vms)
	for _, vm := range v.vms {
		v.hashes = append(v.hashes, hashOf(vm))
	}
	return v
}

// Holder returns the VM that holds the region's quota of the customer: the one with the highest
// rendezvous hash, or "" in an empty view. All daemons with the same VMs name the same holder.
func (v *View) Holder(customer string) string {
	h, best, at := hashOf(customer), uint64(0), -1
	for i, vm := range v.hashes {
		if score := mix(h ^ vm); at < 0 || score > best {
			best, at = score, i
		}
	}
	if at < 0 {
		return ""
	}
	return v.vms[at]
}

func (v *View) equal(other *View) bool { return slices.Equal(v.vms, other.vms) }

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64. It is needed because FNV alone gives similar names similar
// high bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
