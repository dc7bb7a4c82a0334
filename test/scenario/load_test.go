package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/pause"
)

const (
	// loadWorkers is the number of requests that a load keeps in flight.
	loadWorkers = 4
	// maxLoadRequests limits the requests of one load.
	maxLoadRequests = 20000
	// defaultLoadPause is the time between two requests of a worker.
	defaultLoadPause = 10 * time.Millisecond
	// requestTimeout ends an attempt whose daemon does not respond at all. It is longer than every
	// deadline in the contracts.
	requestTimeout = 8 * time.Second
	// retryInterval is the time between two attempts of one request. Callers outside the tests wait
	// for the time that Retry-After states, which is in whole seconds.
	retryInterval = 100 * time.Millisecond
	// maxOperationAttempts limits how often a load sends one operation under its key until it is
	// answered.
	maxOperationAttempts = 8
	// replayEvery is counted in operations: a load sends every fourth operation once more after
	// it was answered, to check that the recorded response comes back.
	replayEvery = 4
)

// Kinds of load. The word at the end of "load start NAME KIND" selects one.
const (
	kindLookup    = "lookup"    // GET, which the system may retry
	kindNote      = "note"      // POST without an operation key, which nobody may retry
	kindOperation = "operation" // POST with an operation key, which the load retries until answered
)

// load sends requests of one kind through some VMs until it is stopped. Its workers run
// concurrently; mu guards what they share.
type load struct {
	name, kind string
	harness    *harness
	vms        []string
	apiKey     string
	pause      time.Duration
	client     *http.Client
	// httpMajor is the HTTP major version that responses must have, 0 for any.
	httpMajor int
	cancel    context.CancelFunc
	workers   sync.WaitGroup
	startedAt time.Time
	stoppedAt time.Time

	mu         sync.Mutex
	records    []*record
	lastNumber int
}

// record is one request of a caller with all its attempts.
type record struct {
	name     string
	attempts []attempt
	// answered is true once a complete and correct response with status 200 has arrived.
	answered bool
}

// attempt is what a caller observed when it sent a request once.
type attempt struct {
	vm string
	// outcome is as stated by the system, "unknown" if it stated none, or outcomeUnsent if no
	// connection was made.
	outcome   string
	errorKind string
	status    int
	// violation says why a response that ended without an error is not a correct response to the
	// request.
	violation    string
	err          string
	body         []byte
	operationKey string
}

// counts holds the answered and unanswered requests of a load, and its attempts that limits
// refused.
type counts struct{ answered, failed, limited int }

// cmdLoad implements "load start NAME KIND [via=VM,VM] [customer=NAME] [pause=TIME] [http=1|2]"
// and "load stop NAME". KIND is lookup, note or operation. HTTP/2 is without TLS and uses one
// connection to each VM.
func cmdLoad(ts *testscript.TestScript, h *harness, args []string) {
	if len(args) == 2 && args[0] == "stop" && h.loads[args[1]] != nil {
		h.loads[args[1]].stop()
		return
	}
	if len(args) < 3 || args[0] != "start" || h.loads[args[1]] != nil {
		ts.Fatalf("usage: load start NAME KIND [via=VM,VM] [customer=NAME] [pause=TIME] [http=1|2], load stop NAME")
	}
	l := &load{
		name: args[1], kind: args[2], harness: h, apiKey: "shop-key", pause: defaultLoadPause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers}},
	}
	for _, vm := range h.fleet.Documents().VMs {
		l.vms = append(l.vms, vm.VM)
	}
	for _, option := range args[3:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "via":
			l.vms = strings.Split(value, ",")
		case "customer":
			l.apiKey = value + "-key"
		case "pause":
			pause, err := time.ParseDuration(value)
			ts.Check(err)
			l.pause = pause
		case "http":
			major, err := strconv.Atoi(value)
			ts.Check(err)
			var protocols http.Protocols
			protocols.SetHTTP1(major == 1)
			protocols.SetUnencryptedHTTP2(major == 2)
			l.httpMajor = major
			l.client.Transport.(*http.Transport).Protocols = &protocols
		default:
			ts.Fatalf("unknown option %q", option)
		}
	}
	send := map[string]func(context.Context, *record, int){kindLookup: l.lookup, kindNote: l.note, kindOperation: l.operation}[l.kind]
	if send == nil {
		ts.Fatalf("unknown kind of load %q", l.kind)
	}
	h.loads[l.name] = l
	l.start(send)
}

// start starts the workers. send performs one request; it gets the request's record and number.
func (l *load) start(send func(context.Context, *record, int)) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.startedAt = cancel, time.Now()
	for range loadWorkers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				r, n := l.newRecord()
				if r == nil {
					return
				}
				send(ctx, r, n)
				if ctx.Err() == nil || !r.isAwaitingRetry() {
					l.addRecord(r)
				}
				pause.For(ctx, l.pause)
			}
		})
	}
}

// stop ends the load and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.workers.Wait()
	if l.stoppedAt.IsZero() {
		l.stoppedAt = time.Now()
	}
	l.client.CloseIdleConnections()
}

// newRecord returns the record and number of the next request, or nil after maxLoadRequests.
func (l *load) newRecord() (*record, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastNumber == maxLoadRequests {
		return nil, 0
	}
	l.lastNumber++
	return &record{name: l.name + "-" + strconv.Itoa(l.lastNumber)}, l.lastNumber
}

// isAwaitingRetry reports whether a limit refused the last attempt, so that the caller would try
// again. If the load stops then, the request has no final result and is not recorded.
func (r *record) isAwaitingRetry() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].isLimited()
}

func (l *load) addRecord(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// counts returns the present counters.
func (l *load) counts() counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c counts
	for _, r := range l.records {
		if r.answered {
			c.answered++
		} else {
			c.failed++
		}
		for _, a := range r.attempts {
			if a.isLimited() {
				c.limited++
			}
		}
	}
	return c
}

// isLimited reports whether a limit of the contract refused the attempt. This may happen below the
// limit too: while an entry waits for its share of the limit, it has only its base allowance.
// Callers wait and try again.
func (a attempt) isLimited() bool {
	return a.errorKind == "rate_limited" || a.errorKind == "concurrency_limited"
}

// isNotReady reports whether the daemon refused the connection or has no configuration yet, as
// after its start. Callers then try another daemon.
func (a attempt) isNotReady() bool {
	return a.outcome == outcomeUnsent || a.errorKind == "no_configuration"
}

// sendUntilAdmitted sends a request through one VM after another until one is ready, beginning
// with the one at index n, and again while a limit refuses it. It returns the last attempt.
func (l *load) sendUntilAdmitted(ctx context.Context, r *record, n int, newRequest func() *http.Request, want expectation) attempt {
	for i := 0; ; i++ {
		a := l.send(l.vms[(n+i)%len(l.vms)], newRequest(), want)
		r.attempts = append(r.attempts, a)
		switch {
		case a.isNotReady() && i+1 < len(l.vms):
		case a.isLimited() && ctx.Err() == nil:
			pause.For(ctx, retryInterval)
		default:
			return a
		}
	}
}

// lookup sends one GET request.
func (l *load) lookup(ctx context.Context, r *record, n int) {
	want := expectation{method: http.MethodGet, path: "/stock/" + r.name, echo: r.name}
	a := l.sendUntilAdmitted(ctx, r, n, want.request, want)
	r.answered = a.isAnswered()
}

// note sends one POST request without an operation key.
func (l *load) note(ctx context.Context, r *record, n int) {
	want := expectation{method: http.MethodPost, path: "/notes/" + r.name, echo: r.name, body: strings.Repeat(r.name+" ", 100)}
	a := l.sendUntilAdmitted(ctx, r, n, want.request, want)
	r.answered = a.isAnswered()
}

// operation obtains an operation key from one VM and then sends the operation under this key
// through the VMs in turn until it is answered.
func (l *load) operation(ctx context.Context, r *record, n int) {
	want := expectation{method: http.MethodPost, path: "/orders/" + r.name, echo: r.name, body: strings.Repeat(r.name+" ", 100)}
	issued := l.sendUntilAdmitted(ctx, r, n, want.request, want)
	for i := 1; issued.errorKind == "draining" && i < len(l.vms); i++ {
		// A draining daemon issues no keys, because its record of operations is lost when it exits.
		issued = l.sendUntilAdmitted(ctx, r, n+i, want.request, want)
	}
	if issued.operationKey == "" {
		return
	}
	want.operationKey = issued.operationKey
	var last attempt
	for i := range maxOperationAttempts {
		last = l.sendUntilAdmitted(ctx, r, n+1+i, want.request, want)
		if last.isAnswered() {
			r.answered = true
			break
		}
		if ctx.Err() != nil && i > 0 {
			return
		}
		pause.For(ctx, retryInterval)
	}
	if !r.answered || n%replayEvery != 0 {
		return
	}
	replay := l.sendUntilAdmitted(ctx, r, n+2, want.request, want)
	if at := len(r.attempts) - 1; replay.isAnswered() && string(replay.body) != string(last.body) {
		r.attempts[at].violation = "a replay of the answered operation got a different response"
	}
}

// send sends a request once through one VM and evaluates the response.
func (l *load) send(vm string, req *http.Request, want expectation) attempt {
	a := attempt{vm: vm, outcome: "unknown"}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req.URL.Scheme, req.URL.Host = "http", l.harness.callerAddresses[vm]
	req.Header.Set("Authorization", "Bearer "+l.apiKey)
	resp, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		a.err = err.Error()
		if isUnsent(err) {
			a.outcome = outcomeUnsent
		}
		return a
	}
	defer resp.Body.Close()
	want.evaluate(resp, &a)
	if l.httpMajor != 0 && resp.ProtoMajor != l.httpMajor {
		a.violation = "the response has the wrong protocol " + resp.Proto
	}
	return a
}

// isUnsent reports whether the connection was refused, so that nothing of the request left the
// caller.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// isAnswered reports whether a complete and correct response with status 200 arrived.
func (a attempt) isAnswered() bool {
	return a.outcome == "answered" && a.status == http.StatusOK && a.violation == "" && a.err == ""
}

// String describes the attempt in the report of a failed check.
func (a attempt) String() string {
	text := ""
	if a.errorKind != "" {
		text = strings.TrimSpace(string(a.body))
	}
	return strings.TrimSpace(fmt.Sprintf("%s: %s %d %s %s %s", a.vm, a.outcome, a.status, text, a.violation, a.err))
}
