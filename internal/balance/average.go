package balance

import (
	"math"
	"time"
)

// decayingMean is an exponentially weighted mean. The weight of a value decays with time, so that a
// mean without recent values counts as unknown.
type decayingMean struct {
	sum       float64
	weight    float64
	updatedAt time.Time
}

func (a *decayingMean) decay(now time.Time, timeConstant time.Duration) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		if a.weight > 0 {
			factor := math.Exp(-float64(elapsed) / float64(timeConstant))
			a.sum *= factor
			a.weight *= factor
		}
		a.updatedAt = now
	}
}

func (a *decayingMean) add(now time.Time, timeConstant time.Duration, value float64) {
	a.decay(now, timeConstant)
	a.sum += value
	a.weight++
}

// meanWithPrior returns the mean combined with a prior that counts as priorWeight values. The less
// weight the recorded values have left, the closer the result is to the prior.
func (a *decayingMean) meanWithPrior(prior, priorWeight float64) float64 {
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}

// mean returns the mean, or fallback when the recorded values have decayed to almost no weight.
func (a *decayingMean) mean(fallback float64) float64 {
	if a.weight < 1e-3 {
		return fallback
	}
	return a.sum / a.weight
}

// maxServiceTimes is the number of service times kept per backend server. It bounds their memory to
// 256 bytes each, 3.5 MB at 14,000 backend servers.
const maxServiceTimes = 32

// serviceTimes is a ring buffer of the latest service times of one backend server.
type serviceTimes struct {
	micros [maxServiceTimes]uint32
	// seconds holds when each service time was recorded, in seconds since Balancer.start.
	seconds [maxServiceTimes]uint32
	next    int
	count   int
}

func (s *serviceTimes) add(second uint32, d time.Duration) {
	s.micros[s.next] = uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
	s.seconds[s.next] = second
	s.next = (s.next + 1) % maxServiceTimes
	s.count = min(s.count+1, maxServiceTimes)
}

// appendSince appends to out the service times in microseconds recorded at the given second or
// later.
func (s *serviceTimes) appendSince(second uint32, out []float64) []float64 {
	for i := range s.count {
		if s.seconds[i] >= second {
			out = append(out, float64(s.micros[i]))
		}
	}
	return out
}
