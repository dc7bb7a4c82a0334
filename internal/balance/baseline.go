package balance

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// baselineWindow is the age up to which service times count.
	baselineWindow = 30 * time.Second
	// baselineEvery is how often a baseline is computed anew. Each home gets it at most once a second.
	baselineEvery = time.Second
	// memberMinimum is the number of recent responses from which a backend server counts.
	memberMinimum = 8
)

// Baseline is the content of a Cowslip-Baseline header: what is usual among the backend servers of a service.
type Baseline struct {
	// ServiceTime is the median over backend servers of their recent median service time.
	ServiceTime time.Duration
	// ErrorShare is the median over backend servers of their recent share of errors.
	ErrorShare float64
	// Members is the number of backend servers that counted. With zero the rest means nothing.
	Members int
}

// String returns the header value, for example "us=1234;err=0.001;n=17".
func (b Baseline) String() string {
	return fmt.Sprintf("us=%d;err=%s;n=%d", b.ServiceTime.Microseconds(), strconv.FormatFloat(b.ErrorShare, 'g', 3, 64), b.Members)
}

// ParseBaseline parses a header value.
func ParseBaseline(value string) (Baseline, error) {
	var b Baseline
	for field := range strings.SplitSeq(value, ";") {
		name, text, _ := strings.Cut(field, "=")
		var err error
		var n uint64
		switch name {
		case "us":
			n, err = strconv.ParseUint(text, 10, 32)
			b.ServiceTime = time.Duration(n) * time.Microsecond
		case "err":
			b.ErrorShare, err = strconv.ParseFloat(text, 64)
			if err == nil && !(b.ErrorShare >= 0 && b.ErrorShare <= 1) {
				err = strconv.ErrRange
			}
		case "n":
			n, err = strconv.ParseUint(text, 10, 16)
			b.Members = int(n)
		}
		if err != nil {
			return Baseline{}, fmt.Errorf("field %q of Cowslip-Baseline: %w", name, err)
		}
	}
	return b, nil
}

// Baseline returns what is usual in a service. Its members are zero when there was too little traffic.
func (b *Balancer) Baseline(now time.Time, service string) Baseline {
	s := b.held(service)
	if s == nil {
		return Baseline{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.baselineAt.IsZero() && now.Sub(s.baselineAt) < baselineEvery {
		return s.baseline
	}
	from := b.second(now)
	from -= min(from, uint32(baselineWindow/time.Second))
	var times, shares []float64
	room := make([]float64, 0, sampleCount)
	for _, m := range s.members {
		recent := m.times.since(from, room)
		if len(recent) < memberMinimum {
			continue
		}
		times = append(times, median(recent))
		m.errors.decay(now, errorTau)
		shares = append(shares, m.errors.mean(0))
	}
	s.baseline = Baseline{
		ServiceTime: time.Duration(median(times)) * time.Microsecond,
		ErrorShare:  median(shares),
		Members:     len(times),
	}
	s.baselineAt = now
	return s.baseline
}

// median sorts the values and returns the middle one, or the mean of the middle two. Without values it is zero.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
