package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/retry"
)

// maxBufferedResponseBytes is the size of the largest response that is read completely before the
// caller gets its header. If the path breaks during such a response, the request can still end in a
// clear error or another try.
const maxBufferedResponseBytes = 64 << 10

// maxStatus is the highest status of a response (RFC 9110, section 15).
const maxStatus = 599

// maxInterimResponses bounds the interim responses to one try. A home daemon sends two.
const maxInterimResponses = 8

// errTooManyInterim ends a try whose home daemon sends interim responses without end.
var errTooManyInterim = errors.New("too many interim responses")

// try is one attempt to get a response from one backend server, or from the owner of an operation
// key.
type try struct {
	call    *call
	backend *catalog.BackendServer
	// vm and address are the VM id and the address of the daemon that gets the request.
	vm, address string
	// ownerBody is the body of a request to the owner of an operation key. It is nil for requests
	// to a backend server.
	ownerBody []byte
	toOwner   bool

	entry *Entry
	// countCrossRegion counts the body bytes of a try to another region. It is nil within the own
	// region.
	countCrossRegion func(bytes int)
	choice           balance.Choice
	// number is the number of this try within the request, from 1.
	number int
	// retryState is the state of the request before this try.
	retryState retry.State
	// successorPaid is true if the retry that follows was paid for when the time limit of this try
	// passed.
	successorPaid atomic.Bool
	// canRepeat is true if the request can go to another backend server if this one fails it.
	canRepeat bool
	// unpaid is true if the home daemon has to pay for this retry from its own budget.
	unpaid bool
	// insist is true if all other backend servers have refused the request. The home daemon then
	// must not refuse it only because its backend server seems to fail.
	insist bool
	// cancel releases the context of the try.
	cancel context.CancelFunc
	// latency is the time until the response header arrived.
	latency time.Duration
	// reportedByHome is true if the home daemon itself reported the error, so the path to it works.
	reportedByHome bool
	connected      atomic.Bool
	// confirmed is true once the home daemon has confirmed that it received the request.
	confirmed atomic.Bool
	// withheld is the body that is sent only when the home daemon asks for it. It is nil for other
	// bodies.
	withheld *withheldBody
	// unconfirmed is true if the home daemon did not confirm the request in time.
	unconfirmed bool
	// queueTimeout is how long the request may wait for a slot. Zero leaves it to the home daemon.
	queueTimeout time.Duration
	// queued is true if the request may wait in the admission queue of the home daemon. maxGray is the
	// highest probability in per cent of being gray with which its backend server may run the request
	// if it insists.
	// brief is true if the home daemon should refuse it at once if it expects a wait longer than
	// queueTimeout.
	queued, brief bool
	maxGray       int
	// namedWait is the wait for a slot that the home daemon named in its refusal, or 0.
	namedWait time.Duration
	response  *http.Response
	body      io.Reader
	// releaseHeld returns the memory of a held response. It is nil if none is held.
	releaseHeld func()
}

// send sends the request and waits for the response header. It also reads the whole body if it is
// small.
func (t *try) send(ctx context.Context, transport http.RoundTripper, r *http.Request) error {
	ctx, cancel := context.WithCancelCause(ctx)
	t.cancel = func() { cancel(nil) }
	interim := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if interim++; interim > maxInterimResponses {
				return errTooManyInterim
			}
			if isConfirmation(code) {
				t.confirmed.Store(true)
			}
			return nil
		},
	}
	if t.entry.confirm && !t.toOwner {
		timer := time.AfterFunc(t.confirmTimeout(), func() {
			if !t.confirmed.Load() {
				cancel(errUnconfirmed)
			}
		})
		defer timer.Stop()
	}
	start := time.Now()
	out := t.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	defer t.startQueueTimer(cancel)()
	resp, err := transport.RoundTrip(out)
	t.latency = time.Since(start)
	if err != nil {
		return t.classifyError(ctx, err)
	}
	t.confirmed.Store(true)
	t.response = resp
	if err := t.receiveResponse(ctx); err != nil {
		resp.Body.Close()
		return err
	}
	return nil
}

// newRequest returns the request for the home daemon, or for the owner of the operation key.
func (t *try) newRequest(ctx context.Context, r *http.Request) *http.Request {
	u := &url.URL{Scheme: "http", Host: t.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out := (&http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: http.Header{}, Proto: "HTTP/2.0", ProtoMajor: 2,
	}).WithContext(ctx)
	forward.CopyHeaders(out.Header, r.Header)
	h := out.Header
	h.Del("Authorization") // the API key is for the entry only
	if t.call.organisations != nil {
		t.entry.dialect.RemoveCredentials(h)
	}
	t.call.origin.Set(h)
	if t.toOwner {
		h.Set(forward.HeaderOperation, r.Header.Get(forward.HeaderIdempotencyKey))
	} else {
		h.Set(forward.HeaderBackend, t.backend.ID)
		h.Set(forward.HeaderService, t.backend.Service)
		t.addRoutingHeaders(h)
		t.addBaseline(h)
	}
	h.Set(forward.HeaderCustomer, t.call.base.Name)
	if t.call.customer.Organisation {
		h.Set(forward.HeaderOrganisation, t.call.customer.Name)
	}
	h.Set(forward.HeaderRequestID, t.call.id)
	h.Set(forward.HeaderPriority, strconv.Itoa(t.call.priority()))
	if deadline, ok := ctx.Deadline(); ok {
		forward.SetDeadline(h, time.Until(deadline))
	}
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "") // an empty value keeps net/http from adding its own
	}
	t.attachBody(out)
	return out
}

// addRoutingHeaders tells the home daemon where the request comes from, and how it may be refused,
// queued and retried.
func (t *try) addRoutingHeaders(h http.Header) {
	if origin := t.entry.originService(); origin != "" {
		h.Set(forward.HeaderOrigin, origin)
	}
	if t.canRepeat || t.isCanary() {
		h.Set(forward.HeaderRepeatable, "1")
	}
	if t.unpaid {
		h.Set(forward.HeaderUnpaid, t.unpaidValue())
	}
	if t.insist {
		h.Set(forward.HeaderInsist, t.call.routeValue())
	}
	if t.entry.confirm {
		h.Set(forward.HeaderConfirm, "1")
	}
	t.addQueueHeaders(h)
	if t.queueTimeout > 0 {
		h.Set(forward.HeaderQueue, strconv.FormatInt(t.queueTimeout.Milliseconds(), 10))
	}
}

// unpaidValue tells a home daemon that is to pay for the try whether the request may have run before.
func (t *try) unpaidValue() string {
	if t.retryState.MayHaveRun() {
		return forward.UnpaidRerun
	}
	return forward.UnpaidFirstRun
}

// routeValue tells a home daemon whether the route of the call is repeatable.
func (c *call) routeValue() string {
	if c.repeatable {
		return forward.RouteRepeatable
	}
	return forward.RouteOther
}

// addBaseline sends the home daemon what is usual in the whole service, to compare its own backend
// server with. It does so at most once per baselineInterval for each backend server.
func (t *try) addBaseline(h http.Header) {
	now := time.Now()
	if !t.entry.baselineSent.due(now, t.backend.ID) {
		return
	}
	if b := t.entry.balancer.Baseline(now, t.backend.Service); b.Members > 0 {
		h.Set(forward.HeaderBaseline, b.String())
		h.Set(forward.HeaderEntry, t.entry.vm)
	}
}

// close releases the resources of the try. It must be called after the response was read.
func (t *try) close() {
	if t.response != nil {
		t.response.Body.Close()
	}
	if t.cancel != nil {
		t.cancel()
	}
	if t.releaseHeld != nil {
		t.releaseHeld()
		t.releaseHeld = nil
	}
}

// attachBody gives the request its body, followed by a digest that proves that it is complete.
func (t *try) attachBody(out *http.Request) {
	body := t.call.body
	if t.toOwner {
		body = &upload{content: t.ownerBody, buffered: true, length: int64(len(t.ownerBody))}
	}
	confirm := t.entry.confirm && !t.toOwner
	if body.length == 0 && !confirm {
		out.Body = http.NoBody
		return
	}
	out.ContentLength = body.length
	reader := body.reader()
	if t.countCrossRegion != nil {
		reader = &countedBody{reader, t.countCrossRegion}
	}
	if !body.buffered || confirm {
		// The home daemon asks for the body only after it has a slot, so a refused upload can be
		// sent to another one. With Options.Confirm, every request ends with a digest that the home
		// daemon asks for, so a request that a broken path lost can be sent to another one too.
		out.Header.Set("Expect", "100-continue")
		t.withheld = &withheldBody{ReadCloser: reader, check: t.entry.keyCheck(t.call)}
		reader = t.withheld
	}
	forward.SetRequestBody(out, reader)
	if body.length == 0 {
		out.ContentLength = forward.RequestDigestBytes
	}
}

// classifyError returns the error of a try without a response, with its kind. It checks for a
// failure of the caller's upload first, then of the connection, then for a timeout.
func (t *try) classifyError(ctx context.Context, err error) error {
	failure := t.call.body.callerError()
	if errors.Is(failure, errTooLarge) {
		return errkind.New(errkind.RequestTooLarge, "the streamed request body exceeds maxRequestBytes of the contract of "+t.call.customer.Name)
	}
	if failure != nil {
		return errkind.Wrap(errkind.RequestBroken, failure, "reading the caller's request body failed")
	}
	if t.withheld != nil {
		if refusal := t.withheld.refused(); refusal != nil {
			return refusal // nothing was read, so no backend server can have the request
		}
	}
	if !t.connected.Load() {
		return errkind.Wrap(errkind.HomeUnreachable, err, "no connection to the daemon of VM "+t.vm)
	}
	t.unconfirmed = errors.Is(context.Cause(ctx), errUnconfirmed)
	if t.entry.confirm && t.withheld != nil && t.withheld.withdraw() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return errkind.Wrap(errkind.DeadlineBeforeRun, err, "the daemon of VM "+t.vm+" did not ask for the request before the deadline")
		}
		return errkind.Wrap(errkind.HomeUnreachable, err, "the daemon of VM "+t.vm+" did not ask for the request")
	}
	if e := t.timeoutError(ctx, err); e != nil {
		return e
	}
	if isAbortedByHome(err) {
		t.reportedByHome = true
		return errkind.Wrap(errkind.BackendBroken, err, "the backend server broke off its response")
	}
	return errkind.Wrap(errkind.PathBroken, err, "the connection to the daemon of VM "+t.vm+" broke")
}

// isAbortedByHome reports whether the home daemon itself ended the stream. It does so when a
// backend server breaks off a response before its header was forwarded. This must not count as a
// failure of the path, because one bad backend server would then take its whole VM out of use.
func isAbortedByHome(err error) bool {
	var reset streamError
	return errors.As(err, &reset) && reset.Code == http2InternalError
}

// http2InternalError is the HTTP/2 error code INTERNAL_ERROR (RFC 9113 section 7). net/http sends
// it when the handler of a stream aborts.
const http2InternalError = 0x2

// streamError has the fields of http2.StreamError. errors.As converts the stream errors of net/http
// to any struct with these fields.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns the error code and the cause.
func (e streamError) Error() string { return fmt.Sprintf("stream error %d: %v", e.Code, e.Cause) }

// timeoutError returns the error of a try that ended because of its deadline or time limit, or nil.
func (t *try) timeoutError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no complete response before the deadline")
	case errors.Is(context.Cause(ctx), errTryTimeout):
		return errkind.Wrap(errkind.PathBroken, errTryTimeout, "the try sent to VM "+t.vm)
	}
	return nil
}

// receiveResponse checks that the response belongs to this request, returns the error that it
// reports, if any, and reads a small body completely.
func (t *try) receiveResponse(ctx context.Context) error {
	resp := t.response
	if got := resp.Header.Get(forward.HeaderRequestID); got != t.call.id {
		return errkind.New(errkind.PathBroken, "the response belongs to another request")
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return errkind.New(errkind.PathBroken, "the response of the home daemon has an invalid status")
	}
	if e := forward.ErrorFromResponse(resp); e != nil {
		t.reportedByHome = e.Kind != errkind.PathBroken
		return e
	}
	if e := t.entry.dialect.Convention().CheckRelayed(resp.StatusCode); e != nil {
		t.reportedByHome = true
		return e
	}
	if t.countCrossRegion != nil {
		resp.Body = &countedBody{resp.Body, t.countCrossRegion}
	}
	t.body = resp.Body
	if hasBody(resp) {
		t.body = forward.NewVerifiedBody(resp.Body, func() http.Header { return resp.Trailer })
	}
	if t.holdsResponse() {
		return t.holdResponse(ctx)
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedResponseBytes || !hasBody(resp) {
		return nil
	}
	whole := make([]byte, 0, resp.ContentLength)
	buffer := bytes.NewBuffer(whole)
	if _, err := buffer.ReadFrom(t.body); err != nil {
		return t.brokenResponseError(ctx, err)
	}
	t.body = buffer
	return nil
}

// brokenResponseError returns the error of a response that broke off before anything of it was sent
// to the caller.
func (t *try) brokenResponseError(ctx context.Context, err error) error {
	if e := t.timeoutError(ctx, err); e != nil {
		return e
	}
	if isAbortedByHome(err) {
		t.reportedByHome = true
		return errkind.Wrap(errkind.BackendBroken, err, "the backend server broke off its response")
	}
	return errkind.Wrap(errkind.PathBroken, err, "the connection to the daemon broke during its response")
}

func hasBody(resp *http.Response) bool {
	return resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// writeResponse sends the response to the caller. If the body breaks on the way, it aborts the
// caller's connection, so that the response does not look complete.
func (t *try) writeResponse(w http.ResponseWriter) {
	forward.CopyHeaders(w.Header(), t.response.Header)
	w.Header().Set(forward.HeaderOutcome, errkind.Answered.String())
	if t.backend != nil {
		w.Header().Set(forward.HeaderBackend, t.backend.ID)
	}
	if t.response.Header.Get(forward.HeaderReplayed) != "" {
		w.Header().Set(forward.HeaderReplayed, "true")
	}
	w.WriteHeader(t.response.StatusCode)
	if !hasBody(t.response) {
		return
	}
	if err := forward.Copy(w, t.body, nil); err != nil {
		t.entry.logCutResponse(t, err)
		panic(http.ErrAbortHandler)
	}
}
