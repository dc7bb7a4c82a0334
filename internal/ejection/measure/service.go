package measure

import (
	"math/rand/v2"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var entryNames = [entryCount]string{"entry-0", "entry-1", "entry-2"}

// service is one simulated service in virtual time. Times are durations since epoch.
type service struct {
	sc       Scenario
	cfg      ejection.Config
	rng      *rand.Rand
	now      time.Duration
	onset    time.Duration // start of the fault; never if there is none
	backends []*backendServer
	entries  [entryCount]*entry
	load     swing
	// watchFirstOnly runs detectors for the first backend server only. The others provide its
	// baselines.
	watchFirstOnly bool
	burstStart     time.Duration // start of the current or next error burst of the whole service
}

// swing is a factor on the service times of all backend servers that ramps from one level to the
// next. Levels are natural logs, times are seconds since epoch.
type swing struct{ from, to, start, next, logFactor float64 }

func (s *swing) advance(now float64, rng *rand.Rand) {
	if now >= s.next {
		s.from, s.start = s.logFactor, now
		s.to = (2*rng.Float64() - 1) * maxLogSwing
		s.next = now + max(rng.ExpFloat64()*swingInterval.Seconds(), swingRampTime.Seconds())
	}
	fraction := min((now-s.start)/swingRampTime.Seconds(), 1)
	s.logFactor = s.from + (s.to-s.from)*fraction
}

// never lies beyond the end of every run.
const never = time.Duration(1) << 62

func newService(sc Scenario, cfg ejection.Config, seed uint64) *service {
	s := &service{sc: sc, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x6a09e667)), onset: never}
	s.burstStart = s.drawInterval(burstInterval)
	for e := range s.entries {
		s.entries[e] = newEntry(sc.Service.BackendServers)
	}
	for range sc.Service.BackendServers {
		s.backends = append(s.backends, newBackendServer(s))
	}
	return s
}

// drawInterval draws an exponentially distributed time.
func (s *service) drawInterval(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// step advances the service by one tick.
func (s *service) step() {
	s.now += tickInterval
	s.advanceLoad()
	for i, backend := range s.backends {
		backend.run(s, i)
	}
	for e, en := range s.entries { // entries report at different phases of the interval
		if phase := time.Duration(e) * 300 * time.Millisecond; (s.now-phase)%baselineInterval == 0 {
			s.reportBaselines(e, en)
		}
	}
	at := epoch.Add(s.now)
	for i, backend := range s.backends {
		if s.isWatched(i) && backend.observerRunning(s.now) {
			backend.tick(at)
		}
	}
}

// advanceLoad updates the load swing and error burst of the whole service.
func (s *service) advanceLoad() {
	if s.sc.Steady {
		return
	}
	s.load.advance(s.now.Seconds(), s.rng)
	if s.now > s.burstStart+burstDuration {
		s.burstStart = s.now + s.drawInterval(burstInterval)
	}
}

// isWatched reports whether detectors run for backend server i.
func (s *service) isWatched(i int) bool { return i == 0 || !s.watchFirstOnly }

// errorShare returns the current share of failed responses of a healthy backend server.
func (s *service) errorShare() float64 {
	if !s.sc.Steady && s.now >= s.burstStart {
		return burstErrorShare
	}
	return backgroundErrorShare
}

// reportBaselines delivers the baselines of entry e to detectorUnderTest of each backend server.
func (s *service) reportBaselines(e int, en *entry) {
	if e == 0 && s.sc.BaselineFault == BaselinesMissing || s.sc.BaselineFault == AllBaselinesMissing {
		return
	}
	en.updateStats(s.now)
	at := epoch.Add(s.now)
	for i, backend := range s.backends {
		if !s.isWatched(i) || !backend.observerRunning(s.now) {
			continue
		}
		b := en.baseline(i)
		if e == 0 {
			b = en.applyFault(s.sc.BaselineFault, b)
		}
		backend.underTest.Baseline(at, entryNames[e], b)
	}
}

// isFaulty reports whether the fault is present at now.
func (s *service) isFaulty(now time.Duration) bool {
	if now < s.onset {
		return false
	}
	p := s.sc.Fault.FlapPeriod
	return p == 0 || (now-s.onset)%p < p/2
}
