package measure

import (
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Indexes of the detectors that observe each backend server. detectorUnderTest is that of package
// ejection.
const (
	detectorUnderTest = iota
	comparisonTight
	comparisonLoose
	detectorCount
)

// Thresholds of the two comparison detectors, as factors on baseMedian.
const (
	tightFactor = 3
	looseFactor = 10
)

// logTailFactor is the natural log of tailFactor.
var logTailFactor = math.Log(tailFactor)

// activeRequest occupies a slot of a backend server until finish.
type activeRequest struct {
	finish time.Duration
	sample ejection.Sample
	entry  int
}

// backendServer is one simulated backend server of a service with the detectors that observe it.
// Times are durations since epoch. The first busySlots elements of slots are in use.
type backendServer struct {
	slots          []activeRequest
	busySlots      int
	nextArrival    time.Duration
	logFactor      float64 // natural log of the backend server's own service-time factor
	gcStart        time.Duration
	gcEnd          time.Duration
	pauseStart     time.Duration // current or next pause of the observer
	pauseEnd       time.Duration
	coldStart      time.Duration
	underTest      *ejectionDetector
	detectors      [detectorCount]detector
	wasEjected     [detectorCount]bool
	ejections      [detectorCount]int
	errorEjections int // ejections by detectorUnderTest for errors
}

func newBackendServer(s *service) *backendServer {
	b := &backendServer{
		slots: make([]activeRequest, s.sc.Service.Slots), logFactor: s.rng.NormFloat64() * backendSpread,
		pauseStart: never, pauseEnd: never, coldStart: -never,
	}
	b.nextArrival = s.drawInterval(b.meanInterval(s))
	b.scheduleGC(s)
	if s.sc.ObserverPauseInterval > 0 {
		b.scheduleObserverPause(s)
	}
	b.restart(s)
	b.detectors[comparisonTight] = &consecutiveDetector{threshold: tightFactor * baseMedian}
	b.detectors[comparisonLoose] = &consecutiveDetector{threshold: looseFactor * baseMedian}
	return b
}

// restart replaces detectorUnderTest by a new one, since a home keeps its state in memory.
func (b *backendServer) restart(s *service) {
	b.underTest = &ejectionDetector{Backend: ejection.NewBackend(s.cfg, s.sc.Service.Slots, epoch.Add(s.now))}
	b.detectors[detectorUnderTest] = b.underTest
}

func (b *backendServer) meanInterval(s *service) time.Duration {
	return time.Duration(float64(time.Second) / s.sc.Rate)
}

// scheduleGC draws the start and end of the next garbage collection.
func (b *backendServer) scheduleGC(s *service) {
	b.gcStart = s.now + s.drawInterval(gcInterval)
	length := float64(gcPauseMedian) * logNormal(s.rng.NormFloat64(), gcPauseSpread)
	b.gcEnd = b.gcStart + min(time.Duration(length), maxGCPause)
}

// scheduleObserverPause draws the start and end of the next pause of the observer.
func (b *backendServer) scheduleObserverPause(s *service) {
	b.pauseStart = s.now + s.drawInterval(s.sc.ObserverPauseInterval)
	b.pauseEnd = b.pauseStart + time.Duration(s.rng.Float64()*float64(maxObserverPause))
}

func (b *backendServer) observerRunning(now time.Duration) bool {
	return now < b.pauseStart || now >= b.pauseEnd
}

// run simulates the arrivals and completions of one tick. i is the index of the backend server.
func (b *backendServer) run(s *service, i int) {
	if s.now >= b.gcEnd+time.Second {
		b.scheduleGC(s)
	}
	if s.now >= b.pauseEnd {
		b.scheduleObserverPause(s)
	}
	for b.nextArrival < s.now {
		b.complete(s, i, b.nextArrival)
		b.arrive(s, i)
		b.nextArrival += s.drawInterval(b.meanInterval(s))
	}
	b.complete(s, i, s.now)
}

// arrive starts one request in a free slot. If all are busy, the request waits for up to
// maxQueueWait and is shed after that.
func (b *backendServer) arrive(s *service, i int) {
	at := b.nextArrival
	if b.busySlots == len(b.slots) {
		first := b.earliest()
		if b.slots[first].finish-at > maxQueueWait {
			return
		}
		at = b.slots[first].finish
		b.complete(s, i, at)
		if b.busySlots == len(b.slots) { // the completion is delayed to the end of an observer pause
			return
		}
	}
	sample := b.serve(s, i, at)
	b.slots[b.busySlots] = activeRequest{at + sample.ServiceTime, sample, s.rng.IntN(entryCount)}
	b.busySlots++
}

// earliest returns the index of the active request that finishes first.
func (b *backendServer) earliest() int {
	first := 0
	for j := range b.busySlots {
		if b.slots[j].finish < b.slots[first].finish {
			first = j
		}
	}
	return first
}

// serve draws the service time and the result of a request that starts at now.
func (b *backendServer) serve(s *service, i int, now time.Duration) ejection.Sample {
	logTime := b.logFactor + s.load.logFactor + s.rng.NormFloat64()*s.sc.Spread
	failed, invalid := s.errorShare(), 0.0
	if s.rng.Float64() < tailShare {
		logTime += logTailFactor
	}
	if i == 0 && s.isFaulty(now) {
		if f := s.sc.Fault; f.SlowFactor > 0 {
			logTime += math.Log(f.SlowFactor)
		}
		failed, invalid = max(failed, s.sc.Fault.ErrorShare), s.sc.Fault.InvalidShare
	}
	if age := now - b.coldStart; age < warmUpTime {
		logTime += math.Log(coldSlowFactor) * (1 - float64(age)/float64(warmUpTime))
		failed = max(failed, coldErrorShare*(1-3*float64(age)/float64(warmUpTime)))
	}
	took := time.Duration(float64(baseMedian) * math.Exp(logTime))
	if now < b.gcEnd && now+took > b.gcStart {
		took += b.gcEnd - max(b.gcStart, now)
	}
	r := ejection.OK
	switch u := s.rng.Float64(); {
	case u < failed:
		r = ejection.Failed
	case u < failed+invalid:
		r = ejection.Invalid
	}
	return ejection.Sample{ServiceTime: took, Result: r}
}

// complete reports the requests that finished by until to the entries and detectors. A paused
// observer sees a completion when its pause ends, and measures the pause as service time.
func (b *backendServer) complete(s *service, i int, until time.Duration) {
	for b.busySlots > 0 {
		j := b.earliest()
		req := b.slots[j]
		if req.finish > until {
			return
		}
		if !b.observerRunning(req.finish) {
			if req.sample.ServiceTime += b.pauseEnd - req.finish; req.sample.ServiceTime < 0 {
				return
			}
			req.finish = b.pauseEnd
			b.slots[j] = req
			continue
		}
		b.busySlots--
		b.slots[j] = b.slots[b.busySlots]
		s.entries[req.entry].histories[i].add(response{req.finish, req.sample.ServiceTime, req.sample.Result != ejection.OK})
		if !s.isWatched(i) {
			continue
		}
		at := epoch.Add(req.finish)
		for _, d := range b.detectors {
			d.observe(at, req.sample)
		}
	}
}

// tick updates the detectors and counts new ejections.
func (b *backendServer) tick(at time.Time) {
	for d, det := range b.detectors {
		det.tick(at)
		ejected := det.isEjected()
		if ejected && !b.wasEjected[d] {
			b.ejections[d]++
			if d == detectorUnderTest {
				b.countErrorEjection(at)
			}
		}
		b.wasEjected[d] = ejected
	}
}

// countErrorEjection counts an ejection by detectorUnderTest if the evidence of errors has reached
// its threshold.
func (b *backendServer) countErrorEjection(at time.Time) {
	if e := b.underTest.Explain(at).Errors; e.Value >= e.Threshold {
		b.errorEjections++
	}
}
