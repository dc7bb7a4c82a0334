package home

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/reservation"
	"github.com/cowsliprun/cowsliprun/internal/suspicion"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// A request waits for a slot at most for the smaller of two limits: maxQueueWait, which the
	// entry may replace, and the remaining time of the request divided by queueShareDivisor.
	maxQueueWait      = 50 * time.Millisecond
	queueShareDivisor = 10
	// defaultDeadline and defaultPriority apply to a request whose header is missing or malformed.
	// Only an older entry omits it.
	defaultDeadline = 10 * time.Second
	defaultPriority = 5
)

// Observer is called when a backend server's mode changes. It must not block.
type Observer func(backend, service string, from, to ejection.Mode, reason string)

// Options configures a Home.
type Options struct {
	// VM is the id of the VM that the daemon runs on.
	VM string
	// Transport connects to backend servers. Default: forward.NewBackendTransport().
	Transport http.RoundTripper
	// Observer is called on changes of mode. It may be nil.
	Observer Observer
	// Log receives the causes of failed requests. Default: telemetry.Discard().
	Log *telemetry.Logger
	// Seed is the random seed for choosing the siblings that backend servers are compared with.
	Seed uint64
	// Dialect is how the daemon and backend servers exchange metadata in headers. Default:
	// dialect.Cowslip.
	Dialect dialect.Dialect
	// Suspicion configures the filter that holds back requests that cannot be repeated from backend
	// servers that seem gray. Results of requests then go to the filter and not to the ejection
	// detector. Default: nil, and ejection alone decides.
	Suspicion *suspicion.Config
	// ChargeRetry charges a retry of a customer's request to this daemon's retry budget for a
	// service, and reports whether the budget allowed it. Entries whose own budget is used up ask
	// for this. Default: nil, and such retries are refused.
	ChargeRetry func(now time.Time, customer, service string, rerun bool) bool
	// Queue makes requests wait for slots in the order of package admission, for as long as their
	// entries say. Default: false, and they wait shortly in the order of their priority.
	Queue bool
	// ReplacementDelay is how long entries avoid the backend servers of a stopped daemon when
	// another daemon will replace it on the VM. Default: 0, and they avoid them until a daemon of
	// that VM reports otherwise.
	ReplacementDelay time.Duration
}

// Home serves the requests of all entries to the backend servers of one VM. Its methods may be
// called concurrently.
type Home struct {
	vm               string
	transport        http.RoundTripper
	dialect          dialect.Dialect
	suspicion        *suspicion.Config
	replacementDelay time.Duration
	queue            bool
	chargeRetry      func(now time.Time, customer, service string, rerun bool) bool
	observer         Observer
	log              *telemetry.Logger
	// draining is set at the start of a drain, listedLeaving while the platform lists the VM as
	// leaving. With either, no reservation is granted and entries are told to use other VMs.
	draining, listedLeaving atomic.Bool
	// identifiesCallers is set while the configuration has organisations.
	identifiesCallers atomic.Bool
	// closed is set when, while leaving, the reservations that the VM granted have ended. New
	// requests are then refused. A drain never clears it; it is cleared when the platform lists the
	// VM as live again.
	closed atomic.Bool

	// Locks are taken in the order compareMu, reservationsMu, mu, member.mu.
	compareMu sync.Mutex
	comparer  comparer

	reservationsMu sync.Mutex
	reservations   *reservation.Manager

	mu sync.RWMutex
	// members holds the backend servers of the current configuration by id.
	members map[string]*member
	// retired holds members that left the configuration with requests in flight or with promises to
	// siblings.
	retired []retired
}

// New returns a Home that has no backend servers until Apply is called.
func New(options Options) *Home {
	if options.Transport == nil {
		options.Transport = forward.NewBackendTransport()
	}
	if options.Observer == nil {
		options.Observer = func(string, string, ejection.Mode, ejection.Mode, string) {}
	}
	if options.Log == nil {
		options.Log = telemetry.Discard()
	}
	if options.ChargeRetry == nil {
		options.ChargeRetry = func(time.Time, string, string, bool) bool { return false }
	}
	if options.Dialect == nil {
		options.Dialect = dialect.Cowslip{}
	}
	return &Home{
		dialect: options.Dialect, suspicion: options.Suspicion, replacementDelay: options.ReplacementDelay, queue: options.Queue, chargeRetry: options.ChargeRetry,
		vm: options.VM, transport: options.Transport, observer: options.Observer, log: options.Log, members: map[string]*member{},
		reservations: reservation.New(options.VM, time.Now()), comparer: newComparer(options.Seed),
	}
}

// retired is a member that left the configuration. It takes requests of entries that have not seen
// the change up to the time until.
type retired struct {
	member *member
	until  time.Time
}

// member returns the member with the id, also a retired one that still takes requests, or nil.
func (h *Home) member(id string) *member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if m := h.members[id]; m != nil {
		return m
	}
	now := time.Now()
	for _, r := range h.retired {
		if r.member.id == id && now.Before(r.until) {
			return r.member
		}
	}
	return nil
}

// ServeHTTP serves one request from an entry. Responses carry the protocol headers of package
// forward. If a response fails after its header was sent, ServeHTTP panics with
// http.ErrAbortHandler.
func (h *Home) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	w := forward.NewAnswer(writer)
	w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
	w.Header().Set(forward.HeaderVM, h.vm)
	m := h.member(r.Header.Get(forward.HeaderBackend))
	if m == nil {
		forward.WriteError(w, errkind.New(errkind.NotHome, fmt.Sprintf("VM %s has no backend server %q", h.vm, r.Header.Get(forward.HeaderBackend))))
		return
	}
	h.recordBaseline(m, r)
	confirm := r.Header.Get(forward.HeaderConfirm) != ""
	if confirm {
		w.Interim(http.StatusProcessing)
	}
	remaining, ok := forward.Deadline(r.Header)
	if !ok {
		remaining = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	ended, err := h.admit(ctx, m, r, remaining)
	if err != nil {
		h.refuse(w, m, err)
		return
	}
	defer m.slots.release()
	if err := receiveBody(ctx, w, r, confirm); err != nil {
		h.refuse(w, m, err)
		return
	}
	served := h.exchange(ctx, w, r, m)
	if ended != nil {
		ended(served)
	}
}

// maxConfirmedBodyBytes is the largest request body that is read completely before the request is
// handed over, for entries that ask for confirmation. Longer bodies are streamed.
const maxConfirmedBodyBytes = 1 << 20

// receiveBody prepares the body of an admitted request. An entry that asks for confirmation sends
// the end of each request only now, and the request is not handed over before that end has arrived.
func receiveBody(ctx context.Context, w *forward.Answer, r *http.Request, confirm bool) error {
	if !confirm {
		forward.ReceiveRequest(r)
		return nil
	}
	// net/http does not ask for the body by itself once another interim response was sent.
	w.Interim(http.StatusContinue)
	if err := forward.ReceiveBuffered(r, maxConfirmedBodyBytes); err != nil {
		return errkind.Wrap(errkind.RequestBroken, err, "the request body was truncated before it was handed over")
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the request was handed over to the backend server")
	}
	return nil
}

// recordBaseline passes the service's baseline, as the entry sees it, to the life cycle. A
// malformed one is ignored, because it is only a hint.
func (h *Home) recordBaseline(m *member, r *http.Request) {
	text := r.Header.Get(forward.HeaderBaseline)
	if text == "" {
		return
	}
	b, err := balance.ParseBaseline(text)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lifecycle.Baseline(time.Now(), r.Header.Get(forward.HeaderEntry), ejection.Baseline{Median: b.ServiceTime, ErrorShare: b.ErrorShare, Members: b.Members})
}

// admit takes a slot for the request. All errors are refusals: nothing was handed over. ended is that
// of acquireSlot.
func (h *Home) admit(ctx context.Context, m *member, r *http.Request, remaining time.Duration) (ended func(served bool), err error) {
	if h.closed.Load() {
		return nil, errkind.New(errkind.Draining, "the VM is leaving and takes no new requests")
	}
	if err := m.refusal(time.Now()); err != nil {
		return nil, err
	}
	if !m.passesSuspicion(time.Now(), suspicionRequest(r)) {
		return nil, suspectError(m)
	}
	ended, err = h.acquireSlot(ctx, m, r, remaining)
	if err != nil {
		return nil, err
	}
	// The process may have been suspended while the request waited.
	if ctx.Err() != nil {
		m.slots.release()
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the request was handed over to the backend server")
	}
	// The retry budget is charged last, so that a request refused for another reason uses none of
	// it.
	if unpaid := r.Header.Get(forward.HeaderUnpaid); unpaid != "" {
		if !h.chargeRetry(time.Now(), r.Header.Get(forward.HeaderCustomer), m.service, unpaid == forward.UnpaidRerun) {
			m.slots.release()
			return nil, errkind.New(errkind.RepeatsLimited, "the retry budgets of the entry and of the home are used up")
		}
	}
	return ended, nil
}

// suspicionRequest returns what the suspicion filter needs to know of the request.
func suspicionRequest(r *http.Request) suspicion.Request {
	insist := r.Header.Get(forward.HeaderInsist)
	maxGray, _ := strconv.Atoi(r.Header.Get(forward.HeaderMaxGray)) // 0 if the entry sent none
	return suspicion.Request{
		Repeatable: r.Header.Get(forward.HeaderRepeatable) != "", Insists: insist != "", RouteRepeatable: insist == forward.RouteRepeatable,
		MaxGray: float64(maxGray) / 100,
	}
}

// queueWaitOf returns the entry's limit for the wait for a slot, or maxQueueWait if the header is
// missing or malformed.
func queueWaitOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(forward.HeaderQueue), 10, 16)
	if err != nil || ms <= 0 {
		return maxQueueWait
	}
	return time.Duration(ms) * time.Millisecond
}

// priorityOf returns the priority in the queue, or defaultPriority if the header is missing or
// malformed.
func priorityOf(r *http.Request) int {
	priority, err := strconv.Atoi(r.Header.Get(forward.HeaderPriority))
	if err != nil {
		return defaultPriority
	}
	return priority
}

// refuse responds with an error of the system and the state of the backend server.
func (h *Home) refuse(w http.ResponseWriter, m *member, err error) {
	state := h.state(m)
	var waiting *waitError
	if errors.As(err, &waiting) {
		state.Wait = waiting.wait
	}
	w.Header().Set(forward.HeaderState, state.String())
	var e *errkind.Error
	if !errors.As(err, &e) {
		e = errkind.Wrap(errkind.Internal, err, "")
	}
	forward.WriteError(w, e)
}

// state returns the state of a member that entries get.
func (h *Home) state(m *member) balance.State {
	return m.reportedState(time.Now(), h.Leaving(), h.replacementDelay)
}

// exchange sends an admitted request to the backend server and passes the response on. The caller
// holds a slot. It reports whether the backend server responded.
func (h *Home) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, m *member) bool {
	x := &exchange{transport: h.transport, dialect: h.dialect, backend: m.id, address: m.address, removeCredentials: h.identifiesCallers.Load()}
	m.begin(x)
	err := x.send(ctx, r)
	if err != nil {
		m.observe(time.Now(), x, err)
		h.logFailure(ctx, m, r, err)
		h.refuse(w, m, err)
		return errkind.Of(err) == errkind.UnconfirmedRefusal // a failure that took its time, like a 500
	}
	defer x.response.Body.Close()
	h.respond(ctx, w, r, m, x)
	return true
}

// respond passes the response on, records its evidence and aborts the stream if the body fails.
func (h *Home) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, m *member, x *exchange) {
	header := w.Header()
	forward.CopyHeaders(header, x.response.Header)
	header.Set(forward.HeaderOutcome, errkind.Answered.String())
	header.Set(forward.HeaderState, h.state(m).String())
	header.Set(forward.HeaderServiceTime, strconv.FormatInt(x.serviceTime.Microseconds(), 10))
	forward.DeclareTrailers(header)
	w.WriteHeader(x.response.StatusCode)
	err := x.copyBody(ctx, w)
	m.observe(time.Now(), x, err)
	if err != nil {
		h.logFailure(ctx, m, r, err)
		// The entry must see a broken stream, never a clean end.
		panic(http.ErrAbortHandler)
	}
}
