package retry

import (
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Limits of one request.
const (
	// MaxTries bounds the tries of a request, the first one included.
	MaxTries = 3
	// MinRemaining is the minimum time before the deadline for another try to succeed: a round trip
	// within a region plus the processing at the home daemon.
	MinRemaining = 10 * time.Millisecond
	// maxUnpaidRefusals bounds the home daemons that are asked to pay for a retry. When most of the
	// fleet's budget is used up, asking all of them would only cost messages.
	maxUnpaidRefusals = 4
	// maxRefusals bounds the tries of one request that home daemons refuse, if refusals are free.
	maxRefusals = 24
	// maxFullRefusals bounds the home daemons that refuse one request for want of a slot, if refusals
	// are free. When those that seem least loaded are full, so are most of the others, and asking all
	// of them would only cost messages.
	maxFullRefusals = 4
)

// Request holds the properties of a request that the retry rules depend on.
type Request struct {
	Customer string
	Service  string
	// Repeatable is true if the route allows another try although an earlier one may have run.
	Repeatable bool
	Deadline   time.Time
	// BudgetPercent is the percentage of the customer's requests that may be tried again. Zero
	// allows no retry, except after free refusals (Options.FreeRefusals).
	BudgetPercent int
	// MaxBackends bounds the backend servers that the request may reach. If it is 0, MaxTries
	// applies.
	MaxBackends int
}

// Failure describes how a try failed.
type Failure struct {
	Backend string
	Kind    errkind.Kind
	// BodyConsumed is true if part of the request body was read and can't be sent again.
	BodyConsumed bool
	// Paid is true if Budgets.Reserve has taken the token for the retry.
	Paid bool
}

// Verdict is the decision on another try, with its reason.
type Verdict uint8

// The verdicts. Only Retry allows another try.
const (
	// Retry allows another try.
	Retry Verdict = iota
	// KindFinal: no retry helps against an error of this kind.
	KindFinal
	// MayHaveRun: the request may have run, and its route is not repeatable.
	MayHaveRun
	// BodyGone: part of the request body was read and can't be sent again.
	BodyGone
	// TriesUsed: the request has had all its tries.
	TriesUsed
	// DeadlineNear: less than MinRemaining is left before the deadline.
	DeadlineNear
	// BudgetUsed: the budget is used up, and no home daemon paid for the retry.
	BudgetUsed
)

// String returns the verdict as written to logs.
func (v Verdict) String() string {
	return [...]string{"retry", "kind_final", "may_have_run", "body_gone", "tries_used", "deadline_near", "budget_used"}[v]
}

// State is the retry state of one request. It is not safe for concurrent use.
type State struct {
	request Request
	tries   int
	// reachedCount counts the tries that reached a backend server, whether it ran the request or
	// not. refusals counts the other failed tries since the last ReadmitRefused.
	reachedCount, refusals int
	// fullRefusals counts the refusals for want of a slot since the last ReadmitRefused.
	fullRefusals int
	excluded     []string
	// mayHaveRun is true if one of the tries may have run.
	mayHaveRun bool
	// unpaid is true if the home daemon that gets the next try has to pay for it. unpaidRefusals
	// counts the home daemons that refused to pay.
	unpaid         bool
	unpaidRefusals int
	// reachedBackends lists the tried backend servers that received the request or may have.
	reachedBackends []string
}

// Tries returns the number of tries allowed so far, the first one included.
func (s *State) Tries() int { return s.tries }

// Unpaid reports whether the home daemon that gets the next try has to pay for it.
func (s *State) Unpaid() bool { return s.unpaid }

// MayHaveRun reports whether one of the tries so far may have run.
func (s *State) MayHaveRun() bool { return s.mayHaveRun }

// Excluded returns the ids of the backend servers that the next try must avoid.
func (s *State) Excluded() []string { return s.excluded }

// ReadmitRefused allows another try on the backend servers that did not receive the request because
// their home daemons refused it. It is for requests that have no other backend server left.
func (s *State) ReadmitRefused() {
	s.excluded = slices.Clone(s.reachedBackends)
	s.refusals, s.fullRefusals = 0, 0
}

// MayReachAnother reports whether the request may still be sent to a backend server that would run
// it.
func (s *State) MayReachAnother() bool {
	return len(s.reachedBackends) == 0 || s.request.Repeatable && (s.request.MaxBackends <= 0 || s.reachedCount < s.request.MaxBackends)
}

// afterReaching returns the state as it will be if the current try reaches a backend server and
// fails.
func (s *State) afterReaching() *State {
	next := *s
	next.reachedCount++
	return &next
}

// mayHaveRunAfter returns MayHaveRun as it will be if the current try fails.
func (s *State) mayHaveRunAfter(f Failure) bool {
	return s.mayHaveRun || f.Kind.Answer().Outcome != errkind.NotRun
}

// mayHaveReached reports whether after a failure of the kind a backend server has received the
// request, or may have.
func mayHaveReached(k errkind.Kind) bool {
	return k.Answer().Outcome != errkind.NotRun || k == errkind.BackendShed || k == errkind.BackendReplaced
}

// isRetryableUnknown reports whether another backend server may succeed after a failure of the
// kind, whose outcome is unknown. Other kinds with unknown outcome concern the caller's own
// connection, an operation key, or a deadline that has passed.
func isRetryableUnknown(k errkind.Kind) bool {
	switch k {
	case errkind.BackendBroken, errkind.AnswerInvalid, errkind.PathBroken, errkind.Internal, errkind.BackendFailed, errkind.UnconfirmedRefusal:
		return true
	default:
		return false
	}
}

// triesExhausted reports whether the request has had all its tries.
func (s *State) triesExhausted(freeRefusals bool) bool {
	if !freeRefusals {
		return s.tries >= MaxTries
	}
	limit := s.request.MaxBackends
	if limit <= 0 {
		limit = MaxTries
	}
	return s.reachedCount >= limit || s.refusals > maxRefusals || s.fullRefusals >= maxFullRefusals
}

// check applies the rules that need no budget. notRun selects the budget that pays for the retry.
func (s *State) check(now time.Time, f Failure, freeRefusals bool) (v Verdict, notRun bool) {
	answer := f.Kind.Answer()
	notRun = answer.Outcome == errkind.NotRun
	switch {
	case notRun && !answer.RetryElsewhere, !notRun && !isRetryableUnknown(f.Kind):
		return KindFinal, notRun
	case !notRun && !s.request.Repeatable:
		return MayHaveRun, notRun
	case f.BodyConsumed:
		return BodyGone, notRun
	case s.unpaidRefusals >= maxUnpaidRefusals:
		return BudgetUsed, notRun
	case s.triesExhausted(freeRefusals):
		return TriesUsed, notRun
	case s.request.Deadline.Sub(now) < MinRemaining:
		return DeadlineNear, notRun
	default:
		return Retry, notRun
	}
}
