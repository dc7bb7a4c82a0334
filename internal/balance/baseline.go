package balance

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// baselineWindow is the maximum age of the service times in a baseline.
	baselineWindow = 30 * time.Second
	// baselineInterval is the time between two computations of a baseline. Each home is sent a
	// baseline at most once a second.
	baselineInterval = time.Second
	// minResponsesPerMember is the number of recent responses that a backend server needs to be
	// included in a baseline.
	minResponsesPerMember = 8
)

// Baseline is the content of a Cowslip-Baseline header: the usual service time and error share of
// the backend servers of a service.
type Baseline struct {
	// ServiceTime is the median over the backend servers of their recent median service times.
	ServiceTime time.Duration
	// ErrorShare is the median over the backend servers of their recent error shares, from 0 to 1.
	ErrorShare float64
	// Members is the number of backend servers included. With zero, the other fields have no
	// meaning.
	Members int
}

// String returns the header value, for example "us=1234;err=0.001;n=17".
func (b Baseline) String() string {
	return fmt.Sprintf("us=%d;err=%s;n=%d", b.ServiceTime.Microseconds(), strconv.FormatFloat(b.ErrorShare, 'g', 3, 64), b.Members)
}

// ParseBaseline parses the value of a Cowslip-Baseline header. Unknown fields are ignored. An error
// names the invalid field.
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

// Baseline returns the baseline of a service. It is the zero value when no backend server had
// enough recent responses. The result may be up to baselineInterval old.
func (b *Balancer) Baseline(now time.Time, service string) Baseline {
	s := b.existingService(service)
	if s == nil {
		return Baseline{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.baselineAt.IsZero() && now.Sub(s.baselineAt) < baselineInterval {
		return s.baseline
	}
	from := b.secondsSinceStart(now)
	from -= min(from, uint32(baselineWindow/time.Second))
	var times, shares []float64
	buffer := make([]float64, 0, maxServiceTimes)
	for _, m := range s.members {
		recent := m.serviceTimes.appendSince(from, buffer)
		if len(recent) < minResponsesPerMember {
			continue
		}
		times = append(times, median(recent))
		m.errors.decay(now, errorTimeConstant)
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

// median sorts the values and returns the middle one, or the mean of the middle two. It returns 0
// without values.
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
