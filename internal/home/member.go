package home

import (
	"fmt"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/reservation"
	"github.com/cowsliprun/cowsliprun/internal/suspicion"
)

// overdueFactor is how many times the baseline a running request must have taken before it counts
// as evidence for ejection. Without this, a backend server that hangs shows no failures until the
// deadlines of the callers pass.
const overdueFactor = 8

// member is a backend server of this VM with its slots and its life cycle.
//
// The modes and their transitions are those of ejection.Backend. Beside them, replaced is set for
// good once another backend server responded at the address. refusedConnection is set by a refused
// connection and cleared by the next complete response, which begins a cold start.
type member struct {
	id      string
	service string
	address string
	// started tells restarts of the backend server apart.
	started int64
	slots   *slots

	mu         sync.Mutex
	healthPath string
	slotCount  int
	config     ejection.Config
	lifecycle  *ejection.Backend
	// mode is the last mode that was reported to the observer.
	mode ejection.Mode
	// probing is true while a probe is running.
	probing bool
	// running holds the exchanges in flight.
	running map[*exchange]*overdueTracker
	recent  recentRequests
	// suspicionFilter estimates whether the backend server is gray. It is nil if ejection alone
	// decides.
	suspicionFilter *suspicion.Filter
	// sheddingFilter estimates whether the backend server sheds nearly all requests. It is nil if
	// suspicionFilter is.
	sheddingFilter *suspicion.Filter
	// meanServiceTime is the moving average of the service time of successes in seconds, 0 before
	// the first.
	meanServiceTime float64
	// onSuspicionChange is called when the backend server becomes suspect or is trusted again, with
	// the probability that it is gray. The member is locked during the call.
	onSuspicionChange func(suspect bool, gray float64)
	// replaced is true once another backend server responded at the address. It is never cleared.
	replaced bool
	// refusedConnection is true after a refused connection, until the backend server responds
	// again.
	refusedConnection bool
}

// overdueTracker records the running time at which a request next counts as evidence. It is 0 until
// that time is first set.
type overdueTracker struct {
	nextThreshold time.Duration
	// survived is true if the request counted as a success before it ended.
	survived bool
}

func newMember(b *catalog.BackendServer, svc *catalog.Service, cfg ejection.Config, now time.Time) *member {
	return &member{
		id: b.ID, service: b.Service, address: b.Address, started: b.Started, healthPath: svc.HealthPath, slotCount: b.Slots, config: cfg,
		slots: newSlots(b.Slots), lifecycle: ejection.NewBackend(cfg, b.Slots, now), running: map[*exchange]*overdueTracker{},
	}
}

// reconfigure applies changed detector settings and slots. It keeps the mode, so that a change of
// the service neither ends an ejection nor starts all its backend servers cold at once.
func (m *member) reconfigure(now time.Time, b *catalog.BackendServer, svc *catalog.Service, cfg ejection.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.healthPath = svc.HealthPath
	if m.slotCount == b.Slots && m.config == cfg {
		return
	}
	m.slotCount, m.config = b.Slots, cfg
	m.slots.setQueueCapacity(b.Slots)
	m.lifecycle.Reconfigure(now, cfg, b.Slots)
}

// state returns the life cycle's state and applies its limit to the slots.
func (m *member) state(now time.Time) ejection.State {
	m.mu.Lock()
	st := m.lifecycle.State(now)
	m.mu.Unlock()
	m.slots.setLimit(st.Allowed)
	return st
}

// reportedState returns the state for entries. Its time to live is that of the permit in a mode that
// needs one, and replacementDelay while the VM is leaving.
func (m *member) reportedState(now time.Time, leaving bool, replacementDelay time.Duration) balance.State {
	st := m.state(now)
	inFlight, waiting, _ := m.slots.load()
	m.mu.Lock()
	slots := m.slotCount
	m.mu.Unlock()
	mode, ttl := st.Mode.String(), st.Remaining
	if st.Mode.IsOut() {
		ttl = st.Permit
	}
	if leaving {
		mode, ttl = ejection.Draining.String(), replacementDelay
	}
	return balance.State{
		InFlight: inFlight + waiting, Slots: slots, Allowed: st.Allowed, Mode: balance.ParseMode(mode), Remaining: ttl, Gray: m.gray(now),
	}
}

// gray returns the probability in per cent that the backend server is gray, or 0 if ejection alone
// decides.
func (m *member) gray(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.suspicionFilter == nil {
		return 0
	}
	return int(100 * m.suspicionFilter.Gray(now))
}

// refusal returns an error if the backend server takes no new requests because it was replaced, is
// draining or is ejected.
func (m *member) refusal(now time.Time) error {
	m.mu.Lock()
	replaced := m.replaced
	m.mu.Unlock()
	switch st := m.state(now); {
	case replaced:
		return errkind.New(errkind.NotHome, "another backend server responds at the address of "+m.id)
	case st.Mode == ejection.Draining:
		return errkind.New(errkind.Draining, "backend server "+m.id+" is draining")
	case st.Mode.IsOut():
		return errkind.New(errkind.Ejected, "backend server "+m.id+" is ejected")
	}
	return nil
}

// passesSuspicion reports whether the suspicion filter admits the request. If not, its entry should
// try another backend server.
func (m *member) passesSuspicion(now time.Time, r suspicion.Request) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspicionFilter == nil || m.passesShedding(now, r) && m.suspicionFilter.Admit(now, r)
}

// passesShedding reports whether a backend server that sheds may get the request. A shed request has
// not run, so one that insists always may. The member is locked.
func (m *member) passesShedding(now time.Time, r suspicion.Request) bool {
	return r.Insists || m.sheddingFilter.Admit(now, r)
}

// begin registers a running exchange.
func (m *member) begin(x *exchange) {
	m.mu.Lock()
	tracker := &overdueTracker{}
	m.running[x] = tracker
	if m.slots.ordered != nil && m.suspicionFilter != nil && m.suspicionFilter.Suspect(time.Now()) {
		time.AfterFunc(m.earlyFailureTime(), func() { m.noteSurvival(x, tracker) })
	}
	m.mu.Unlock()
}

// observe ends an exchange and records its evidence. Outcomes caused by the caller's side are not
// evidence.
func (m *member) observe(now time.Time, x *exchange, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	survived := m.running[x] != nil && m.running[x].survived
	delete(m.running, x)
	m.replaced = m.replaced || errkind.Of(err) == errkind.BackendReplaced
	result, ok := x.result(err)
	if !ok {
		return
	}
	m.detectRestart(now, err)
	if m.suspicionFilter != nil {
		m.observeFilters(now, x, result, survived)
		return
	}
	m.lifecycle.Observe(now, ejection.Sample{ServiceTime: x.serviceTime, Result: result})
	if result != ejection.Shed && result != ejection.Abandoned {
		m.recent.add(now, x.serviceTime, result != ejection.OK)
	}
}

// observeFilters adds the result of an exchange to the filters. The member is locked.
//
// survived is true if noteSurvival has counted the request.
func (m *member) observeFilters(now time.Time, x *exchange, result ejection.Result, survived bool) {
	switch result {
	case ejection.Abandoned:
	case ejection.Shed:
		m.sheddingFilter.Observe(now, suspicion.Failure)
	default:
		m.sheddingFilter.Observe(now, suspicion.Success)
		if evidence := m.suspicionResult(x, result); !survived || evidence != suspicion.Success {
			m.observeSuspicion(now, evidence)
		}
	}
}

const (
	// A running request counts as one failure when it has taken minHangTime plus hangFactor times
	// the mean service time. Without this, a backend server that hangs shows no failures until the
	// deadlines pass.
	hangFactor  = 4
	minHangTime = 300 * time.Millisecond
)

// reportHangingRequests records requests that hang as failures, each once. The member is locked.
func (m *member) reportHangingRequests(now time.Time) {
	if m.meanServiceTime == 0 {
		return
	}
	limit := minHangTime + time.Duration(hangFactor*m.meanServiceTime*float64(time.Second))
	for x, o := range m.running {
		if start, ok := x.uploadEnd(); ok && o.nextThreshold == 0 && now.Sub(start) >= limit {
			o.nextThreshold = limit
			m.observeSuspicion(now, suspicion.Failure)
		}
	}
}

// lateFailureShare is the share of the mean service time from which a failure counts as late.
const lateFailureShare = 0.25

// newestServiceTimeWeight is the weight of the newest success in the mean service time.
const newestServiceTimeWeight = 0.1

// minEarlyFailureTime is the least time after which a running request counts as a success. Gray backend
// servers fail requests within 10 ms.
const minEarlyFailureTime = 50 * time.Millisecond

// earlyFailureTime returns the time after which the failure of a request would be a late one. The
// member is locked.
func (m *member) earlyFailureTime() time.Duration {
	return max(minEarlyFailureTime, time.Duration(lateFailureShare*m.meanServiceTime*float64(time.Second)))
}

// noteSurvival counts a request of a suspect backend server as a success while it still runs, because
// a gray one would have failed it. Otherwise servers with long requests stay suspect long after they
// have recovered.
func (m *member) noteSurvival(x *exchange, tracker *overdueTracker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[x] != tracker || tracker.nextThreshold != 0 {
		return // it has ended, or hangs
	}
	tracker.survived = true
	m.observeSuspicion(time.Now(), suspicion.Success)
}

// observeSuspicion adds evidence to the suspicion filter and reports a change of suspicion. The
// member is locked.
func (m *member) observeSuspicion(now time.Time, r suspicion.Result) {
	before := m.suspicionFilter.Suspect(now)
	m.suspicionFilter.Observe(now, r)
	if after := m.suspicionFilter.Suspect(now); after != before && m.onSuspicionChange != nil {
		m.onSuspicionChange(after, m.suspicionFilter.Gray(now))
	}
}

// suspicionResult maps the result of an exchange to evidence for the suspicion filter, and updates
// the mean service time. The member is locked.
func (m *member) suspicionResult(x *exchange, result ejection.Result) suspicion.Result {
	took := x.serviceTime.Seconds()
	switch {
	case result == ejection.OK:
		if m.meanServiceTime == 0 {
			m.meanServiceTime = took
		}
		m.meanServiceTime += newestServiceTimeWeight * (took - m.meanServiceTime)
		return suspicion.Success
	case result == ejection.Failed && x.response != nil && m.meanServiceTime > 0 && took >= lateFailureShare*m.meanServiceTime:
		return suspicion.LateFailure
	default:
		return suspicion.Failure
	}
}

// detectRestart takes a backend server that responds after it refused connections for a restarted
// one, which starts cold. The member is locked.
func (m *member) detectRestart(now time.Time, err error) {
	if errkind.Of(err) == errkind.BackendUnreachable {
		m.refusedConnection = true
	} else if m.refusedConnection && err == nil {
		m.refusedConnection = false
		m.lifecycle.Restarted(now)
	}
}

// result maps the end of an exchange to evidence for ejection, and returns false if it says nothing
// about the backend server.
func (x *exchange) result(err error) (ejection.Result, bool) {
	if err == nil {
		return ejection.ResultOf(x.response.StatusCode, x.response.Header), true
	}
	switch errkind.Of(err) {
	case errkind.BackendUnreachable, errkind.BackendBroken:
		if x.abandoned {
			return ejection.Abandoned, x.gotConnection.Load()
		}
		return ejection.Failed, true
	case errkind.AnswerInvalid:
		return ejection.Invalid, true
	case errkind.UnconfirmedRefusal:
		return ejection.Failed, true
	case errkind.BackendShed:
		return ejection.Shed, true
	case errkind.DeadlineExceeded:
		return ejection.Abandoned, true
	case errkind.PathBroken:
		return ejection.ResultOf(x.response.StatusCode, x.response.Header), true
	default:
		return ejection.OK, false
	}
}

// tick records overdue requests as evidence and makes the transitions of the life cycle that are
// due.
func (m *member) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lifecycle.Tick(now)
	if m.suspicionFilter != nil {
		m.reportHangingRequests(now)
		return
	}
	baseline := m.lifecycle.BaselineMedian()
	if baseline <= 0 {
		return
	}
	for x, o := range m.running {
		start, ok := x.uploadEnd()
		if !ok {
			continue
		}
		if o.nextThreshold == 0 {
			o.nextThreshold = overdueFactor * baseline
		}
		if elapsed := now.Sub(start); elapsed >= o.nextThreshold {
			o.nextThreshold *= 2
			m.lifecycle.Observe(now, ejection.Sample{ServiceTime: elapsed, Result: ejection.Abandoned})
		}
	}
}

// reservationCondition returns the state of the backend server in the terms of the reservation
// manager.
func (m *member) reservationCondition(now time.Time, leaving bool) reservation.Condition {
	if leaving {
		return reservation.Leaving
	}
	switch mode := m.state(now).Mode; mode {
	case ejection.Active:
		return reservation.Active
	case ejection.Suspect:
		return reservation.Suspect
	case ejection.Ejected, ejection.Probing:
		return reservation.Out
	case ejection.Ramping:
		return reservation.Ramping
	case ejection.Draining:
		return reservation.Leaving
	default:
		return reservation.Warming
	}
}

// Explanation describes one backend server for operators.
type Explanation struct {
	BackendServer string
	Service       string
	Address       string
	InFlight      int
	Waiting       int
	Slots         int
	Ejection      ejection.Explanation
	// HeldInServiceUntil is the end of the reservations granted on the backend server. It cannot be
	// ejected before.
	HeldInServiceUntil time.Time
}

func (m *member) explain(now time.Time) Explanation {
	m.mu.Lock()
	e, slots := m.lifecycle.Explain(now), m.slotCount
	m.mu.Unlock()
	inFlight, waiting, _ := m.slots.load()
	return Explanation{BackendServer: m.id, Service: m.service, Address: m.address, InFlight: inFlight, Waiting: waiting, Slots: slots, Ejection: e}
}

// String returns the backend server and its service, for logs.
func (m *member) String() string { return fmt.Sprintf("%s of %s", m.id, m.service) }
