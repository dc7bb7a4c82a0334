package operation

import "github.com/cowsliprun/cowsliprun/internal/errkind"

// Situation is a reason why an operation does not run now, found by an entry or by the owner.
type Situation uint8

// The situations.
const (
	// KeyMissing: a request on an at-most-once route has no key.
	KeyMissing Situation = iota
	// KeyMalformed: the key can not be parsed, so no owner ever accepted it.
	KeyMalformed
	// OwnerUnknown: the owner is not in the list of VMs.
	OwnerUnknown
	// OwnerUnreachable: the entry could not connect to the owner. An earlier request may have.
	OwnerUnreachable
	// OwnerLost: the connection broke after the request was sent.
	OwnerLost
	// OtherIncarnation: the owner's process is not the one that the key names.
	OtherIncarnation
	// KeyTooOld: the key life is over, or the memory has forgotten keys of that age.
	KeyTooOld
	// KeyFromFuture: the issue time is ahead of the owner's clock by more than the allowed skew.
	KeyFromFuture
	// OtherRequest: the key was used with another customer, route or body.
	OtherRequest
	// StillRunning: the deadline of a repeat passed while the first request was running.
	StillRunning
	// MemoryFull: the memory of the owner, or the customer's part of it, is full.
	MemoryFull
	// BodyTooLarge: the body is larger than MaxBodyBytes.
	BodyTooLarge
	// UploadsFull: the budget for bodies that are being read is used up.
	UploadsFull
	situationCount
)

// Rule states what the caller is told and whether the same key may be sent again.
type Rule struct {
	Kind errkind.Kind
	// RepeatKey is true when a repeat with the same key can still end in a response of the backend server.
	RepeatKey bool
	// Advice tells the caller what to do.
	Advice string
}

const adviceReconcile = "the operation may have run: look up its effect before sending it under a new key"

// rules maps every situation to its rule. Situations in which an earlier request with the key may have run have a kind with
// outcome unknown even when this request certainly did not run, because callers act on the operation, not on the request.
var rules = [situationCount]Rule{
	KeyMissing:       {errkind.KeyRequired, false, "send the request again with the key from Cowslip-Operation-Key as Idempotency-Key"},
	KeyMalformed:     {errkind.BadRequest, false, "send the key exactly as received"},
	OwnerUnknown:     {errkind.OwnerGone, false, adviceReconcile},
	OwnerUnreachable: {errkind.OwnerGone, true, "repeat with the same key until the key life ends, then " + adviceReconcile},
	OwnerLost:        {errkind.PathBroken, true, "repeat with the same key until the key life ends, then " + adviceReconcile},
	OtherIncarnation: {errkind.OwnerGone, false, adviceReconcile},
	KeyTooOld:        {errkind.KeyExpired, false, adviceReconcile},
	KeyFromFuture:    {errkind.BadRequest, false, "the clocks of entry and owner differ: get a new key"},
	OtherRequest:     {errkind.OperationConflict, false, "use one key for one request"},
	StillRunning:     {errkind.OperationInProgress, true, "repeat with the same key"},
	MemoryFull:       {errkind.OperationMemoryFull, true, "repeat with the same key, or get a new one"},
	BodyTooLarge:     {errkind.RequestTooLarge, false, "send a smaller body"},
	UploadsFull:      {errkind.OperationMemoryFull, true, "repeat with the same key, or get a new one"},
}

// Rule returns the rule of the situation.
func (s Situation) Rule() Rule {
	if s >= situationCount {
		return Rule{Kind: errkind.Internal, Advice: adviceReconcile}
	}
	return rules[s]
}

// Error returns the error for the caller. detail says what was seen.
func (s Situation) Error(detail string) *errkind.Error {
	r := s.Rule()
	return errkind.New(r.Kind, detail+"; "+r.Advice)
}

// AttemptOutcome returns what an entry may tell the caller when it forwarded one request several times. "Not run" needs all
// forwards to have ended as not run: one whose end is unknown may still reach the owner and run.
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
