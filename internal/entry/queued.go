package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admission"
	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/retry"
)

// AdmissionOptions are the settings of requests that wait in the queues of homes.
type AdmissionOptions struct {
	// Inner reports whether the requests of a route are made by work that is already running.
	// Default: none are.
	Inner func(*catalog.Customer, *catalog.Route) bool
	// Waiting observes the waits of requests. Default: none.
	Waiting WaitObserver
}

// WaitObserver observes the waits of requests. Its methods are called concurrently and must not block.
type WaitObserver interface {
	// Began is called when a full home has refused a request, or all have.
	Began()
	// Ended is called when a request for which Began was called ends. served is true if it got a
	// response.
	Ended(served bool, waited time.Duration)
	// Refused is called for each request that is refused for want of room. told is true if its caller
	// got a time to come back.
	Refused(told bool)
}

// queueing holds what all requests of an entry with Options.Admission share.
type queueing struct {
	AdmissionOptions
	mu     sync.Mutex
	random *rand.Rand
}

// newQueueing returns nil without options.
func newQueueing(o *AdmissionOptions, seed uint64) *queueing {
	if o == nil {
		return nil
	}
	q := &queueing{AdmissionOptions: *o, random: rand.New(rand.NewPCG(seed, seed+1))}
	if q.Inner == nil {
		q.Inner = func(*catalog.Customer, *catalog.Route) bool { return false }
	}
	if q.Waiting == nil {
		q.Waiting = noopWaitObserver{}
	}
	return q
}

// noopWaitObserver observes nothing.
type noopWaitObserver struct{}

func (noopWaitObserver) Began()                    {}
func (noopWaitObserver) Ended(bool, time.Duration) {}
func (noopWaitObserver) Refused(bool)              {}

// queuedCall is a request on its way through the queues of homes.
type queuedCall struct {
	*call
	entry      *Entry
	plan       admission.Plan
	retryState retry.State
	failures   failureRecord
	// waitingSince is when a home first refused the request for want of a slot. It is zero before.
	waitingSince time.Time
}

// sendQueued does what sendWithRetries does, with waits in the queues of homes.
func (e *Entry) sendQueued(ctx context.Context, r *http.Request, c *call) (*try, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	q := &queuedCall{call: c, entry: e, plan: admission.NewPlan(now, c.admissionRequest(deadline), e.maxWait), retryState: e.beginRetries(now, c, deadline)}
	t, err := q.send(ctx, r)
	if !q.waitingSince.IsZero() {
		e.queueing.Waiting.Ended(err == nil, time.Since(q.waitingSince))
	}
	return t, err
}

// admissionRequest returns what the order of queues depends on.
func (c *call) admissionRequest(deadline time.Time) admission.Request {
	r := admission.Request{Priority: c.priority(), Inner: c.inner, Goal: deadline, Deadline: deadline}
	if c.route.Goal > 0 {
		r.Goal = c.received.Add(c.route.Goal)
	}
	return r
}

// send tries and waits until a backend server responds or the plan says to refuse.
func (q *queuedCall) send(ctx context.Context, r *http.Request) (*try, error) {
	e := q.entry
	for {
		if e.stopping() {
			return q.failures.result(errkind.New(errkind.Draining, "this daemon ends too soon to hand over further requests"))
		}
		if err := e.confirmKey(q.call); err != nil {
			q.failures.tries.Record(err)
			return q.failures.result(err)
		}
		choice, err := e.balancer.Pick(time.Now(), q.pick())
		if err != nil {
			q.plan.Exhausted(time.Now())
			if q.retryState.MayReachAnother() && q.follow(ctx) {
				continue
			}
			return q.refuse(err)
		}
		t, err := q.try(ctx, r, choice)
		if err == nil {
			e.logServerFailure(t)
			q.failures.release()
			return t, nil
		}
		goOn, failed := q.fail(ctx, t, err)
		switch {
		case failed != nil:
			return failed, nil
		case !goOn:
			return q.refuse(err)
		}
	}
}

// pick describes the next try to the balancer.
func (q *queuedCall) pick() balance.PickRequest {
	r := q.pickRequest(q.retryState.Excluded(), q.plan.Action() == admission.Insist)
	r.Only, r.Queue = q.plan.Backend(), true
	return r
}

// try sends one try as the plan says.
func (q *queuedCall) try(ctx context.Context, r *http.Request, choice balance.Choice) (*try, error) {
	e := q.entry
	t := e.newTry(q.call, choice, &q.retryState, &retryRounds{insist: q.plan.Action() == admission.Insist})
	t.queued = true
	t.queueTimeout, t.brief = q.plan.Patience(time.Now())
	if e.leaving() {
		// Nothing may be handed over long after Stopping is reported.
		t.queueTimeout = min(t.queueTimeout, roundQueueTimeout)
	}
	if max := q.plan.MaxGray(t.canRepeat); max > 0 {
		t.maxGray = int(100 * max)
	}
	err := e.sendTry(ctx, r, t)
	if err == nil && t.isServerFailure() && q.repeatable {
		err = errkind.New(errkind.BackendFailed, "the backend server responded with a failure")
	}
	return t, err
}

// fail records a failed try. goOn is true if another one follows. failed is the try whose response
// the caller gets, if it gets one of a backend server that failed.
func (q *queuedCall) fail(ctx context.Context, t *try, err error) (goOn bool, failed *try) {
	q.failures.tries.Record(err)
	kind, before := errkind.Of(err), q.plan.Action()
	q.note(t, kind)
	failure := retry.Failure{Backend: t.backend.ID, Kind: kind, BodyConsumed: !q.body.canResend(), Paid: t.successorPaid.Load()}
	verdict := q.entry.budgets.Next(time.Now(), &q.retryState, failure)
	q.entry.logRetryVerdict(t, kind, verdict, &retryRounds{})
	if kind == errkind.BackendFailed && !t.reportedByHome {
		q.failures.keepResponse(t)
		if verdict != retry.Retry {
			failed, _ = q.failures.result(err)
			return false, failed
		}
		return true, nil
	}
	switch {
	case verdict == retry.Retry:
		t.close()
	case verdict == retry.TriesUsed && q.retryState.MayReachAnother():
		t.close()
		if q.plan.Action() == before {
			q.plan.Exhausted(time.Now())
		}
	default:
		return false, nil
	}
	return q.plan.Action() == before && before != admission.Stay || q.follow(ctx), nil
}

// note tells the plan of a refusal.
func (q *queuedCall) note(t *try, kind errkind.Kind) {
	refusal := admission.OtherRefusal
	switch kind {
	case errkind.SlotsFull, errkind.Shed, errkind.BackendShed:
		refusal = admission.Full
		q.beginWait()
	case errkind.BackendSuspect:
		refusal = admission.Suspect
	}
	q.plan.Refused(time.Now(), t.backend.ID, refusal, t.namedWait)
}

func (q *queuedCall) beginWait() {
	if q.waitingSince.IsZero() {
		q.waitingSince = time.Now()
		q.entry.queueing.Waiting.Began()
	}
}

// follow does what the plan says, and reports whether another try follows.
func (q *queuedCall) follow(ctx context.Context) bool {
	switch q.plan.Action() {
	case admission.Refuse:
		return false
	case admission.Pause:
		q.beginWait()
		if !pause.For(ctx, q.plan.Again(time.Now())) {
			return false
		}
		q.retryState.ReadmitRefused()
		q.service = q.entry.currentService(q.service)
	case admission.Insist, admission.Stay:
		q.retryState.ReadmitRefused()
	}
	return true
}

// refuse returns the error for the caller, with the time to come back.
func (q *queuedCall) refuse(err error) (*try, error) {
	t, err := q.failures.result(err)
	if err == nil {
		return t, nil
	}
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind.Answer().Outcome != errkind.NotRun || e.Kind.Answer().RetryAfter == 0 {
		return nil, err
	}
	queueing := q.entry.queueing
	queueing.mu.Lock()
	after := q.plan.ComeBack(time.Now(), queueing.random)
	queueing.mu.Unlock()
	queueing.Waiting.Refused(after > 0)
	told := *e
	if told.RetryAfter = after; after == 0 {
		told.RetryAfter = -1 // none
	}
	return nil, &told
}

// isCanary reports whether the request may show that a suspect backend server has recovered, even if
// its failure would not be repeated. Without such requests, servers that have recovered stay unused
// while the others are full.
func (t *try) isCanary() bool { return t.queued && t.call.repeatable && !t.call.inner }

// addQueueHeaders tells the home daemon what the order of its queue depends on.
func (t *try) addQueueHeaders(h http.Header) {
	if !t.queued {
		return
	}
	if goal := t.call.route.Goal; goal > 0 {
		h.Set(forward.HeaderGoal, strconv.FormatInt(time.Until(t.call.received.Add(goal)).Milliseconds(), 10))
	}
	if t.call.inner {
		h.Set(forward.HeaderInner, "1")
	}
	if t.brief {
		h.Set(forward.HeaderBrief, "1")
	}
	if t.number == 1 {
		h.Set(forward.HeaderFirst, "1")
	}
	if t.maxGray > 0 {
		h.Set(forward.HeaderMaxGray, strconv.Itoa(t.maxGray))
	}
}

// queueGrace is the time after the longest wait at a home within which the entry must hear of its
// end. A home daemon that says nothing is paused or cut off, and the request goes elsewhere.
const queueGrace = 200 * time.Millisecond

// startQueueTimer withdraws a try whose home daemon neither refuses it nor asks for it in time.
func (t *try) startQueueTimer(cancel context.CancelCauseFunc) (stop func()) {
	if !t.queued || !t.entry.confirm {
		return func() {}
	}
	timer := time.AfterFunc(t.queueTimeout+queueGrace, func() {
		if t.withheld != nil && t.withheld.withdrawUnread() {
			cancel(errUnconfirmed)
		}
	})
	return func() { timer.Stop() }
}
