package balance

import (
	"math"
	"time"
)

// average is an exponentially weighted mean whose weight decays with time, so that old values fade to unknown.
type average struct {
	sum    float64
	weight float64
	at     time.Time
}

func (a *average) decay(now time.Time, tau time.Duration) {
	if passed := now.Sub(a.at); passed > 0 {
		if a.weight > 0 {
			f := math.Exp(-float64(passed) / float64(tau))
			a.sum *= f
			a.weight *= f
		}
		a.at = now
	}
}

func (a *average) add(now time.Time, tau time.Duration, value float64) {
	a.decay(now, tau)
	a.sum += value
	a.weight++
}

// towards returns the mean, drawn towards prior the more the less is known. priorWeight is the weight of the prior.
func (a *average) towards(prior, priorWeight float64) float64 {
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}

// mean returns the mean, or fallback when almost nothing is known.
func (a *average) mean(fallback float64) float64 {
	if a.weight < 1e-3 {
		return fallback
	}
	return a.sum / a.weight
}

// sampleCount is the number of service times kept per backend server. It bounds the memory to 256 bytes each, 3.5 MB at
// 14,000 backend servers.
const sampleCount = 32

// samples keeps the latest service times.
type samples struct {
	micros [sampleCount]uint32
	// at is in seconds since the base of the balancer.
	at   [sampleCount]uint32
	next int
	n    int
}

func (s *samples) add(second uint32, d time.Duration) {
	s.micros[s.next] = uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
	s.at[s.next] = second
	s.next = (s.next + 1) % sampleCount
	s.n = min(s.n+1, sampleCount)
}

// since appends the service times of this second and later.
func (s *samples) since(second uint32, out []float64) []float64 {
	for i := range s.n {
		if s.at[i] >= second {
			out = append(out, float64(s.micros[i]))
		}
	}
	return out
}
