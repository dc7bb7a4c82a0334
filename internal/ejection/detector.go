package ejection

import (
	"math"
	"time"
)

// Result is the outcome of one request as its home saw it.
type Result int

const (
	// OK is a complete answer.
	OK Result = iota
	// Failed is a 5xx answer or a connection that broke.
	Failed
	// Invalid is a wrong or truncated answer.
	Invalid
	// Shed is a 503 with Retry-After or a 429. It is not evidence.
	Shed
	// Abandoned is a request that ended before the backend server answered, because the caller left or the deadline passed.
	// The service time is a lower bound: it is evidence of slowness, never of health.
	Abandoned
)

// Sample is one finished request.
type Sample struct {
	// ServiceTime is the time from handing the request over to the backend server to the end of its answer.
	ServiceTime time.Duration
	Result      Result
}

const (
	// windowSamples bounds the service times kept per window; the cap on evidence makes more of them useless.
	windowSamples = 32
	// spreadWeight gives the learned spread a memory of about 1/spreadWeight samples.
	spreadWeight = 1.0 / 512
	// recentWeight gives the figures shown to operators a memory of about 1/recentWeight samples.
	recentWeight = 1.0 / 32
	// deviationToSpread converts a mean absolute deviation to a standard deviation for a normal distribution.
	deviationToSpread = 1.2533
	// learnBelow is the share of the threshold above which the spread is not learned, so that a fault does not widen it.
	learnBelow = 0.25
	// maxTestedShare bounds the error share tested for; a service with a normal error share near it gives no evidence.
	maxTestedShare = 0.9
)

// window holds the evidence of one span of Config.Window until it is judged.
type window struct {
	start     time.Time
	ref       reference // baseline when the window opened
	times     [windowSamples]float64
	lowerOnly uint64 // bit i is set when times[i] is a lower bound
	timed     int
	answers   int
	errors    float64
}

// sum is one cumulative sum with the time since when it has been above zero.
type sum struct {
	value   float64
	since   time.Time
	samples int
}

func (s *sum) add(at time.Time, delta, limit float64, samples int) {
	if s.value == 0 {
		s.since, s.samples = at, 0
	}
	s.samples += samples
	s.value = min(max(s.value+delta, 0), limit)
}

type detector struct {
	cfg    Config
	window time.Duration
	refs   baselines
	// pending is a ring of size windows from head on, the oldest first.
	pending [maxPendingWindows]window
	head    int
	size    int
	// latencyJudged and errorsJudged count the oldest windows of which the service times or the errors were judged. A window
	// is dropped when both were.
	latencyJudged, errorsJudged int

	latency  sum
	errors   sum
	centre   float64 // learned mean of the log ratio
	spread   float64 // learned mean absolute deviation of the log ratio
	ratio    float64 // recent mean of the clipped log ratio, for operators
	errShare float64 // recent error share, for operators
	ref      reference
}

func newDetector(cfg Config) *detector {
	return &detector{
		cfg: cfg, window: seconds(cfg.Window),
		refs:   baselines{maxAge: seconds(cfg.BaselineAge), minMembers: int(cfg.MinMembers)},
		spread: (cfg.MinSpread + cfg.MaxSpread) / 2 / deviationToSpread,
	}
}

// reset forgets the evidence and the windows not yet judged. The learned spread stays.
func (d *detector) reset() {
	d.discard()
	d.latency, d.errors = sum{}, sum{}
	d.ratio, d.errShare = 0, 0
}

func (d *detector) discard() { d.head, d.size, d.latencyJudged, d.errorsJudged = 0, 0, 0, 0 }

func (d *detector) observe(now time.Time, s Sample) {
	if s.Result == Shed || s.ServiceTime < 0 {
		return
	}
	w := d.open(now)
	if s.Result != Abandoned {
		w.answers++
	}
	switch s.Result {
	case Failed:
		w.errors++
	case Invalid:
		w.errors += d.cfg.InvalidWeight
	default:
		if w.timed < windowSamples {
			w.times[w.timed] = math.Log(max(float64(s.ServiceTime), 1))
			if s.Result == Abandoned {
				w.lowerOnly |= 1 << w.timed
			}
			w.timed++
		}
	}
}

func (d *detector) open(now time.Time) *window {
	start := now.Truncate(d.window)
	if d.size > 0 {
		w := d.at(d.size - 1)
		if !w.start.Before(start) {
			return w
		}
	}
	if d.size == len(d.pending) {
		d.drop()
	}
	w := d.at(d.size)
	d.size++
	w.start, w.ref = start, d.refs.at(now)
	w.lowerOnly, w.timed, w.answers, w.errors = 0, 0, 0, 0
	return w
}

func (d *detector) at(i int) *window { return &d.pending[(d.head+i)%len(d.pending)] }

func (d *detector) drop() {
	d.head, d.size = (d.head+1)%len(d.pending), d.size-1
	d.latencyJudged, d.errorsJudged = max(d.latencyJudged-1, 0), max(d.errorsJudged-1, 0)
}

// advance judges the windows that ended at least the settle time ago. Errors have their own settle time, because error
// shares follow a change of the whole service more slowly than medians do.
func (d *detector) advance(now time.Time) {
	for d.due(now, d.latencyJudged, d.cfg.Settle) {
		w := d.at(d.latencyJudged)
		latest := d.refs.at(now)
		if ref := w.ref.merge(latest); ref.entries > 0 {
			d.ref = ref
			d.judgeLatency(w, ref.median, rise(w.ref, latest))
		}
		d.latencyJudged++
	}
	for d.due(now, d.errorsJudged, d.cfg.ErrorSettle) {
		w := d.at(d.errorsJudged)
		if ref := w.ref.merge(d.refs.at(now)); ref.entries > 0 {
			d.ref = ref
			d.judgeErrors(w, ref)
		}
		d.errorsJudged++
	}
	for d.latencyJudged > 0 && d.errorsJudged > 0 {
		d.drop()
	}
}

// due says whether window i exists and ended at least settle seconds ago.
func (d *detector) due(now time.Time, i int, settle float64) bool {
	return i < d.size && now.Sub(d.at(i).start) >= d.window+seconds(settle)
}

func (d *detector) scale() float64 {
	return min(max(d.spread*deviationToSpread, d.cfg.MinSpread), d.cfg.MaxSpread)
}

// rise returns the log ratio by which the median rose from one reference to a later one, or 0 when it fell.
func rise(from, to reference) float64 {
	return max(math.Log(float64(to.median)/float64(from.median)), 0)
}

// judgeLatency compares the service times of a window with the median, which rose by the log ratio rise since the window.
// While the service times of the whole service rise, the latest median is still behind them by reports on their way, so
// it is raised further.
func (d *detector) judgeLatency(w *window, median time.Duration, rise float64) {
	base, scale := math.Log(float64(median))+d.cfg.Trend*rise, d.scale()
	clip := d.cfg.Clip * scale
	allowance := max(d.cfg.Drift*scale, math.Log(d.cfg.SlowRatio))
	learn := d.latency.value < learnBelow*d.cfg.LatencyThreshold
	delta, used := 0.0, 0
	for i, t := range w.times[:w.timed] {
		x := t - base
		step := (min(max(x, -clip), clip) - allowance) / scale
		if w.lowerOnly&(1<<i) != 0 {
			if step <= 0 {
				continue
			}
		} else if learn {
			d.learn(x)
		}
		delta += step
		used++
		d.ratio += recentWeight * (min(max(x, -3), 3) - d.ratio)
	}
	if used == 0 {
		return
	}
	delta = min(max(delta, -d.cfg.RecoveryCap), d.cfg.EvidenceCap)
	d.latency.add(w.start, delta, d.cfg.LatencyThreshold, used)
}

// learn follows the centre and the spread of the log ratio. Deviations are bounded, so that a few extreme samples do not
// widen the spread.
func (d *detector) learn(x float64) {
	dev := min(max(x-d.centre, -3), 3)
	d.centre += spreadWeight * dev
	d.spread += spreadWeight * (math.Abs(dev) - d.spread)
}

func (d *detector) judgeErrors(w *window, ref reference) {
	if w.answers == 0 {
		return
	}
	n := float64(w.answers)
	d.errShare += min(recentWeight*n, 1) * (min(w.errors/n, 1) - d.errShare)
	normal, tested := d.errorShares(ref.share)
	if tested <= normal {
		return
	}
	good := max(n-w.errors, 0)
	delta := w.errors*math.Log(tested/normal) + good*math.Log((1-tested)/(1-normal))
	delta = min(max(delta, -d.cfg.RecoveryCap), d.cfg.EvidenceCap)
	d.errors.add(w.start, delta, d.cfg.ErrorThreshold, w.answers)
}

// errorShares returns the error share taken as normal and the one tested for.
func (d *detector) errorShares(share float64) (normal, tested float64) {
	normal = max(d.cfg.ErrorFloor, share*d.cfg.ErrorMargin)
	return normal, min(normal*d.cfg.ErrorRatio, maxTestedShare)
}

func (d *detector) triggered() bool {
	n := int(d.cfg.MinSamples)
	return d.latency.value >= d.cfg.LatencyThreshold && d.latency.samples >= n ||
		d.errors.value >= d.cfg.ErrorThreshold && d.errors.samples >= n
}

func (d *detector) cleared() bool {
	return d.latency.value < d.cfg.ClearShare*d.cfg.LatencyThreshold && d.errors.value < d.cfg.ClearShare*d.cfg.ErrorThreshold
}
