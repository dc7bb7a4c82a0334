package limits

import (
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

const (
	// Lease is how long a share of a large limit is valid.
	Lease = 5 * time.Second
	// SmallLimitLease is how long a share of a small limit is valid. A daemon sees few requests per
	// second of each of many small customers, and each of those has another holder. With the short
	// lease, renewals of their shares alone would exceed the budget for control traffic.
	SmallLimitLease = 40 * time.Second
	// smallLimitRate is the rate in requests per second below which a limit counts as small.
	smallLimitRate = 100
	// maxHolderLease is the longest time for which a holder counts a grant.
	maxHolderLease = SmallLimitLease + SmallLimitLease/50
	// BaseReserveFraction is the fraction of each limit that is reserved for base allowances.
	BaseReserveFraction = 0.1
	// DefaultBaseFactor and DefaultBaseBurst are the defaults of Plan.BaseFactor and
	// Plan.BaseBurst. Larger values save requests for shares when a customer's traffic is spread
	// thinly over many entries, but admit more beyond the shares. docs/limits.md compares the
	// values.
	DefaultBaseFactor = 4
	DefaultBaseBurst  = 3
)

// LeaseFor returns how long a share of the limits is valid. The entry counts it from when it sent
// its request.
func LeaseFor(l contract.Limits) time.Duration {
	if l.RatePerSecond < smallLimitRate {
		return SmallLimitLease
	}
	return Lease
}

// holderLeaseFor returns how long a holder counts a grant. Its margin of 2% covers clocks whose
// rates differ by up to 1%.
func holderLeaseFor(l contract.Limits) time.Duration {
	lease := LeaseFor(l)
	return lease + lease/50
}

// minUsefulRateMilli returns the smallest rate that is useful as a share, one request per lease, in
// thousandths of a request per second.
func minUsefulRateMilli(l contract.Limits) uint64 {
	return uint64(time.Second * 1000 / LeaseFor(l))
}

// Plan divides the limits of customers among regions and daemons. It is derived from the configured
// list of VMs and not from the live ones, so that regions that lose contact with each other keep
// their quotas.
type Plan struct {
	// Daemons is the number of daemons in the fleet.
	Daemons int
	// RegionWeight is this region's fraction of all limits. The weights of all regions add up to 1.
	RegionWeight float64
	// BaseFactor multiplies the rate of the base allowance. 0 selects DefaultBaseFactor.
	BaseFactor float64
	// BaseBurst is the size of the base allowance's token bucket, in requests. 0 selects
	// DefaultBaseBurst.
	BaseBurst float64
}

// RegionRateMilli returns the region's quota of the rate limit that its holder may grant, in
// thousandths of a request per second.
func (p Plan) RegionRateMilli(l contract.Limits) uint64 {
	return uint64(math.Floor(l.RatePerSecond * (1 - BaseReserveFraction) * p.RegionWeight * 1000))
}

// RegionConcurrency returns the region's quota of the concurrency limit that its holder may grant,
// in requests in flight. It is at least 1, because a limit smaller than the number of regions would
// leave a region without any.
func (p Plan) RegionConcurrency(l contract.Limits) uint32 {
	return uint32(max(1, math.Floor(float64(l.Concurrency)*(1-BaseReserveFraction)*p.RegionWeight)))
}

// BaseRate returns the refill rate of one entry's base allowance, in requests per second.
func (p Plan) BaseRate(l contract.Limits) float64 {
	factor := p.BaseFactor
	if factor == 0 {
		factor = DefaultBaseFactor
	}
	return l.RatePerSecond * BaseReserveFraction * factor / float64(max(p.Daemons, 1))
}

// BaseConcurrency returns how many requests in flight an entry admits without a share: its part of
// the reserved tenth, and at least 1.
func (p Plan) BaseConcurrency(l contract.Limits) uint32 { return p.reservedConcurrency(l, 1) }

// WaitingConcurrency returns how many requests in flight an entry admits without a share while its
// holder still waits before its first grant. It multiplies the reserved tenth by the default factor
// of the base rate, so that rate and concurrency have the same bound: 0.4 of the limit on top of
// shares.
func (p Plan) WaitingConcurrency(l contract.Limits) uint32 {
	return p.reservedConcurrency(l, DefaultBaseFactor)
}

func (p Plan) reservedConcurrency(l contract.Limits, factor float64) uint32 {
	return uint32(max(1, math.Floor(float64(l.Concurrency)*BaseReserveFraction*factor/float64(max(p.Daemons, 1)))))
}

func (p Plan) baseBurst() float64 {
	if p.BaseBurst == 0 {
		return DefaultBaseBurst
	}
	return p.BaseBurst
}

// shareBurst returns the size of the token bucket of a share of rateMilli, in requests. Without a
// burst in the contract, the burst is the rate of one second.
func shareBurst(l contract.Limits, rateMilli uint64) float64 {
	size := float64(l.Burst)
	if l.Burst <= 0 {
		size = l.RatePerSecond
	}
	return max(1, size*float64(rateMilli)/1000/l.RatePerSecond)
}
