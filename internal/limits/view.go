package limits

import (
	"hash/fnv"
	"slices"
)

// View finds the holder of a customer among the VMs of a region. It is immutable.
type View struct {
	vms    []string
	hashes []uint64
}

// NewView returns a view of the given VMs. Their order does not matter.
func NewView(vms []string) *View {
	v := &View{vms: slices.Clone(vms)}
	slices.Sort(v.vms)
	v.vms = slices.Compact(v.vms)
	for _, vm := range v.vms {
		v.hashes = append(v.hashes, hashOf(vm))
	}
	return v
}

// Holder returns the VM with the highest rendezvous hash, or "" in an empty view.
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

// mix is the finalizer of SplitMix64. FNV alone leaves the high bits of similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
