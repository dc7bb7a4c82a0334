package operation

import "github.com/cowsliprun/cowsliprun/internal/errkind"

// Refusal is a reason why an operation does not run now, found by an entry or by the owner.
type Refusal uint8

// The refusals.
const (
	// KeyMissing: a request on an at-most-once route has no key.
	KeyMissing Refusal = iota
	// KeyMalformed: the key cannot be parsed, so no owner ever accepted it.
	KeyMalformed
	// OwnerUnknown: the owner is not in the list of VMs.
	OwnerUnknown
	// OwnerUnreachable: the entry could not connect to the owner. An earlier request with the key
	// may have reached it.
	OwnerUnreachable
	// OwnerLost: the connection to the owner broke after the request was sent.
	OwnerLost
	// OtherIncarnation: the process on the owner's VM is not the one that the key names.
	OtherIncarnation
	// KeyTooOld: the key life is over, or the memory no longer has a record of keys of that age.
	KeyTooOld
	// KeyFromFuture: the issue time is ahead of the owner's clock by more than the allowed skew.
	KeyFromFuture
	// OtherRequest: the key was used with another customer, route or body.
	OtherRequest
	// StillRunning: the deadline of a repeat passed while the first request was running.
	StillRunning
	// MemoryFull: the owner's memory, or the customer's part of it, is full.
	MemoryFull
	// BodyTooLarge: the body is larger than MaxBodyBytes.
	BodyTooLarge
	// UploadsFull: the budget for the bodies of operations is used up.
	UploadsFull
	refusalCount
)

// RefusalRule states what the caller is told, and whether the same key may be sent again.
type RefusalRule struct {
	Kind errkind.Kind
	// KeyReusable is true when a repeat with the same key can still end in a response of the
	// backend server.
	KeyReusable bool
	// Advice tells the caller what to do. It ends the error's detail.
	Advice string
}

const adviceReconcile = "the operation may have run: look up its effect before sending it under a new key"

// rules maps every refusal to its rule. If an earlier request with the key may have run, the kind
// has the outcome unknown, even when this request certainly did not run: callers care about the
// operation, not about the single request.
var rules = [refusalCount]RefusalRule{
	KeyMissing:       {errkind.KeyRequired, false, "send the request again with the key from Cowslip-Operation-Key as Idempotency-Key"},
	KeyMalformed:     {errkind.BadRequest, false, "send the key exactly as received"},
	OwnerUnknown:     {errkind.OwnerGone, false, adviceReconcile},
	OwnerUnreachable: {errkind.OwnerGone, true, "repeat with the same key until the key life ends, then " + adviceReconcile},
	OwnerLost:        {errkind.PathBroken, true, "repeat with the same key until the key life ends, then " + adviceReconcile},
	OtherIncarnation: {errkind.OwnerGone, false, adviceReconcile},
	KeyTooOld:        {errkind.KeyExpired, false, adviceReconcile},
	KeyFromFuture:    {errkind.BadRequest, false, "the clocks of entry and key owner differ: request a new key"},
	OtherRequest:     {errkind.OperationConflict, false, "use a new key for each operation"},
	StillRunning:     {errkind.OperationInProgress, true, "repeat with the same key"},
	MemoryFull:       {errkind.OperationMemoryFull, true, "repeat with the same key, or request a new one"},
	BodyTooLarge:     {errkind.RequestTooLarge, false, "send a smaller body"},
	UploadsFull:      {errkind.OperationMemoryFull, true, "repeat with the same key, or request a new one"},
}

// Rule returns the rule of the refusal. An undefined refusal has the kind internal.
func (r Refusal) Rule() RefusalRule {
	if r >= refusalCount {
		return RefusalRule{Kind: errkind.Internal, Advice: adviceReconcile}
	}
	return rules[r]
}

// Error returns the error for the caller. detail says what was found, with the values and limits
// concerned.
func (r Refusal) Error(detail string) *errkind.Error {
	rule := r.Rule()
	return errkind.New(rule.Kind, detail+"; "+rule.Advice)
}

// AttemptOutcome returns the outcome that an entry may report to the caller after it forwarded one
// request several times. NotRun requires that all forwards ended as not run: one with an unknown
// end may still reach the owner and run.
func AttemptOutcome(forwards ...errkind.Outcome) errkind.Outcome {
	out := errkind.NotRun
	for _, f := range forwards {
		switch f {
		case errkind.Answered:
			return errkind.Answered
		case errkind.NotRun:
		default:
			out = errkind.Unknown
		}
	}
	return out
}
