package measure

import (
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// Detectors measured on every stream, in the order of the subjects of a member.
const (
	ownDetector = iota
	comparisonTight
	comparisonLoose
	detectors
)

// Thresholds of the two comparison detectors as factors on the normal median service time.
const (
	tightFactor = 3
	looseFactor = 10
)

var logTail = math.Log(tailFactor)

type inFlight struct {
	finish time.Duration
	sample ejection.Sample
	entry  int
}

// member is one backend server of a service with the detectors that watch it.
type member struct {
	slots     []inFlight
	busy      int
	arrival   time.Duration
	factor    float64 // log of the member's own factor
	gcStart   time.Duration
	gcEnd     time.Duration
	pauseFrom time.Duration // pause of the observer
	pauseTo   time.Duration
	coldFrom  time.Duration
	own       *backend
	subjects  [detectors]subject
	wasOut    [detectors]bool
	ejections [detectors]int
	byErrors  int // ejections of ownDetector for errors
}

func newMember(s *service) *member {
	m := &member{
		slots: make([]inFlight, s.sc.Shape.Slots), factor: s.rng.NormFloat64() * memberSpread,
		pauseFrom: never, pauseTo: never, coldFrom: -never,
	}
	m.arrival = s.wait(m.gap(s))
	m.nextGC(s)
	if s.sc.PauseEvery > 0 {
		m.nextPause(s)
	}
	m.restart(s)
	m.subjects[comparisonTight] = &consecutive{threshold: tightFactor * baseMedian}
	m.subjects[comparisonLoose] = &consecutive{threshold: looseFactor * baseMedian}
	return m
}

// restart replaces the state that a home keeps in memory.
func (m *member) restart(s *service) {
	m.own = &backend{Backend: ejection.NewBackend(s.cfg, s.sc.Shape.Slots, epoch.Add(s.now))}
	m.subjects[ownDetector] = m.own
}

func (m *member) gap(s *service) time.Duration {
	return time.Duration(float64(time.Second) / s.sc.Rate)
}

func (m *member) nextGC(s *service) {
	m.gcStart = s.now + s.wait(gcEvery)
	length := float64(gcMedian) * logNormal(s.rng.NormFloat64(), gcSpread)
	m.gcEnd = m.gcStart + min(time.Duration(length), gcMax)
}

func (m *member) nextPause(s *service) {
	m.pauseFrom = s.now + s.wait(s.sc.PauseEvery)
	m.pauseTo = m.pauseFrom + time.Duration(s.rng.Float64()*float64(observerPauseMax))
}

func (m *member) observing(now time.Duration) bool { return now < m.pauseFrom || now >= m.pauseTo }

// run handles the arrivals and completions of one tick.
func (m *member) run(s *service, i int) {
	if s.now >= m.gcEnd+time.Second {
		m.nextGC(s)
	}
	if s.now >= m.pauseTo {
		m.nextPause(s)
	}
	for m.arrival < s.now {
		m.complete(s, i, m.arrival)
		m.arrive(s, i)
		m.arrival += s.wait(m.gap(s))
	}
	m.complete(s, i, s.now)
}

// arrive hands one request to a free slot, waits for one, or sheds the request.
func (m *member) arrive(s *service, i int) {
	at := m.arrival
	if m.busy == len(m.slots) {
		first := m.first()
		if m.slots[first].finish-at > queueWait {
			return
		}
		at = m.slots[first].finish
		m.complete(s, i, at)
		if m.busy == len(m.slots) { // its completion waits for the end of a pause of the observer
			return
		}
	}
	sample := m.serve(s, i, at)
	m.slots[m.busy] = inFlight{at + sample.ServiceTime, sample, s.rng.IntN(entries)}
	m.busy++
}

func (m *member) first() int {
	first := 0
	for j := range m.busy {
		if m.slots[j].finish < m.slots[first].finish {
			first = j
		}
	}
	return first
}

// serve draws the service time and the result of a request that starts at now.
func (m *member) serve(s *service, i int, now time.Duration) ejection.Sample {
	x := m.factor + s.load.log + s.rng.NormFloat64()*s.sc.Spread
	failed, invalid := s.errorShare(), 0.0
	if s.rng.Float64() < tailShare {
		x += logTail
	}
	if i == 0 && s.faulty(now) {
		if f := s.sc.Fault; f.Slow > 0 {
			x += math.Log(f.Slow)
		}
		failed, invalid = max(failed, s.sc.Fault.Errors), s.sc.Fault.Invalid
	}
	if age := now - m.coldFrom; age < coldTime {
		x += math.Log(coldSlow) * (1 - float64(age)/float64(coldTime))
		failed = max(failed, coldErrors*(1-3*float64(age)/float64(coldTime)))
	}
	took := time.Duration(float64(baseMedian) * math.Exp(x))
	if now < m.gcEnd && now+took > m.gcStart {
		took += m.gcEnd - max(m.gcStart, now)
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

// complete delivers what finished by until. A paused observer sees it at its next tick with the pause in the service time.
func (m *member) complete(s *service, i int, until time.Duration) {
	for m.busy > 0 {
		j := m.first()
		f := m.slots[j]
		if f.finish > until {
			return
		}
		if !m.observing(f.finish) {
			if f.sample.ServiceTime += m.pauseTo - f.finish; f.sample.ServiceTime < 0 {
				return
			}
			f.finish = m.pauseTo
			m.slots[j] = f
			continue
		}
		m.busy--
		m.slots[j] = m.slots[m.busy]
		s.entries[f.entry].histories[i].add(answer{f.finish, f.sample.ServiceTime, f.sample.Result != ejection.OK})
		if !s.watched(i) {
			continue
		}
		at := epoch.Add(f.finish)
		for _, d := range m.subjects {
			d.observe(at, f.sample)
		}
	}
}

func (m *member) tick(at time.Time) {
	for d, subj := range m.subjects {
		subj.tick(at)
		out := subj.out()
		if out && !m.wasOut[d] {
			m.ejections[d]++
			if d == ownDetector {
				m.countCause(at)
			}
		}
		m.wasOut[d] = out
	}
}

func (m *member) countCause(at time.Time) {
	if e := m.own.Explain(at).Errors; e.Value >= e.Threshold {
		m.byErrors++
	}
}
