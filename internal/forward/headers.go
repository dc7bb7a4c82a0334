package forward

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/runstate"
)

// Headers and trailers between entry and home daemons, and between callers and entry daemons.
const (
	// HeaderBackend names the backend server that is to run the request.
	HeaderBackend = "Cowslip-Backend"
	// HeaderService names its service.
	HeaderService = "Cowslip-Service"
	// HeaderCustomer names the customer whose contract the request falls under.
	HeaderCustomer = "Cowslip-Customer"
	// HeaderOrganisation names the organisation that the request belongs to. It is missing if there is
	// none.
	HeaderOrganisation = "Cowslip-Organisation"
	// HeaderRequestID identifies the request in logs and responses.
	HeaderRequestID = "Cowslip-Request-Id"
	// HeaderDeadline is the time that remains for the request, in milliseconds.
	HeaderDeadline = "Cowslip-Deadline-Ms"
	// HeaderPriority is the priority of the request in the queue of the home. A larger number goes
	// first.
	HeaderPriority = "Cowslip-Priority"
	// HeaderBaseline is the entry's view of the service's normal latency and error share, see
	// balance.Baseline.
	HeaderBaseline = "Cowslip-Baseline"
	// HeaderState is the state of the backend server at its home, see balance.State.
	HeaderState = "Cowslip-State"
	// HeaderServiceTime is the backend server's own time for the request, in microseconds.
	HeaderServiceTime = "Cowslip-Service-Time-Us"
	// HeaderOutcome says whether the request ran, see errkind.Outcome.
	HeaderOutcome = "Cowslip-Outcome"
	// HeaderErrorKind is the kind of an error of the system, see errkind.Kind.
	HeaderErrorKind = "Cowslip-Error-Kind"
	// HeaderOperation carries the key of an at-most-once operation to the daemon that owns it.
	HeaderOperation = "Cowslip-Operation"
	// HeaderEntry names the VM of the entry daemon that sent the request.
	HeaderEntry = "Cowslip-Entry"
	// HeaderOrigin names the service that runs on the VM where the request entered the fleet.
	HeaderOrigin = "Cowslip-Origin-Service"
	// HeaderRepeatable tells the home that the entry may retry the request on another backend
	// server.
	HeaderRepeatable = "Cowslip-Repeatable"
	// HeaderConfirm asks the home to confirm receipt with an interim response (102) before anything
	// else.
	HeaderConfirm = "Cowslip-Confirm"
	// HeaderQueue limits how long the request may wait for a slot at the home, in milliseconds.
	HeaderQueue = "Cowslip-Queue-Ms"
	// HeaderGoal is the time in milliseconds until which a response is in time. It may be negative.
	HeaderGoal = "Cowslip-Goal-Ms"
	// HeaderInner marks a request that a running request waits for.
	HeaderInner = "Cowslip-Inner"
	// HeaderBrief tells the home to refuse the request at once if it expects a longer wait for a slot
	// than HeaderQueue allows.
	HeaderBrief = "Cowslip-Brief"
	// HeaderFirst marks the first try of a request.
	HeaderFirst = "Cowslip-First"
	// HeaderMaxGray is the probability in per cent of being gray up to which a suspect backend server
	// may get a request that insists.
	HeaderMaxGray = "Cowslip-Max-Gray"
	// HeaderInsist tells the home that no other backend server can take the request. Its value is
	// RouteRepeatable or RouteOther. The home then refuses the request because of suspicion only if
	// its route is not repeatable and the backend server is almost certainly gray.
	HeaderInsist = "Cowslip-Insist"
	// HeaderUnpaid asks the home to charge a retry to the retry budget of its own daemon, because
	// that of the entry is used up. Its value is UnpaidRerun or UnpaidFirstRun.
	HeaderUnpaid = "Cowslip-Unpaid"
	// HeaderVM names the VM of the daemon that responded to another daemon.
	HeaderVM = "Cowslip-Vm"
	// HeaderReplayed marks a recorded response of an at-most-once operation.
	HeaderReplayed = "Cowslip-Replayed"
	// HeaderCallerTimeout lets a caller shorten the deadline that its contract sets, in
	// milliseconds.
	HeaderCallerTimeout = "Cowslip-Timeout-Ms"
	// HeaderOperationKey carries an issued operation key to the caller.
	HeaderOperationKey = "Cowslip-Operation-Key"
	// HeaderIdempotencyKey carries the operation key back from the caller.
	HeaderIdempotencyKey = "Idempotency-Key"

	// RouteRepeatable and RouteOther are values of HeaderInsist: the route of the request is
	// repeatable, or it is not.
	RouteRepeatable = "repeatable"
	RouteOther      = "other"
	// UnpaidRerun and UnpaidFirstRun are values of HeaderUnpaid: the request may have run before,
	// or it has only been refused.
	UnpaidRerun    = "repeatable"
	UnpaidFirstRun = "other"

	// TrailerLength is the length in bytes of a response body, TrailerDigest its XXH64 in hex.
	TrailerLength = "Cowslip-Body-Length"
	TrailerDigest = "Cowslip-Body-Xxh64"
)

// systemHeaderPrefix marks the headers that daemons exchange. Callers and backend servers cannot
// set them.
const systemHeaderPrefix = "Cowslip-"

// isHopByHop reports whether a header applies to one connection only (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// isSystemHeader reports whether a header belongs to the daemons, in any spelling that CGI reads as
// the same name.
func isSystemHeader(name string) bool {
	return strings.HasPrefix(withHyphens(name), systemHeaderPrefix)
}

// withHyphens returns the header name with hyphens in place of underscores. Backend servers that
// read headers as CGI variables (RFC 3875, section 4.1.18) cannot tell the two apart.
func withHyphens(name string) string {
	if !strings.Contains(name, "_") {
		return name
	}
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

// CopyHeaders adds the end-to-end headers of src to dst, without those of the system. dst may share
// the value slices of src, which must not be changed in place afterwards.
func CopyHeaders(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if isHopByHop(name) || options[name] || isSystemHeader(name) {
			continue
		}
		if len(dst[name]) == 0 {
			// The slice is shared. Its limited capacity makes a later Add copy it, so that src does
			// not change.
			dst[name] = values[:len(values):len(values)]
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

// connectionOptions returns the header names that the Connection header lists, or nil if there are
// none, as in most requests.
func connectionOptions(h http.Header) map[string]bool {
	var options map[string]bool
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			if options == nil {
				options = map[string]bool{}
			}
			options[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(option))] = true
		}
	}
	return options
}

// NewRequestID returns 128 random bits in hex.
func NewRequestID() string {
	var b [16]byte
	rand.Read(b[:]) // crypto/rand.Read never fails since Go 1.24
	return hex.EncodeToString(b[:])
}

// SetDeadline sets HeaderDeadline to the remaining time. Less than a millisecond is written as 1,
// because 0 would mean that no time is left.
func SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// Deadline returns the remaining time from HeaderDeadline, and false if the header is missing,
// malformed or not positive.
func Deadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// WriteError writes the status and headers that errkind assigns to the error's kind. The body is
// one line of text for the caller.
func WriteError(w http.ResponseWriter, e *errkind.Error) {
	answer := e.Kind.Answer()
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set(HeaderOutcome, answer.Outcome.String())
	h.Set(HeaderErrorKind, answer.Name)
	if after := cmp.Or(e.RetryAfter, answer.RetryAfter); after > 0 {
		h.Set("Retry-After", formatRetryAfter(after))
	}
	text := answer.Name
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	text += " (outcome " + answer.Outcome.String() + ")\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(answer.Status)
	w.Write([]byte(text)) //nolint:errcheck // it fails only if the caller is gone
}

// formatRetryAfter returns the value of the Retry-After header. It has a fraction of a second if
// needed: RFC 9110 only knows whole seconds, but a caller that comes back a second late may miss its
// deadline.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(max(after, time.Millisecond).Truncate(time.Millisecond).Seconds(), 'f', -1, 64)
}

// ErrorFromResponse returns the error that a home daemon reported in its response, or nil if the
// response came from a backend server. A response without a valid outcome is an error of kind
// PathBroken.
func ErrorFromResponse(resp *http.Response) *errkind.Error {
	switch outcome := resp.Header.Get(HeaderOutcome); outcome {
	case errkind.Answered.String():
		return nil
	case errkind.NotRun.String(), errkind.Unknown.String(), errkind.Ran.String():
		kind, _ := errkind.Parse(resp.Header.Get(HeaderErrorKind))
		return errkind.New(runstate.Reported(kind, outcome), "reported by VM "+resp.Header.Get(HeaderVM))
	default:
		return errkind.New(errkind.PathBroken, "the response of the home daemon has no valid Cowslip-Outcome header")
	}
}
