package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/listener"
	"github.com/cowsliprun/cowsliprun/internal/operation"
	"github.com/cowsliprun/cowsliprun/internal/retry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
	"github.com/go-chi/chi/v5"
)

// Options are the settings of an Entry. VM and Snapshot are required.
type Options struct {
	// VM is the id of the VM that the daemon runs on.
	VM string
	// Locality is the data centre and region of the VM.
	Locality catalog.Locality
	// Snapshot returns the configuration in force, or nil if there is none yet. It must be safe for
	// concurrent use.
	Snapshot func() *catalog.Snapshot
	// Transport sends requests to other daemons. Default: forward.NewPeerTransport(forward.PeerOptions{}).
	Transport http.RoundTripper
	// Incarnation is the random number that the process generated at its start. It is part of every
	// operation key that this daemon issues.
	Incarnation uint64
	// Memory records the operations whose keys this daemon issued. Default: operation.NewMemory
	// with its default options.
	Memory *operation.Memory
	// Leaving reports whether the daemon is draining. Default: never.
	Leaving func() bool
	// Stopping reports whether the daemon ends too soon to hand over further requests. Default: never.
	Stopping func() bool
	// Limiter enforces the rate and concurrency limits of contracts. Default: no limits.
	Limiter Limiter
	// Observer counts how requests end. Default: none.
	Observer Observer
	// Log receives the causes of failed tries and requests. Default: telemetry.Discard().
	Log *telemetry.Logger
	// TrustedProxies are the networks of the proxies in front of the entry. X-Forwarded-For and
	// X-Forwarded-Proto are accepted only from them.
	TrustedProxies []netip.Prefix
	// Seed seeds the random choices of the balancer.
	Seed uint64
	// Dialect reads the request headers of callers. Default: dialect.Cowslip.
	Dialect dialect.Dialect
	// OriginService returns the service that runs on the VM of the entry, which is sent to backend
	// servers. Default: none.
	OriginService func() string
	// Retry holds the options of the retry budgets.
	Retry retry.Options
	// Balance holds the options of the balancer. New sets its VM, Locality, Random and Now.
	Balance balance.Options
	// Confirm makes home daemons confirm that they received a request, and ask for its end before
	// they use it. A request that a broken path lost is then known not to have run, and can be sent
	// to another backend server. It costs a round trip between daemons. Default: false.
	Confirm bool
	// MaxWait bounds how long a request that all home daemons have refused waits for further rounds
	// of tries. Default: 0, which refuses the request at once.
	MaxWait time.Duration
	// Admission makes requests that find no free slot wait in the admission queues of homes (home
	// option Queue) instead of asking again. Default: nil, and they ask again.
	Admission *AdmissionOptions
	// Configured is closed once Snapshot returns a configuration. Requests that arrive shortly
	// after New wait for it. Default: nil, and they are refused at once.
	Configured <-chan struct{}
	// Outdated reports whether a newer configuration than that of Snapshot is known to exist. Until it
	// is there, a request without a route is refused for now, and not as unknown. Default: never.
	Outdated func() bool
	// KeysTrusted reports whether the API keys of Snapshot are known to be valid still. It is asked for
	// requests with a key at their admission, and with their key looked up anew before each hand-over
	// to another daemon. Default: nil, and keys are looked up at the admission only.
	KeysTrusted func() bool
}

// Observer counts how requests end. Its methods are called concurrently and must not block.
type Observer interface {
	// Answered is called for each response of a backend server, with the time until the response
	// was ready and the number of tries. For at-most-once operations it is the time until the
	// response was sent, in one try.
	Answered(service string, took time.Duration, tries int)
	// CrossRegionBytes returns the counter for the body bytes that the service's requests send to
	// another region and receive from it. The counter is called concurrently too.
	CrossRegionBytes(service string) func(bytes int)
	// Refused is called for each request that ended with an error of the system.
	Refused(kind errkind.Kind)
	// BrokenOff is called for each response that broke off after its header was sent.
	BrokenOff(service string)
}

// noopObserver counts nothing.
type noopObserver struct{}

func (noopObserver) Answered(string, time.Duration, int) {}
func (noopObserver) Refused(errkind.Kind)                {}
func (noopObserver) BrokenOff(string)                    {}
func (noopObserver) CrossRegionBytes(string) func(int)   { return func(int) {} }

// Limiter enforces the rate and concurrency limits of contracts. Its methods are called
// concurrently.
type Limiter interface {
	// Admit admits one request, whose body has not been read. It may wait shortly for a part of the
	// limit that another daemon is about to grant. If it returns nil, Release must be called at the end
	// of the request.
	Admit(ctx context.Context, c *catalog.Customer) *errkind.Error
	// Release ends a request that was admitted for the customer. mayHaveRun is false if it certainly did
	// not run.
	Release(c *catalog.Customer, mayHaveRun bool)
}

// noopLimiter admits every request.
type noopLimiter struct{}

func (noopLimiter) Admit(context.Context, *catalog.Customer) *errkind.Error { return nil }
func (noopLimiter) Release(*catalog.Customer, bool)                         {}

// maxOperationBodiesBytes bounds the total size of the bodies of at-most-once operations held in
// memory.
const maxOperationBodiesBytes = 64 << 20

// Entry is the callers' side of a daemon. It is safe for concurrent use.
type Entry struct {
	vm        string
	region    string
	snapshot  func() *catalog.Snapshot
	transport http.RoundTripper

	incarnation     uint64
	memory          *operation.Memory
	operationBodies *operation.UploadBudget
	heldResponses   holdBudget
	leaving         func() bool
	stopping        func() bool
	limiter         Limiter
	observer        Observer
	log             *telemetry.Logger
	trustedProxies  []netip.Prefix

	balancer      *balance.Balancer
	budgets       *retry.Budgets
	baselineSent  baselineSchedule
	dialect       dialect.Dialect
	originService func() string
	confirm       bool
	maxWait       time.Duration
	queueing      *queueing
	startWaiter   *startWaiter
	outdated      func() bool
	// outdatedWaiting holds an item for each request that waits for a newer configuration.
	outdatedWaiting chan struct{}
	use             organisationUse
	keysTrusted     func() bool
}

// New returns an Entry with the given options.
func New(o Options) *Entry {
	if o.Transport == nil {
		o.Transport = forward.NewPeerTransport(forward.PeerOptions{})
	}
	if o.Memory == nil {
		o.Memory = operation.NewMemory(o.VM, o.Incarnation, operation.Options{})
	}
	if o.Leaving == nil {
		o.Leaving = func() bool { return false }
	}
	if o.Stopping == nil {
		o.Stopping = func() bool { return false }
	}
	if o.Outdated == nil {
		o.Outdated = func() bool { return false }
	}
	if o.Limiter == nil {
		o.Limiter = noopLimiter{}
	}
	if o.Observer == nil {
		o.Observer = noopObserver{}
	}
	if o.Log == nil {
		o.Log = telemetry.Discard()
	}
	if o.Dialect == nil {
		o.Dialect = dialect.Cowslip{}
	}
	if o.OriginService == nil {
		o.OriginService = func() string { return "" }
	}
	o.Balance.VM, o.Balance.Locality, o.Balance.Random, o.Balance.Now = o.VM, o.Locality, rand.NewPCG(o.Seed, o.Seed), time.Now()
	return &Entry{
		dialect: o.Dialect, originService: o.OriginService, confirm: o.Confirm, maxWait: o.MaxWait, queueing: newQueueing(o.Admission, o.Seed),
		startWaiter: newStartWaiter(o.Configured), outdated: o.Outdated, outdatedWaiting: make(chan struct{}, maxOutdatedWaiting), keysTrusted: o.KeysTrusted,
		vm: o.VM, region: o.Locality.Region, snapshot: o.Snapshot, transport: o.Transport,
		incarnation: o.Incarnation, memory: o.Memory, operationBodies: operation.NewUploadBudget(maxOperationBodiesBytes),
		heldResponses: holdBudget{limit: maxHeldBytes},
		leaving:       o.Leaving, stopping: o.Stopping, limiter: o.Limiter, observer: o.Observer, log: o.Log, trustedProxies: o.TrustedProxies,
		balancer: balance.New(o.Balance),
		budgets:  retry.NewWith(o.Retry),
	}
}

// Handler returns the handler for the listener that callers connect to.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/.cowslip/operation-keys", e.handleOperationKeys)
	router.Handle("/*", http.HandlerFunc(e.serve))
	// chi does not know all methods and targets. checkTarget refuses the others, so that their
	// response has an outcome too.
	router.NotFound(e.serve)
	router.MethodNotAllowed(e.serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isChunkedHTTP1(r) {
			w.Header().Set("Connection", "close")
		}
		router.ServeHTTP(w, r)
	})
}

// call is one request of a caller with the parts of the contract that apply to it.
type call struct {
	// id is the request id.
	id string
	// received is when the request arrived.
	received time.Time
	// inner is true for a request that is made by work already running. It is only set with
	// Options.Admission.
	inner bool
	// base is the customer whose contract has the route, and whose retry budget pays.
	base *catalog.Customer
	identity
	route   *catalog.Route
	service *catalog.Service
	// repeatable is true if the route allows another try although an earlier one may have run.
	repeatable bool
	body       *upload
	// origin is what the backend server is told about the caller's connection.
	origin forward.Origin
}

// serve handles one request of a caller, from its admission to the end of its response.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	caller := e.dialect.ParseCaller(r.Header)
	id := caller.ID
	if id == "" {
		id = forward.NewRequestID()
	}
	w.Header().Set(forward.HeaderRequestID, id)
	e.startWaiter.wait(r.Context(), caller.Timeout)
	c, err := e.admit(r, caller)
	if err != nil {
		e.failRequest(w, err)
		return
	}
	if arrival, waited := listener.Arrival(r.Context()); waited {
		received = arrival
	}
	c.id, c.received = id, received
	c.inner = e.queueing != nil && e.queueing.Inner(c.customer, c.route)
	refused := true
	defer func() {
		if c.customer.Organisation {
			e.use.count(c.customer.Name, refused)
		}
	}()
	ctx, cancel := context.WithDeadline(r.Context(), received.Add(requestTimeout(c.route, caller)))
	defer cancel()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.failRequest(w, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while an earlier request on the connection was served"))
		return
	}
	if err := checkDeclaredLength(r, c.customer); err != nil {
		e.failRequest(w, err)
		return
	}
	if err := e.limiter.Admit(ctx, c.customer); err != nil {
		answerBeforeBody(w, r)
		e.failRequest(w, err)
		return
	}
	mayHaveRun := true     // handle may panic in the middle of a response
	admitted := c.customer // a later configuration may have other limits
	defer func() { e.limiter.Release(admitted, mayHaveRun) }()
	if err := c.readUpload(ctx, w, r); err != nil {
		mayHaveRun = false
		e.failRequest(w, err)
		return
	}
	handle := e.forward
	if c.route.AtMostOnce {
		handle = e.serveAtMostOnce
	}
	if err := handle(ctx, w, r, c); err != nil {
		mayHaveRun = errkind.Of(err).Answer().Outcome != errkind.NotRun
		e.failRequest(w, err)
		return
	}
	refused = false
}

// ChargeRetry takes one token from the retry budget of this daemon for a retry of another daemon's
// request, and reports whether there was one.
func (e *Entry) ChargeRetry(now time.Time, customer, service string, rerun bool) bool {
	return e.budgets.ChargeForPeer(now, customer, service, rerun)
}

// SetRetryLimits changes the maximum number of retries in a burst that each budget of this entry
// allows, and the time in which a budget gains one retry without traffic.
func (e *Entry) SetRetryLimits(burst float64, idleInterval time.Duration) {
	e.budgets.SetLimits(burst, idleInterval)
}

// Expire drops the state of services and customers without recent traffic. The daemon calls it
// every few seconds.
func (e *Entry) Expire(now time.Time) {
	e.balancer.Expire(now)
	e.budgets.Expire(now)
	e.logUse(now)
}

// failRequest counts and logs the error, and sends it to the caller.
func (e *Entry) failRequest(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	e.observer.Refused(kind)
	e.log.Request(w.Header().Get(forward.HeaderRequestID), "A request ended with an error.", "kind", kind, "outcome", kind.Answer().Outcome, "err", err)
	writeError(w, err)
}

// admit finds the route and contract of the request, and checks its method.
func (e *Entry) admit(r *http.Request, caller dialect.Caller) (*call, error) {
	if err := checkTarget(r); err != nil {
		return nil, err
	}
	c, err := e.matchContract(r, caller, r.URL.Path)
	if err := e.checkKeyAtAdmission(c, caller, err); err != nil {
		return nil, err
	}
	if isAmbiguous(c.customer, c.route, r.URL) {
		return nil, errkind.New(errkind.BadRequest, ambiguousPathDetail)
	}
	if !c.route.Allows(r.Method) {
		return nil, errkind.New(errkind.MethodNotAllowed, "the route "+c.route.PathPrefix+" of the contract of "+c.customer.Name+" does not allow "+r.Method)
	}
	c.repeatable = c.route.Repeatable(r.Method)
	c.origin = forward.OriginOf(r, e.trustedProxies)
	return c, nil
}

// requestTimeout returns the time that the request may take: that of the route, or that of the
// caller if it is shorter.
func requestTimeout(route *catalog.Route, caller dialect.Caller) time.Duration {
	if caller.Timeout <= 0 {
		return route.Deadline
	}
	return min(route.Deadline, caller.Timeout)
}

// writeError sends the error to the caller. An error without a kind is sent as an internal one.
func writeError(w http.ResponseWriter, err error) {
	var e *errkind.Error
	if !errors.As(err, &e) {
		e = errkind.Wrap(errkind.Internal, err, "")
	}
	if e.Kind == errkind.RequestBroken {
		// The caller's own upload broke, so nobody waits for a response. A proper error response
		// could be mistaken for a complete exchange.
		panic(http.ErrAbortHandler)
	}
	forward.WriteError(w, e)
}
