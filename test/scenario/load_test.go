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
	loadWorkers = 4
	// maxRecords bounds the requests of one load.
	maxRecords = 20000
	// loadPause is the time between two requests of a worker.
	loadPause = 10 * time.Millisecond
	// callerPatience ends a request whose daemon does not respond at all. It lies above every deadline of the contracts.
	callerPatience = 8 * time.Second
	// repeatPause lies between two sends of one request, as Retry-After asks for in seconds.
	repeatPause = 100 * time.Millisecond
	// maxRepeats bounds the sends of one operation under its key.
	maxRepeats = 8
	// replayEvery is the share of answered operations that are sent once more, to see the recorded response.
	replayEvery = 4
)

// The kinds of load.
const (
	kindLookup    = "lookup"    // GET, may be repeated by the system
	kindNote      = "note"      // POST without a key, must not be repeated by anyone
	kindOperation = "operation" // POST with an operation key, repeated by the load until it is answered
)

// load sends requests of one kind through some VMs until it is stopped.
type load struct {
	name, kind string
	world      *world
	vms        []string
	key        string
	pause      time.Duration
	client     *http.Client
	http       int // the major version that responses must come with, 0 for any
	cancel     context.CancelFunc
	done       sync.WaitGroup
	begun      time.Time
	ended      time.Time

	mu      sync.Mutex
	records []*record
	next    int
}

// record is one request of a caller with all its sends.
type record struct {
	name     string
	attempts []attempt
	// answered is true when a whole and own answer with status 200 came.
	answered bool
}

// attempt is what a caller saw of one send.
type attempt struct {
	vm      string
	outcome string // as the system told, "unknown" when it told nothing, "unsent" when there was no connection
	kind    string
	status  int
	// fault says why a response that ended cleanly is not the whole and own one.
	fault string
	err   string
	body  []byte
	key   string
}

type counts struct{ answered, failed, limited int }

// cmdLoad starts or stops a load: load start NAME lookup|note|operation [via=VM,VM] [customer=NAME] [pause=TIME]
// [http=1|2], load stop NAME. HTTP/2 is without TLS, with one connection to each VM.
func cmdLoad(ts *testscript.TestScript, w *world, args []string) {
	if len(args) == 2 && args[0] == "stop" && w.loads[args[1]] != nil {
		w.loads[args[1]].stop()
		return
	}
	if len(args) < 3 || args[0] != "start" || w.loads[args[1]] != nil {
		ts.Fatalf("usage: load start NAME KIND [via=VM,VM] [customer=NAME] [pause=TIME] [http=1|2], load stop NAME")
	}
	l := &load{
		name: args[1], kind: args[2], world: w, key: "shop-key", pause: loadPause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers}},
	}
	for _, vm := range w.fleet.Documents().VMs {
		l.vms = append(l.vms, vm.VM)
	}
	for _, option := range args[3:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "via":
			l.vms = strings.Split(value, ",")
		case "customer":
			l.key = value + "-key"
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
			l.http = major
			l.client.Transport.(*http.Transport).Protocols = &protocols
		default:
			ts.Fatalf("unknown option %q", option)
		}
	}
	send := map[string]func(context.Context, *record, int){kindLookup: l.lookup, kindNote: l.note, kindOperation: l.operation}[l.kind]
	if send == nil {
		ts.Fatalf("unknown kind of load %q", l.kind)
	}
	w.loads[l.name] = l
	l.start(send)
}

func (l *load) start(send func(context.Context, *record, int)) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.begun = cancel, time.Now()
	for range loadWorkers {
		l.done.Go(func() {
			for ctx.Err() == nil {
				r, n := l.newRecord()
				if r == nil {
					return
				}
				send(ctx, r, n)
				if ctx.Err() == nil || !r.isWaiting() {
					l.finish(r)
				}
				pause.For(ctx, l.pause)
			}
		})
	}
}

// stop ends the load after the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.done.Wait()
	if l.ended.IsZero() {
		l.ended = time.Now()
	}
	l.client.CloseIdleConnections()
}

func (l *load) newRecord() (*record, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == maxRecords {
		return nil, 0
	}
	l.next++
	return &record{name: l.name + "-" + strconv.Itoa(l.next)}, l.next
}

// isWaiting says that the last send was refused by a limit, so that the caller would still send again. When the load stops then, the
// request has no end to judge.
func (r *record) isWaiting() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].isLimited()
}

func (l *load) finish(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

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

// isLimited says that a limit of the contract refused the send. While an entry waits for its share of a limit it has only its
// base allowance, so this may happen below the limit too; callers wait and send again.
func (a attempt) isLimited() bool { return a.kind == "rate_limited" || a.kind == "concurrency_limited" }

// isUnready says that the daemon has just started and serves nothing yet. Callers go to another one, as after a refused
// connection.
func (a attempt) isUnready() bool { return a.outcome == outcomeUnsent || a.kind == "no_configuration" }

// deliver sends a request through one VM after another until one is ready, and again while a limit refuses it.
func (l *load) deliver(ctx context.Context, r *record, n int, build func() *http.Request, want expected) attempt {
	for i := 0; ; i++ {
		a := l.send(l.vms[(n+i)%len(l.vms)], build(), want)
		r.attempts = append(r.attempts, a)
		switch {
		case a.isUnready() && i+1 < len(l.vms):
		case a.isLimited() && ctx.Err() == nil:
			pause.For(ctx, repeatPause)
		default:
			return a
		}
	}
}

func (l *load) lookup(ctx context.Context, r *record, n int) {
	want := expected{method: http.MethodGet, path: "/stock/" + r.name, echo: r.name}
	a := l.deliver(ctx, r, n, want.request, want)
	r.answered = a.isAnswered()
}

func (l *load) note(ctx context.Context, r *record, n int) {
	want := expected{method: http.MethodPost, path: "/notes/" + r.name, echo: r.name, body: strings.Repeat(r.name+" ", 100)}
	a := l.deliver(ctx, r, n, want.request, want)
	r.answered = a.isAnswered()
}

// operation gets a key from one VM and sends the operation through the others in turn until it is answered.
func (l *load) operation(ctx context.Context, r *record, n int) {
	want := expected{method: http.MethodPost, path: "/orders/" + r.name, echo: r.name, body: strings.Repeat(r.name+" ", 100)}
	issued := l.deliver(ctx, r, n, want.request, want)
	for i := 1; issued.kind == "draining" && i < len(l.vms); i++ {
		// A daemon that leaves issues no keys, because its memory of operations ends with it.
		issued = l.deliver(ctx, r, n+i, want.request, want)
	}
	if issued.key == "" {
		return
	}
	want.key = issued.key
	var last attempt
	for i := range maxRepeats {
		last = l.deliver(ctx, r, n+1+i, want.request, want)
		if last.isAnswered() {
			r.answered = true
			break
		}
		if ctx.Err() != nil && i > 0 {
			return
		}
		pause.For(ctx, repeatPause)
	}
	if !r.answered || n%replayEvery != 0 {
		return
	}
	again := l.deliver(ctx, r, n+2, want.request, want)
	if at := len(r.attempts) - 1; again.isAnswered() && string(again.body) != string(last.body) {
		r.attempts[at].fault = "the repeat of an answered operation got another response"
	}
}

// send sends one request to one VM and judges the response.
func (l *load) send(vm string, req *http.Request, want expected) attempt {
	a := attempt{vm: vm, outcome: "unknown"}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req.URL.Scheme, req.URL.Host = "http", l.world.callers[vm]
	req.Header.Set("Authorization", "Bearer "+l.key)
	resp, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		a.err = err.Error()
		if isUnsent(err) {
			a.outcome = outcomeUnsent
		}
		return a
	}
	defer resp.Body.Close()
	want.judge(resp, &a)
	if l.http != 0 && resp.ProtoMajor != l.http {
		a.fault = "the response came with " + resp.Proto
	}
	return a
}

// isUnsent reports that no connection was made, so that nothing of the request left the caller.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

func (a attempt) isAnswered() bool {
	return a.outcome == "answered" && a.status == http.StatusOK && a.fault == "" && a.err == ""
}

// String is a short form for the report of a failed check.
func (a attempt) String() string {
	text := ""
	if a.kind != "" {
		text = strings.TrimSpace(string(a.body))
	}
	return strings.TrimSpace(fmt.Sprintf("%s: %s %d %s %s %s", a.vm, a.outcome, a.status, text, a.fault, a.err))
}
