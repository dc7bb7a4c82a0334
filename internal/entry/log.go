package entry

import (
	"context"
	"errors"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/retry"
)

// logBrokenTry logs why a try got no complete response. Failures that a home daemon reports are in
// that daemon's log, and a caller that disconnects is not a failure.
func (e *Entry) logBrokenTry(ctx context.Context, t *try, err error) {
	kind := errkind.Of(err)
	if t.reportedByHome || errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	switch kind {
	case errkind.PathBroken, errkind.HomeUnreachable, errkind.BackendBroken:
		e.warnBrokenTry(t, kind, err)
	}
}

// logServerFailure logs that a failure of a backend server is sent to the caller, because the
// request cannot be retried.
func (e *Entry) logServerFailure(t *try) {
	if t.isServerFailure() {
		e.log.Request(t.call.id, "Sending a failure of a backend server to the caller.", "backend", t.backend.ID, "vm", t.vm,
			"service", t.call.service.Name, "status", t.response.StatusCode, "try", t.number, "took", t.latency)
	}
}

// logRetryVerdict logs the verdict on a failed try. Refusals by home daemons cost little and are
// frequent under load, so they are logged only if the request is not tried again.
func (e *Entry) logRetryVerdict(t *try, kind errkind.Kind, verdict retry.Verdict, r *retryRounds) {
	if verdict == retry.Retry && kind.Answer().Outcome == errkind.NotRun {
		return
	}
	e.log.Request(t.call.id, "A try failed.", "backend", t.backend.ID, "vm", t.vm, "service", t.call.service.Name, "kind", kind,
		"verdict", verdict, "try", t.number, "round", r.number, "insist", t.insist, "took", t.latency)
}

// logCutResponse counts a response that broke off, and logs why it did after its header was sent to the caller.
func (e *Entry) logCutResponse(t *try, err error) {
	e.observer.BrokenOff(t.call.service.Name)
	if !errors.Is(err, forward.ErrWrite) && !errors.Is(err, context.Canceled) {
		e.warnBrokenTry(t, errkind.PathBroken, err)
	}
}

// warnBrokenTry names the VM first, because the logger limits repeated lines by the first key-value
// pair.
func (e *Entry) warnBrokenTry(t *try, kind errkind.Kind, err error) {
	receiver := "owner"
	if t.backend != nil {
		receiver = t.backend.ID
	}
	e.log.Warn("A try got no complete response.", "vm", t.vm, "backend", receiver, "service", t.call.service.Name,
		"request", t.call.id, "try", t.number, "kind", kind, "cause", forward.Cause(err))
}
