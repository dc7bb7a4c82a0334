package limits

import (
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

const (
	// Lease is how long a share of a large limit is valid.
	Lease = 5 * time.Second
	// SmallLease is how long a share of a small limit is valid. A daemon has few requests a second of each of many small customers,
	// each with another holder: with the short lease their renewals alone would exceed the control budget.
	SmallLease = 40 * time.Second
	// smallLimit is the rate below which a limit is small, in requests a second.
	smallLimit = 100
	// maxHolderLease is the longest time for which a holder counts a grant.
	maxHolderLease = SmallLease + SmallLease/50
	// BaseReserve is the part of each limit that is reserved for base allowances.
	BaseReserve = 0.1
	// DefaultBaseFactor and DefaultBaseBurst are chosen by the table in docs/limits.md.
	DefaultBaseFactor = 4
	DefaultBaseBurst  = 3
)

// LeaseOf returns how long a share of the limits is valid, counted by the entry from when it sent its request.
func LeaseOf(l contract.Limits) time.Duration {
	if l.RatePerSecond < smallLimit {
		return SmallLease
	}
	return Lease
}

// holderLease is how long a holder counts a grant. The margin covers clocks whose rates differ by up to 1%.
func holderLease(l contract.Limits) time.Duration {
	lease := LeaseOf(l)
	return lease + lease/50
}

// leastRate is the smallest rate that is of use as a share: one request in a lease, in thousandths of a request a second.
func leastRate(l contract.Limits) uint64 {
	return uint64(time.Second * 1000 / LeaseOf(l))
}

// Plan divides limits among regions and daemons. It comes from the configured list of VMs, not from the list of live ones, so that
// regions that lose each other keep their parts.
type Plan struct {
	// Daemons is the number of daemons in the fleet.
	Daemons int
	// RegionWeight is this region's part of all limits. The weights of all regions add up to 1.
	RegionWeight float64
	// BaseFactor multiplies the base allowance. 0 selects DefaultBaseFactor.
	BaseFactor float64
	// BaseBurst is the size of the base allowance's token bucket in requests. 0 selects DefaultBaseBurst.
	BaseBurst float64
}

// RatePart returns what the region's holder may grant, in thousandths of a request a second.
func (p Plan) RatePart(l contract.Limits) uint64 {
	return uint64(math.Floor(l.RatePerSecond * (1 - BaseReserve) * p.RegionWeight * 1000))
}

// ConcurrencyPart returns what the region's holder may grant in requests in flight. It is at least 1, since a limit smaller
// than the number of regions would leave a region without any.
func (p Plan) ConcurrencyPart(l contract.Limits) uint32 {
	return uint32(max(1, math.Floor(float64(l.Concurrency)*(1-BaseReserve)*p.RegionWeight)))
}

// BaseRate returns the refill of one entry's base allowance, in requests a second.
func (p Plan) BaseRate(l contract.Limits) float64 {
	factor := p.BaseFactor
	if factor == 0 {
		factor = DefaultBaseFactor
	}
	return l.RatePerSecond * BaseReserve * factor / float64(max(p.Daemons, 1))
}

// BaseConcurrency returns how many requests in flight an entry admits without a share: its part of the reserved tenth, at least 1.
func (p Plan) BaseConcurrency(l contract.Limits) uint32 { return p.fixedConcurrency(l, 1) }

// WaitingConcurrency returns how many requests in flight an entry admits without a share while its holder grants nothing yet. It
// takes the default factor of the base rate, so that rate and concurrency have the same bound: 0.4 of the limit on top of shares.
func (p Plan) WaitingConcurrency(l contract.Limits) uint32 {
	return p.fixedConcurrency(l, DefaultBaseFactor)
}

func (p Plan) fixedConcurrency(l contract.Limits, factor float64) uint32 {
	return uint32(max(1, math.Floor(float64(l.Concurrency)*BaseReserve*factor/float64(max(p.Daemons, 1)))))
}

func (p Plan) baseBurst() float64 {
	if p.BaseBurst == 0 {
		return DefaultBaseBurst
	}
	return p.BaseBurst
}

// burst returns the size of an entry's token bucket for a share.
func burst(l contract.Limits, rateMilli uint64) float64 {
	size := float64(l.Burst)
	if l.Burst <= 0 {
		size = l.RatePerSecond
	}
	return max(1, size*float64(rateMilli)/1000/l.RatePerSecond)
}
