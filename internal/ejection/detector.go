package ejection

import (
	"math"
	"net/http"
	"time"
)

// Result is the outcome of one request as its home saw it.
type Result int

const (
	// OK is a complete response.
	OK Result = iota
	// Failed is a 5xx response or a broken connection.
	Failed
	// Invalid is a wrong or truncated response.
	Invalid
	// Shed is a 503 with Retry-After or a 429. It is not evidence.
	Shed
	// Abandoned is a request that ended before the backend server responded, because the caller
	// left or the deadline passed. Its service time is a lower bound. It is therefore evidence of
	// slowness only, never of health.
	Abandoned
)

// ResultOf returns the result of a complete response with the status and the header. It must be the backend
// server's own; package runstate tells.
func ResultOf(status int, h http.Header) Result {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable && h.Get("Retry-After") != "":
		return Shed
	case status >= http.StatusInternalServerError:
		return Failed
	default:
		return OK
	}
}

// Sample is one finished request.
type Sample struct {
	// ServiceTime is the time from sending the request to the backend server to the end of its
	// response.
	ServiceTime time.Duration
	Result      Result
}

const (
	// maxWindowTimes bounds the service times kept per window. More would not count, because the
	// evidence per window is capped.
	maxWindowTimes = 32
	// spreadWeight gives the learned spread a memory of about 1/spreadWeight samples.
	spreadWeight = 1.0 / 512
	// recentWeight gives the figures shown to operators a memory of about 1/recentWeight samples.
	recentWeight = 1.0 / 32
	// deviationToSpread converts a mean absolute deviation to a standard deviation, for a normal
	// distribution.
	deviationToSpread = 1.2533
	// learnBelowShare is the share of the latency threshold below which the spread is learned.
	// Above it a fault is likely, which must not widen the spread.
	learnBelowShare = 0.25
	// maxTestedShare bounds the error share tested for. A service with a normal error share near it
	// gives no error evidence.
	maxTestedShare = 0.9
)

// window holds the samples of one time span of length Config.Window until it is judged.
type window struct {
	start       time.Time
	baseline    combinedBaseline // baseline when the window opened
	times       [maxWindowTimes]float64
	lowerBounds uint64 // bit i is set when times[i] is a lower bound
	timeCount   int
	responses   int     // all samples but the abandoned ones
	errors      float64 // failures, with Config.InvalidWeight for invalid responses
}

// cusum is a cumulative sum (CUSUM) of evidence that does not fall below zero. since is the start
// of the window in which it last rose from zero, and samples counts from there.
type cusum struct {
	value   float64
	since   time.Time
	samples int
}

// add adds delta to the sum, which is kept between zero and limit.
func (s *cusum) add(at time.Time, delta, limit float64, samples int) {
	if s.value == 0 {
		s.since, s.samples = at, 0
	}
	s.samples += samples
	s.value = min(max(s.value+delta, 0), limit)
}

// detector gathers the evidence for and against one backend server. Requests are collected in
// windows. A window is judged a settle time after its end, when baselines had time to follow a
// change of the whole service. It is compared with the larger of the baselines before and after
// that time.
type detector struct {
	cfg          Config
	windowLength time.Duration
	baselines    baselines
	// pending is a ring buffer of size windows from head on, the oldest first.
	pending [maxPendingWindows]window
	head    int
	size    int
	// latencyJudged and errorsJudged count the oldest windows whose service times or errors were
	// judged. A window is dropped when both were.
	latencyJudged, errorsJudged int

	latency          cusum
	errors           cusum
	meanLogRatio     float64 // learned mean of the log ratio
	meanDeviation    float64 // learned mean absolute deviation of the log ratio
	recentLogRatio   float64 // recent mean of the bounded log ratio, for operators
	recentErrorShare float64 // recent error share, for operators
	lastBaseline     combinedBaseline
}

func newDetector(cfg Config) *detector {
	return &detector{
		cfg: cfg, windowLength: seconds(cfg.Window),
		baselines:     baselines{maxAge: seconds(cfg.BaselineAge), minMembers: int(cfg.MinMembers)},
		meanDeviation: (cfg.MinSpread + cfg.MaxSpread) / 2 / deviationToSpread,
	}
}

// reset drops the evidence and the windows not yet judged. The learned spread is kept.
func (d *detector) reset() {
	d.discardWindows()
	d.latency, d.errors = cusum{}, cusum{}
	d.recentLogRatio, d.recentErrorShare = 0, 0
}

// discardWindows drops the windows not yet judged.
func (d *detector) discardWindows() { d.head, d.size, d.latencyJudged, d.errorsJudged = 0, 0, 0, 0 }

// observe adds a sample to the current window. Samples that were shed are ignored.
func (d *detector) observe(now time.Time, s Sample) {
	if s.Result == Shed || s.ServiceTime < 0 {
		return
	}
	w := d.currentWindow(now)
	if s.Result != Abandoned {
		w.responses++
	}
	switch s.Result {
	case Failed:
		w.errors++
	case Invalid:
		w.errors += d.cfg.InvalidWeight
	default:
		if w.timeCount < maxWindowTimes {
			w.times[w.timeCount] = math.Log(max(float64(s.ServiceTime), 1))
			if s.Result == Abandoned {
				w.lowerBounds |= 1 << w.timeCount
			}
			w.timeCount++
		}
	}
}

// currentWindow returns the window of now and opens it when there is none. It drops the oldest
// window when all are in use.
func (d *detector) currentWindow(now time.Time) *window {
	start := now.Truncate(d.windowLength)
	if d.size > 0 {
		w := d.windowAt(d.size - 1)
		if !w.start.Before(start) {
			return w
		}
	}
	if d.size == len(d.pending) {
		d.dropOldest()
	}
	w := d.windowAt(d.size)
	d.size++
	w.start, w.baseline = start, d.baselines.medianAt(now)
	w.lowerBounds, w.timeCount, w.responses, w.errors = 0, 0, 0, 0
	return w
}

func (d *detector) windowAt(i int) *window { return &d.pending[(d.head+i)%len(d.pending)] }

func (d *detector) dropOldest() {
	d.head, d.size = (d.head+1)%len(d.pending), d.size-1
	d.latencyJudged, d.errorsJudged = max(d.latencyJudged-1, 0), max(d.errorsJudged-1, 0)
}

// advance judges the windows that ended at least the settle time ago. Errors have their own settle
// time, because error shares follow a change of the whole service more slowly than medians do.
func (d *detector) advance(now time.Time) {
	for d.isDue(now, d.latencyJudged, d.cfg.Settle) {
		w := d.windowAt(d.latencyJudged)
		latest := d.baselines.medianAt(now)
		if baseline := w.baseline.larger(latest); baseline.entries > 0 {
			d.lastBaseline = baseline
			d.judgeLatency(w, baseline.median, logRise(w.baseline, latest))
		}
		d.latencyJudged++
	}
	for d.isDue(now, d.errorsJudged, d.cfg.ErrorSettle) {
		w := d.windowAt(d.errorsJudged)
		if baseline := w.baseline.larger(d.baselines.medianAt(now)); baseline.entries > 0 {
			d.lastBaseline = baseline
			d.judgeErrors(w, baseline)
		}
		d.errorsJudged++
	}
	for d.latencyJudged > 0 && d.errorsJudged > 0 {
		d.dropOldest()
	}
}

// isDue reports whether window i exists and ended at least settle seconds ago.
func (d *detector) isDue(now time.Time, i int, settle float64) bool {
	return i < d.size && now.Sub(d.windowAt(i).start) >= d.windowLength+seconds(settle)
}

// boundedSpread returns the learned standard deviation of the log ratio within its bounds.
func (d *detector) boundedSpread() float64 {
	return min(max(d.meanDeviation*deviationToSpread, d.cfg.MinSpread), d.cfg.MaxSpread)
}

// logRise returns the log ratio by which the median rose between two baselines, or 0 when it fell.
func logRise(from, to combinedBaseline) float64 {
	return max(math.Log(float64(to.median)/float64(from.median)), 0)
}

// judgeLatency compares the service times of a window with the median of the baseline. The median
// rose by the log ratio rise since the window. While the service times of the whole service rise,
// baselines are still on their way, and the latest median is too low. It is therefore raised
// further.
func (d *detector) judgeLatency(w *window, median time.Duration, rise float64) {
	logBaseline, spread := math.Log(float64(median))+d.cfg.Trend*rise, d.boundedSpread()
	clip := d.cfg.Clip * spread
	allowance := max(d.cfg.Drift*spread, math.Log(d.cfg.SlowRatio))
	learn := d.latency.value < learnBelowShare*d.cfg.LatencyThreshold
	delta, used := 0.0, 0
	for i, t := range w.times[:w.timeCount] {
		logRatio := t - logBaseline
		step := (min(max(logRatio, -clip), clip) - allowance) / spread
		if w.lowerBounds&(1<<i) != 0 {
			if step <= 0 {
				continue
			}
		} else if learn {
			d.learnSpread(logRatio)
		}
		delta += step
		used++
		d.recentLogRatio += recentWeight * (min(max(logRatio, -3), 3) - d.recentLogRatio)
	}
	if used == 0 {
		return
	}
	delta = min(max(delta, -d.cfg.RecoveryCap), d.cfg.EvidenceCap)
	d.latency.add(w.start, delta, d.cfg.LatencyThreshold, used)
}

// learnSpread updates the learned mean and deviation of the log ratio. The deviation of each sample
// is bounded, so that a few extreme ones do not widen the spread.
func (d *detector) learnSpread(logRatio float64) {
	deviation := min(max(logRatio-d.meanLogRatio, -3), 3)
	d.meanLogRatio += spreadWeight * deviation
	d.meanDeviation += spreadWeight * (math.Abs(deviation) - d.meanDeviation)
}

// judgeErrors adds the log likelihood ratio of the responses of a window: that of the tested error
// share against the normal one.
func (d *detector) judgeErrors(w *window, baseline combinedBaseline) {
	if w.responses == 0 {
		return
	}
	n := float64(w.responses)
	d.recentErrorShare += min(recentWeight*n, 1) * (min(w.errors/n, 1) - d.recentErrorShare)
	normal, tested := d.errorShares(baseline.share)
	if tested <= normal {
		return
	}
	successes := max(n-w.errors, 0)
	delta := w.errors*math.Log(tested/normal) + successes*math.Log((1-tested)/(1-normal))
	delta = min(max(delta, -d.cfg.RecoveryCap), d.cfg.EvidenceCap)
	d.errors.add(w.start, delta, d.cfg.ErrorThreshold, w.responses)
}

// errorShares returns the error share taken as normal and the one tested for.
func (d *detector) errorShares(share float64) (normal, tested float64) {
	normal = max(d.cfg.ErrorFloor, share*d.cfg.ErrorMargin)
	return normal, min(normal*d.cfg.ErrorRatio, maxTestedShare)
}

// triggered reports whether the latency or the error evidence is enough to be suspect.
func (d *detector) triggered() bool {
	n := int(d.cfg.MinSamples)
	return d.latency.value >= d.cfg.LatencyThreshold && d.latency.samples >= n ||
		d.errors.value >= d.cfg.ErrorThreshold && d.errors.samples >= n
}

// cleared reports whether the evidence is low enough to be no longer suspect.
func (d *detector) cleared() bool {
	return d.latency.value < d.cfg.ClearShare*d.cfg.LatencyThreshold && d.errors.value < d.cfg.ClearShare*d.cfg.ErrorThreshold
}
