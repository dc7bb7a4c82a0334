package measure

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Options sets the extent of a measurement.
type Options struct {
	// Seed is the seed of the first simulated service. The seeds of the others derive from it.
	Seed uint64
	// Trials is the number of faults for each scenario.
	Trials int
	// Workers is the number of goroutines.
	Workers int
	// IgnoreComparison ends each trial as soon as package ejection has ejected, without waiting for
	// the comparison detectors.
	IgnoreComparison bool
	// StreamLength is the virtual time for which one healthy service is simulated. Longer runs
	// consist of several such services, with different backend servers and load swings.
	// The default is 4 h.
	StreamLength time.Duration
	// Overrides replaces parameters of every preset, by name.
	Overrides map[string]float64
}

const (
	settleTime          = 10 * time.Second // from the end of the cold start until a fault may begin
	onsetRange          = 20 * time.Second // a fault begins at a random moment of this range
	trialTimeout        = 60 * time.Second // a fault not detected by then counts as missed
	defaultStreamLength = 4 * time.Hour
)

// Detection is the result of one detector in the trials of one scenario.
type Detection struct {
	// Times holds the detection times in ascending order, without the trials that missed the fault.
	Times []time.Duration
	// Trials is the number of faults, detected or not.
	Trials int
}

// Quantile returns the detection time that a share q of the trials did not exceed. A trial that
// missed the fault counts as longer than all others. The result is false if the quantile falls
// among those.
func (d Detection) Quantile(q float64) (time.Duration, bool) {
	i := int(math.Ceil(q*float64(d.Trials))) - 1
	if i < 0 || i >= len(d.Times) {
		return 0, false
	}
	return d.Times[i], true
}

// MissedShare returns the share of trials that did not detect the fault within trialTimeout.
func (d Detection) MissedShare() float64 { return 1 - float64(len(d.Times))/float64(max(d.Trials, 1)) }

// detectionTimes holds the detection time of each detector in one trial, and never for a detector
// that missed the fault.
type detectionTimes [detectorCount]time.Duration

// RunTrials runs o.Trials trials of a scenario and returns the result of each detector. It fails if
// the preset or an override is not valid.
func RunTrials(sc Scenario, o Options) ([detectorCount]Detection, error) {
	cfg, err := presetConfig(sc.Service.Preset, o)
	if err != nil {
		return [detectorCount]Detection{}, err
	}
	results := make([]detectionTimes, o.Trials)
	parallel(o.Workers, o.Trials, func(i int) { results[i] = runTrial(sc, cfg, o.Seed+uint64(i)*7919, o.IgnoreComparison) })
	var out [detectorCount]Detection
	for d := range out {
		out[d].Trials = o.Trials
		for _, r := range results {
			if r[d] != never {
				out[d].Times = append(out[d].Times, r[d])
			}
		}
		slices.Sort(out[d].Times)
	}
	return out, nil
}

func presetConfig(preset string, o Options) (ejection.Config, error) {
	cfg, err := ejection.Preset(preset)
	if err != nil {
		return cfg, err
	}
	return cfg.Override(o.Overrides)
}

// runTrial simulates one service until a fault of its first backend server is detected or
// trialTimeout has passed.
func runTrial(sc Scenario, cfg ejection.Config, seed uint64, ignoreComparison bool) detectionTimes {
	s := newService(sc, cfg, seed)
	settled := time.Duration(cfg.ColdStart*float64(time.Second)) + settleTime
	onset := (settled + time.Duration(s.rng.Float64()*float64(onsetRange))).Truncate(tickInterval)
	s.watchFirstOnly = true
	s.runUntil(onset)
	target := s.backends[0]
	r := detectionTimes{never, never, never}
	s.onset = onset
	if sc.ColdStart {
		target.coldStart = s.now
		target.restart(s)
	}
	for s.now < onset+trialTimeout {
		s.step()
		waiting := 0
		for d := range r {
			if r[d] == never && target.wasEjected[d] {
				r[d] = s.now - onset
			}
			if r[d] == never {
				waiting++
			}
		}
		if waiting == 0 || ignoreComparison && r[detectorUnderTest] != never {
			break
		}
	}
	return r
}

func (s *service) runUntil(t time.Duration) {
	for s.now < t {
		s.step()
	}
}

// resetCounts sets the counts of ejections to 0.
func (s *service) resetCounts() {
	for _, backend := range s.backends {
		backend.ejections, backend.errorEjections = [detectorCount]int{}, 0
	}
}

// FalseEjections counts the false ejections of one detector. Days is the observed time, summed over
// the backend servers.
type FalseEjections struct {
	Total int
	// ByErrors is the part of Total that failed responses caused. Latency caused the rest.
	// It is known for package ejection only.
	ByErrors int
	Days     float64
}

// PerDay returns the measured rate per backend-server day.
func (c FalseEjections) PerDay() float64 { return float64(c.Total) / c.Days }

// UpperBoundPerDay returns the one-sided upper 95 % confidence bound of PerDay for a Poisson count.
func (c FalseEjections) UpperBoundPerDay() float64 {
	if c.Total == 0 {
		return -math.Log(0.05) / c.Days
	}
	// Wilson and Hilferty's approximation of the chi-squared quantile with 2(Total+1) degrees of
	// freedom, halved.
	const z = 1.6449 // 95 % quantile of the standard normal distribution
	k := float64(c.Total + 1)
	return k * math.Pow(1-1/(9*k)+z/(3*math.Sqrt(k)), 3) / c.Days
}

// RunHealthy simulates services without a fault for at least the given number of backend-server
// days. It fails if the preset or an override is not valid.
func RunHealthy(sc Scenario, days float64, o Options) ([detectorCount]FalseEjections, error) {
	cfg, err := presetConfig(sc.Service.Preset, o)
	if err != nil {
		return [detectorCount]FalseEjections{}, err
	}
	length := o.StreamLength
	if length <= 0 {
		length = defaultStreamLength
	}
	daysPerStream := length.Hours() / 24 * float64(sc.Service.BackendServers)
	streams := int(math.Ceil(days / daysPerStream))
	totals, byErrors := make([][detectorCount]int, streams), make([]int, streams)
	parallel(o.Workers, streams, func(i int) {
		s := newService(sc, cfg, o.Seed+1_000_003+uint64(i)*104729)
		s.runUntil(time.Duration(cfg.ColdStart*float64(time.Second)) + settleTime)
		s.resetCounts()
		s.runUntil(s.now + length)
		for _, backend := range s.backends {
			for d, e := range backend.ejections {
				totals[i][d] += e
			}
			byErrors[i] += backend.errorEjections
		}
	})
	var out [detectorCount]FalseEjections
	for d := range out {
		out[d].Days = float64(streams) * daysPerStream
		for _, e := range totals {
			out[d].Total += e[d]
		}
	}
	for _, e := range byErrors {
		out[detectorUnderTest].ByErrors += e
	}
	return out, nil
}

// parallel calls f for 0 to n-1 from the given number of goroutines and waits for all calls.
func parallel(workers, n int, f func(i int)) {
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}
