package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/retry"
	"github.com/cowsliprun/cowsliprun/internal/runstate"
)

// forward gets a response from a backend server and sends it to the caller.
func (e *Entry) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) error {
	start := time.Now()
	send := e.sendWithRetries
	if e.queueing != nil {
		send = e.sendQueued
	}
	t, err := send(ctx, r, c)
	if err != nil {
		return err
	}
	defer t.close()
	e.observer.Answered(c.service.Name, time.Since(start), t.number)
	t.writeResponse(w)
	return nil
}

// sendWithRetries tries backend servers until one responds or no further try is allowed. The caller
// must close the returned try.
func (e *Entry) sendWithRetries(ctx context.Context, r *http.Request, c *call) (*try, error) {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	retryState := e.beginRetries(now, c, deadline)
	rounds := newRetryRounds(now, deadline, c.route.Goal, e.maxWait)
	var failures failureRecord
	for {
		if e.stopping() {
			return failures.result(errkind.New(errkind.Draining, "this daemon ends too soon to hand over further requests"))
		}
		if err := e.confirmKey(c); err != nil {
			failures.tries.Record(err)
			return failures.result(err)
		}
		choice, err := e.balancer.Pick(time.Now(), c.pickRequest(retryState.Excluded(), rounds.insist))
		if err != nil {
			rounds.noteRefusal(errkind.Of(err))
			if retryState.MayReachAnother() && rounds.next(ctx) {
				retryState.ReadmitRefused()
				c.service = e.currentService(c.service)
				continue
			}
			return failures.result(err)
		}
		t := e.newTry(c, choice, &retryState, rounds)
		err = e.sendTry(ctx, r, t)
		if err == nil && t.isServerFailure() && c.repeatable {
			err = errkind.New(errkind.BackendFailed, "the backend server responded with a failure")
		}
		if err == nil {
			e.logServerFailure(t)
			failures.release()
			return t, nil
		}
		failures.tries.Record(err)
		rounds.noteRefusal(errkind.Of(err))
		failure := retry.Failure{Backend: choice.Backend.ID, Kind: errkind.Of(err), BodyConsumed: !c.body.canResend(), Paid: t.successorPaid.Load()}
		verdict := e.budgets.Next(time.Now(), &retryState, failure)
		e.logRetryVerdict(t, failure.Kind, verdict, rounds)
		switch {
		case failure.Kind == errkind.BackendFailed && !t.reportedByHome:
			failures.keepResponse(t)
			if verdict != retry.Retry {
				return failures.result(err)
			}
		case verdict == retry.Retry:
			t.close()
		case verdict == retry.TriesUsed && retryState.MayReachAnother() && rounds.next(ctx):
			t.close()
			retryState.ReadmitRefused()
			c.service = e.currentService(c.service)
		default:
			return failures.result(err)
		}
	}
}

// beginRetries returns the retry state of a new request.
func (e *Entry) beginRetries(now time.Time, c *call, deadline time.Time) retry.State {
	return e.budgets.Begin(now, retry.Request{
		Customer: c.base.Name, Service: c.service.Name, Repeatable: c.repeatable, Deadline: deadline,
		BudgetPercent: c.customer.RetryBudgetPercent, MaxBackends: c.route.MaxBackends,
	})
}

// pickRequest describes the call to the balancer, without the excluded backend servers.
func (c *call) pickRequest(exclude []string, insist bool) balance.PickRequest {
	return balance.PickRequest{Service: c.service, Spill: c.customer.SpillToOtherRegion, Exclude: exclude, Insist: insist, Large: c.body.isLarge() || c.route.LargeResponses}
}

// newTry prepares a try on the chosen backend server.
func (e *Entry) newTry(c *call, choice balance.Choice, retryState *retry.State, r *retryRounds) *try {
	vm := choice.Backend.VM
	return &try{
		call: c, backend: choice.Backend, vm: vm.ID, address: vm.PeerAddress, entry: e, choice: choice, number: retryState.Tries(), retryState: *retryState,
		canRepeat: e.budgets.CanRepeat(time.Now(), retryState), unpaid: retryState.Unpaid(), insist: r.insist, queueTimeout: r.queueTimeout(), countCrossRegion: e.crossRegionCounter(c.service.Name, vm),
	}
}

// currentService returns the service from the configuration in force, which may have changed since
// the request began.
func (e *Entry) currentService(service *catalog.Service) *catalog.Service {
	if snapshot := e.snapshot(); snapshot != nil {
		if current := snapshot.Service(service.Name); current != nil {
			return current
		}
	}
	return service
}

// isServerFailure reports whether the backend server responded with a failure, in the terms of the
// detector of its home.
func (t *try) isServerFailure() bool {
	return ejection.ResultOf(t.response.StatusCode, t.response.Header) == ejection.Failed
}

// failureRecord holds how the failed tries of one request ended.
type failureRecord struct {
	tries runstate.Tries
	// response is the last try to which the backend server responded with a failure of its own.
	response *try
}

// keepResponse keeps the response of a failed try. If no further try succeeds, it tells the caller
// more than an error of the system.
func (f *failureRecord) keepResponse(t *try) {
	f.release()
	f.response = t
}

// release closes the kept response, if there is one.
func (f *failureRecord) release() {
	if f.response != nil {
		f.response.close()
		f.response = nil
	}
}

// result returns the kept response, or else the error for the caller, after the last try.
func (f *failureRecord) result(err error) (*try, error) {
	if f.response != nil {
		return f.response, nil
	}
	return nil, f.tries.Error(err)
}

// sendTry sends one try and reports how it ended to the balancer.
func (e *Entry) sendTry(ctx context.Context, r *http.Request, t *try) error {
	tryCtx, cancel := context.WithCancelCause(ctx)
	t.cancel = func() { cancel(nil) }
	if limit, ok := e.tryTimeout(ctx, t); ok {
		timer := e.startTryTimer(t, limit, func() { cancel(errTryTimeout) })
		defer timer.stop()
	}
	err := t.send(tryCtx, e.transport, r)
	// The report comes before the cancellation. Otherwise a broken path would look like a caller
	// that disconnected.
	e.reportToBalancer(tryCtx, time.Now(), t, err)
	if err != nil {
		e.logBrokenTry(tryCtx, t, err)
		t.cancel()
	}
	return err
}

// reportToBalancer tells the balancer how a try ended: whether the backend server failed, the path,
// or neither.
func (e *Entry) reportToBalancer(ctx context.Context, now time.Time, t *try, err error) {
	if t.response != nil {
		e.updateBackendState(now, t)
	}
	if err == nil {
		e.balancer.Finished(now, t.choice, balance.Response{
			Latency: t.latency, ServiceTime: serviceTime(t.response), Error: t.isServerFailure(),
		})
		return
	}
	kind := errkind.Of(err)
	switch {
	case t.reportedByHome && kind.Answer().Outcome == errkind.NotRun:
		e.balancer.Refused(now, t.choice, kind)
	case t.reportedByHome:
		e.balancer.Failed(now, t.choice, true)
	case t.unconfirmed:
		e.balancer.Unconfirmed(now, t.choice)
	case kind == errkind.HomeUnreachable || kind == errkind.PathBroken && ctx.Err() == nil:
		e.balancer.Failed(now, t.choice, false)
	default:
		// The deadline passed, the caller disconnected or its upload broke. Neither the path nor
		// the backend server is known to be at fault, but the time waited still counts.
		e.balancer.Abandoned(now, t.choice)
	}
}

// updateBackendState gives the balancer the state of the backend server that the home daemon
// reported. Some refusals report none.
func (e *Entry) updateBackendState(now time.Time, t *try) {
	text := t.response.Header.Get(forward.HeaderState)
	if text == "" {
		return
	}
	if state, err := balance.ParseState(text); err == nil {
		t.namedWait = state.Wait
		e.balancer.Update(now, t.call.service.Name, t.backend.ID, state)
	}
}

// serviceTime returns the time that the backend server took, as measured by the home daemon. It is
// 0 if the header is missing or malformed.
func serviceTime(resp *http.Response) time.Duration {
	us, err := strconv.ParseInt(resp.Header.Get(forward.HeaderServiceTime), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}
