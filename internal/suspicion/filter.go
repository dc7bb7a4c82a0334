package suspicion

import (
	"math"
	"time"
)

// Config holds the parameters of the model of a backend server.
type Config struct {
	// GrayInterval is the mean time between two gray periods of one backend server. GrayDuration is
	// the mean length of a gray period.
	GrayInterval, GrayDuration time.Duration
	// GrayFailureShare is the share of requests that fail while the backend server is gray,
	// HealthyFailureShare the share that fail while it is healthy. Both lie between 0 and 1.
	GrayFailureShare, HealthyFailureShare float64
	// LateFailureLikelihoodRatio is the factor by which one late failure raises the odds that the
	// backend server is gray. It is small: a gray backend server fails most requests at once, and
	// late failures are as often caused by a service that the backend server calls.
	LateFailureLikelihoodRatio float64
	// Threshold is the probability of being gray, from 0 to 1, at which a backend server becomes
	// suspect.
	Threshold float64
	// InsistThreshold is the probability of being gray, from 0 to 1, at which requests are held back
	// although no other backend server takes them, unless their route is repeatable. A caller whose
	// request was refused knows that it has not run; one whose request failed may have to find out.
	InsistThreshold float64
	// MinCanaryInterval is the minimum time between two requests to a suspect backend server
	// (canaries). The interval doubles with each failure, up to MaxCanaryInterval. A success resets
	// it to MinCanaryInterval.
	MinCanaryInterval, MaxCanaryInterval time.Duration
}

// Default returns parameters for backend servers that become gray for seconds at a time and fail
// about 1% of their requests otherwise.
func Default() Config {
	return Config{
		GrayInterval: 30 * time.Second, GrayDuration: 5 * time.Second, GrayFailureShare: 0.6, HealthyFailureShare: 0.015, LateFailureLikelihoodRatio: 3, Threshold: 0.4, InsistThreshold: 0.85,
		MinCanaryInterval: 150 * time.Millisecond, MaxCanaryInterval: 1200 * time.Millisecond,
	}
}

// Shedding returns parameters for telling backend servers that shed nearly every request, for seconds
// at a time, from those that shed a part of them. The failures are the requests that are shed. One
// that is accepted speaks strongly for a backend server that still serves.
func Shedding() Config {
	c := Default()
	c.GrayInterval, c.GrayDuration = time.Minute, 15*time.Second
	c.GrayFailureShare, c.HealthyFailureShare = 0.95, 0.4
	return c
}

// Result is the outcome of one request, as evidence about the backend server.
type Result uint8

const (
	// Success is a response that is not a failure.
	Success Result = iota
	// Failure is a failure of the backend server itself.
	Failure
	// LateFailure is a failure after a good part of the usual service time. It may have another
	// cause, such as a service that the backend server calls.
	LateFailure
)

// Filter estimates the probability that one backend server is gray. It is not safe for concurrent
// use, and its methods expect times that do not go back. A backend server is suspect while the
// probability is at least Config.Threshold.
type Filter struct {
	cfg Config
	// grayProbability is the estimate at updatedAt.
	grayProbability float64
	updatedAt       time.Time
	// lastCanary is the time of the last request that was admitted while the backend server was
	// suspect. canaryInterval is the minimum time from it to the next.
	lastCanary     time.Time
	canaryInterval time.Duration
}

// New returns the filter of a backend server without any evidence. Its estimate is the share of
// time that backend servers are gray on average.
func New(cfg Config, now time.Time) *Filter {
	return &Filter{cfg: cfg, grayProbability: cfg.stationaryGray(), updatedAt: now}
}

// stationaryGray returns the share of time that a backend server is gray on average.
func (c *Config) stationaryGray() float64 {
	grayRate, recoveryRate := 1/c.GrayInterval.Seconds(), 1/c.GrayDuration.Seconds()
	return grayRate / (grayRate + recoveryRate)
}

// advance moves the estimate to now. Without evidence it decays exponentially towards the average
// share of time that backend servers are gray.
func (f *Filter) advance(now time.Time) {
	elapsed := now.Sub(f.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	f.updatedAt = now
	rate := 1/f.cfg.GrayInterval.Seconds() + 1/f.cfg.GrayDuration.Seconds()
	stationary := f.cfg.stationaryGray()
	f.grayProbability = stationary + (f.grayProbability-stationary)*math.Exp(-rate*elapsed)
}

// Observe updates the estimate with the result of one request that ended at now.
func (f *Filter) Observe(now time.Time, r Result) {
	f.advance(now)
	if r == Success {
		f.canaryInterval = f.cfg.MinCanaryInterval
	} else {
		f.canaryInterval = min(max(2*f.canaryInterval, f.cfg.MinCanaryInterval), f.cfg.MaxCanaryInterval)
	}
	odds := f.grayProbability / (1 - f.grayProbability) * f.cfg.likelihoodRatio(r)
	f.grayProbability = odds / (1 + odds)
}

// likelihoodRatio returns how much more likely the result is from a gray backend server than from a
// healthy one.
func (c *Config) likelihoodRatio(r Result) float64 {
	switch r {
	case Failure:
		return c.GrayFailureShare / c.HealthyFailureShare
	case LateFailure:
		return c.LateFailureLikelihoodRatio
	default:
		return (1 - c.GrayFailureShare) / (1 - c.HealthyFailureShare)
	}
}

// Gray returns the probability, from 0 to 1, that the backend server is gray at now.
func (f *Filter) Gray(now time.Time) float64 {
	f.advance(now)
	return f.grayProbability
}

// Suspect reports whether requests that cannot be repeated should go to another backend server.
func (f *Filter) Suspect(now time.Time) bool { return f.Gray(now) >= f.cfg.Threshold }

// Request is what the filter needs to know of a request.
type Request struct {
	// Repeatable means that another backend server can run the request if this one fails it.
	Repeatable bool
	// Insists means that all other backend servers have refused the request. RouteRepeatable means
	// that its caller may send it again whatever its outcome.
	Insists, RouteRepeatable bool
	// MaxGray is the probability of being gray up to which the backend server gets a request that
	// insists, as its entry weighed it. 0 leaves it to the filter.
	MaxGray float64
}

// Admit reports whether the backend server should get a request. A suspect one gets repeatable
// requests, at most one per canary interval, whose results show when it has recovered. It also gets
// requests that insist, but those that must not run twice only while it may have recovered.
func (f *Filter) Admit(now time.Time, r Request) bool {
	if !f.Suspect(now) || r.Insists && f.admitsInsisting(now, r) {
		return true
	}
	if !r.Repeatable || now.Sub(f.lastCanary) < f.canaryInterval {
		return false
	}
	f.lastCanary = now
	return true
}

// insistInterval is the time between two requests that insist with a MaxGray. A gray backend server
// fails them at once, and the result of one decides on the next.
const insistInterval = 100 * time.Millisecond

// admitsInsisting reports whether a suspect backend server gets a request that insists.
func (f *Filter) admitsInsisting(now time.Time, r Request) bool {
	if r.MaxGray > 0 {
		if f.Gray(now) > r.MaxGray || now.Sub(f.lastCanary) < insistInterval {
			return false
		}
		f.lastCanary = now
		return true
	}
	return r.RouteRepeatable || f.Gray(now) < f.cfg.InsistThreshold
}
