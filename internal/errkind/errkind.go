package errkind

import (
	"errors"
	"time"
)

// Kind is an error kind. The list of kinds is closed.
type Kind uint8

// The error kinds. Their order may change, because kinds are sent by name.
const (
	// Internal: a fault of the daemon itself.
	Internal Kind = iota
	// Unauthenticated: no contract has the API key of the request.
	Unauthenticated
	// NoRoute: no contract or route matches the request.
	NoRoute
	// MethodNotAllowed: the route does not allow the method.
	MethodNotAllowed
	// BadRequest: the request is malformed or ambiguous.
	BadRequest
	// KeyRequired: the route runs at most once and needs an operation key. The response has one.
	KeyRequired
	// KeyExpired: the operation key is too old for the owner to know whether it has run.
	KeyExpired
	// OperationInProgress: an earlier request with the same operation key is still running.
	OperationInProgress
	// OperationConflict: the operation key was used for another request.
	OperationConflict
	// OperationMemoryFull: the daemon has no memory left for operations.
	OperationMemoryFull
	// AnswerNotRecorded: the operation ran, but its response was too large to be kept.
	AnswerNotRecorded
	// OwnerGone: the daemon that issued the operation key is gone or unreachable.
	OwnerGone
	// RateLimited: the customer exceeds the rate limit of its contract.
	RateLimited
	// ConcurrencyLimited: the customer exceeds the concurrency limit of its contract.
	ConcurrencyLimited
	// RequestTooLarge: the request body exceeds the limit of the contract or of operations.
	RequestTooLarge
	// Shed: a request of higher priority took the place in the home daemon's queue.
	Shed
	// NoConfiguration: the daemon has no configuration yet, or knows of a newer one that may have the
	// route of the request.
	NoConfiguration
	// NoBackend: the service has no backend server that may be tried.
	NoBackend
	// NotHome: the backend server does not belong to this home daemon.
	NotHome
	// NotPeer: the sender is not a known daemon of the fleet.
	NotPeer
	// SlotsFull: all slots of the backend server are in use.
	SlotsFull
	// Draining: the daemon is leaving and accepts no more requests.
	Draining
	// Ejected: the backend server is ejected by its home daemon.
	Ejected
	// DeadlineBeforeRun: the deadline passed before the request was handed to a backend server.
	DeadlineBeforeRun
	// HomeUnreachable: the entry could not hand the request to the home daemon.
	HomeUnreachable
	// DeadlineExceeded: the deadline passed, and the request may have run.
	DeadlineExceeded
	// BackendUnreachable: the home daemon could not connect to the backend server.
	BackendUnreachable
	// BackendBroken: the backend server broke the connection or its response.
	BackendBroken
	// AnswerInvalid: the response of the backend server is incomplete or not acceptable.
	AnswerInvalid
	// PathBroken: the connection between entry and home daemon broke.
	PathBroken
	// RequestBroken: the caller's upload broke.
	RequestBroken
	// BackendShed: the backend server states that it did not run the request.
	BackendShed
	// BackendReplaced: another backend server now has the address, and it did not run the request.
	BackendReplaced
	// BackendSuspect: the home daemon holds back requests that are not repeatable, because the
	// backend server seems to fail.
	BackendSuspect
	// RepeatsLimited: neither the entry nor the home daemon has retry budget left.
	RepeatsLimited
	// BackendFailed: the backend server ran the request and responded with a failure of its own.
	BackendFailed
	// UnconfirmedRefusal: the backend server responded with a status that callers take for a refusal,
	// but does not state that it did not run the request.
	UnconfirmedRefusal
	// KeysUnconfirmed: the configuration has not been confirmed lately, so the API key of the request
	// may have been revoked.
	KeysUnconfirmed
	// QuotaUnreachable: no daemon that holds a part of the organisation's quota can be reached.
	QuotaUnreachable
	kindCount
)

// Outcome states what the caller may conclude about its request.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run. See the package comment.
	NotRun
	// Answered means that the response is the backend server's own.
	Answered
	// Ran means that an at-most-once operation ran and ended, but its response is not available.
	Ran
)

// String returns the value of the Cowslip-Outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Answer is the response to the caller for an error kind.
type Answer struct {
	// Name is the value of the Cowslip-Error-Kind header.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is the value of the Cowslip-Outcome header.
	Outcome Outcome
	// RetryElsewhere is true if another backend server may accept the request.
	RetryElsewhere bool
	// RetryAfter is the value of the Retry-After header unless the error has one of its own. Zero
	// means that the header is not sent.
	RetryAfter time.Duration
}

var answers = [kindCount]Answer{
	Internal:            {Name: "internal", Status: 500, Outcome: Unknown},
	Unauthenticated:     {Name: "unauthenticated", Status: 401, Outcome: NotRun},
	NoRoute:             {Name: "no_route", Status: 404, Outcome: NotRun},
	MethodNotAllowed:    {Name: "method_not_allowed", Status: 405, Outcome: NotRun},
	BadRequest:          {Name: "bad_request", Status: 400, Outcome: NotRun},
	KeyRequired:         {Name: "key_required", Status: 428, Outcome: NotRun},
	KeyExpired:          {Name: "key_expired", Status: 409, Outcome: Unknown},
	OperationInProgress: {Name: "operation_in_progress", Status: 409, Outcome: Unknown, RetryAfter: time.Second},
	OperationConflict:   {Name: "operation_conflict", Status: 409, Outcome: NotRun},
	OperationMemoryFull: {Name: "operation_memory_full", Status: 503, Outcome: NotRun, RetryAfter: time.Second},
	AnswerNotRecorded:   {Name: "answer_not_recorded", Status: 409, Outcome: Ran},
	OwnerGone:           {Name: "owner_gone", Status: 502, Outcome: Unknown},
	RateLimited:         {Name: "rate_limited", Status: 429, Outcome: NotRun, RetryAfter: time.Second},
	ConcurrencyLimited:  {Name: "concurrency_limited", Status: 429, Outcome: NotRun, RetryAfter: time.Second},
	RequestTooLarge:     {Name: "request_too_large", Status: 413, Outcome: NotRun},
	Shed:                {Name: "shed", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	NoConfiguration:     {Name: "no_configuration", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	NoBackend:           {Name: "no_backend", Status: 503, Outcome: NotRun, RetryAfter: time.Second},
	NotHome:             {Name: "not_home", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	NotPeer:             {Name: "not_peer", Status: 403, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	SlotsFull:           {Name: "slots_full", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	Draining:            {Name: "draining", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	Ejected:             {Name: "ejected", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	DeadlineBeforeRun:   {Name: "deadline_before_run", Status: 504, Outcome: NotRun},
	HomeUnreachable:     {Name: "home_unreachable", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	DeadlineExceeded:    {Name: "deadline_exceeded", Status: 504, Outcome: Unknown},
	BackendUnreachable:  {Name: "backend_unreachable", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	BackendBroken:       {Name: "backend_broken", Status: 502, Outcome: Unknown},
	AnswerInvalid:       {Name: "answer_invalid", Status: 502, Outcome: Unknown},
	PathBroken:          {Name: "path_broken", Status: 502, Outcome: Unknown},
	RequestBroken:       {Name: "request_broken", Status: 400, Outcome: Unknown},
	BackendShed:         {Name: "backend_shed", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	BackendReplaced:     {Name: "backend_replaced", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	BackendSuspect:      {Name: "backend_suspect", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	RepeatsLimited:      {Name: "repeats_limited", Status: 503, Outcome: NotRun, RetryElsewhere: true, RetryAfter: time.Second},
	BackendFailed:       {Name: "backend_failed", Status: 502, Outcome: Unknown},
	UnconfirmedRefusal:  {Name: "unconfirmed_refusal", Status: 502, Outcome: Unknown},
	KeysUnconfirmed:     {Name: "keys_unconfirmed", Status: 503, Outcome: NotRun, RetryAfter: time.Second},
	QuotaUnreachable:    {Name: "quota_unreachable", Status: 503, Outcome: NotRun, RetryAfter: time.Second},
}

// Answer returns the response for the kind. An unknown kind gets the response for Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the name of the kind, the value of the Cowslip-Error-Kind header.
func (k Kind) String() string { return k.Answer().Name }

// Parse returns the kind with the given name and true. For an unknown name it returns Internal,
// whose outcome is Unknown, and false.
func Parse(name string) (Kind, bool) {
	for k := range answers {
		if answers[k].Name == name {
			return Kind(k), true
		}
	}
	return Internal, false
}

// Error is an error with a kind. Detail is sent to the caller and names the limit or part
// concerned. Cause may be nil and is for logs only.
type Error struct {
	Kind   Kind
	Detail string
	Cause  error
	// RetryAfter replaces the time of the kind's answer after which the caller may come back, unless
	// it is 0. A negative one means that the caller gets none.
	RetryAfter time.Duration
}

// New returns an Error without a cause.
func New(kind Kind, detail string) *Error { return &Error{Kind: kind, Detail: detail} }

// Wrap returns an Error that keeps its cause for the logs.
func Wrap(kind Kind, cause error, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, Cause: cause}
}

// Error returns the kind, the detail and the cause.
func (e *Error) Error() string {
	text := e.Kind.String()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the kind of the first Error in the chain of err, or Internal if there is none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
