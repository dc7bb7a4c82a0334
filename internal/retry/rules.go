package retry

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Limits of one request.
const (
	// MaxTries bounds the tries of a request, the first one included.
	MaxTries = 3
	// MinRemaining is the time before the deadline below which a try can't succeed: a round trip within a region and the
	// handling at the home.
	MinRemaining = 10 * time.Millisecond
)

// Request is what the rules need to know of a request.
type Request struct {
	Customer string
	Service  string
	// Repeatable tells that the route allows another try although the first may have run.
	Repeatable bool
	Deadline   time.Time
	// BudgetPercent is the customer's share of requests that may be tried again. Zero allows no retry.
	BudgetPercent int
}

// Failure describes how a try ended.
type Failure struct {
	Backend string
	Kind    errkind.Kind
	// BodyConsumed tells that part of the request body was read and can't be sent again.
	BodyConsumed bool
}

// Verdict is the decision on another try with its reason.
type Verdict uint8

// The verdicts. Only Retry allows another try.
const (
	Retry Verdict = iota
	KindFinal
	MayHaveRun
	BodyGone
	TriesUsed
	DeadlineNear
	BudgetUsed
)

// String returns the verdict as used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"retry", "kind_final", "may_have_run", "body_gone", "tries_used", "deadline_near", "budget_used"}[v]
}

// Attempt is the state of one request. It is used by one goroutine.
type Attempt struct {
	request Request
	tries   int
	tried   [MaxTries]string
}

// Tries returns the number of tries that were allowed so far, the first one included.
func (a *Attempt) Tries() int { return a.tries }

// Exclude returns the backend servers that were tried, for the next choice.
func (a *Attempt) Exclude() []string { return a.tried[:min(a.tries-1, MaxTries)] }

// repeatableKind reports the kinds with unknown outcome for which another backend server may do better. The others concern
// the caller's own connection, a key, or a deadline that has passed.
func repeatableKind(k errkind.Kind) bool {
	switch k {
	case errkind.BackendBroken, errkind.AnswerInvalid, errkind.PathBroken, errkind.Internal:
		return true
	default:
		return false
	}
}

// check applies the rules that need no budget. notRun tells which budget a retry is charged to.
func (a *Attempt) check(now time.Time, f Failure) (v Verdict, notRun bool) {
	answer := f.Kind.Answer()
	notRun = answer.Outcome == errkind.NotRun
	switch {
	case notRun && !answer.RetryElsewhere, !notRun && !repeatableKind(f.Kind):
		return KindFinal, notRun
	case !notRun && !a.request.Repeatable:
		return MayHaveRun, notRun
	case f.BodyConsumed:
		return BodyGone, notRun
	case a.tries >= MaxTries:
		return TriesUsed, notRun
	case a.request.Deadline.Sub(now) < MinRemaining:
		return DeadlineNear, notRun
	default:
		return Retry, notRun
	}
}
