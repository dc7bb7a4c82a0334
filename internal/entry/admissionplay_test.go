package entry_test

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/retry"
	"github.com/cowsliprun/cowsliprun/internal/suspicion"
)

// workKind is one kind of request of an admission play.
type workKind struct {
	name           string
	kind           registry.Kind
	rank           int
	rate           float64 // requests a second
	work           time.Duration
	goal, deadline time.Duration
	burstFrom      time.Duration // begin of a burst of burstLength, none if 0
}

const (
	burstFactor = 2.3
	burstLength = 6 * time.Second
	// Callers come back this many times, if the Retry-After is at most a third of the time left.
	callerReturns = 2
	// grayAnswer is the time in which a gray server fails a request.
	grayAnswer = 7 * time.Millisecond
)

// admissionPlay is the load and the fleet of a play.
type admissionPlay struct {
	entries, servers, slots int
	kinds                   []workKind
	length                  time.Duration
	// gray is the share of its time in which a server fails nearly all requests at once; slow the
	// share of the servers that are four times slower.
	gray, slow float64
}

// workServer is one backend server of an admission play.
type workServer struct {
	play   *admissionPlay
	mu     sync.Mutex
	random *rand.Rand
	start  time.Time
	phase  time.Duration
	slow   bool
	// grayFailures counts the requests that the server failed because it was gray.
	grayFailures atomic.Int64
}

func (s *workServer) draw(path string) (work time.Duration, fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gray := float64((time.Since(s.start)+s.phase)%playGrayPeriod) < s.play.gray*float64(playGrayPeriod)
	draw, size := s.random.Float64(), 0.5+s.random.Float64()
	if gray && draw < 0.95 {
		s.grayFailures.Add(1)
		return grayAnswer, true
	}
	for _, k := range s.play.kinds {
		if strings.HasPrefix(path, "/"+k.name+"/") {
			work = time.Duration(size * float64(k.work))
		}
	}
	if s.slow {
		work *= 4
	}
	return work, draw < playOwnFailures
}

// RoundTrip implements http.RoundTripper for the home of the server.
func (s *workServer) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	work, fails := s.draw(r.URL.Path)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if fails {
		return nil, errors.New("connection reset by peer")
	}
	return &http.Response{StatusCode: 200, Header: http.Header{}, Request: r, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// newFleet returns the fleet of the play with the options that a daemon with a registry uses.
func (p *admissionPlay) newFleet(random *rand.Rand, queue bool) (*playFleet, []*workServer) {
	table := registry.NewTable()
	c := &registry.Configuration{Version: 1, Services: []registry.Service{{Name: "desk"}}}
	for _, k := range p.kinds {
		c.Routes = append(c.Routes, registry.Route{
			Host: "shop", PathPrefix: "/" + k.name + "/", Kind: k.kind, Rank: k.rank, Goal: k.goal, Timeout: k.deadline, MaxBackends: 2,
			Parts: []catalog.WeightedService{{Service: "desk", Weight: 1}},
		})
	}
	changes := []registry.Change{{Key: "config", Revision: 1, Configuration: c}}
	for i := range p.servers {
		id := fmt.Sprint("b", i)
		changes = append(changes, registry.Change{Key: id, Revision: uint64(i + 2), Registration: &registry.Registration{ID: id, Service: "desk", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "a", Slots: p.slots}})
	}
	table.Apply(time.Now(), changes)
	snapshot := registry.Build(table, registry.BuildOptions{Regions: map[string]string{"a": "r"}, PeerPort: 1, FloorPercent: 70, RetryPercent: 15})
	f := &playFleet{homes: map[string]*home.Home{}, oneWay: 700 * time.Microsecond}
	suspect := suspicion.Default()
	var servers []*workServer
	for i := range p.entries {
		vm, seed := fmt.Sprintf("10.0.0.%d", i), random.Uint64()
		if i < p.servers {
			server := &workServer{
				play: p, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), phase: time.Duration(random.Int64N(int64(playGrayPeriod))),
				slow: float64(i) < p.slow*float64(p.servers),
			}
			servers = append(servers, server)
			f.homes[vm] = home.New(home.Options{
				VM: vm, Seed: seed, Transport: server, Suspicion: &suspect, Queue: queue,
				ChargeRetry: func(now time.Time, customer, service string, repeatable bool) bool {
					return f.entries[i].ChargeRetry(now, customer, service, repeatable)
				},
			})
			f.homes[vm].Apply(snapshot)
		}
		var admission *entry.AdmissionOptions
		if queue {
			admission = &entry.AdmissionOptions{Inner: func(_ *catalog.Customer, r *catalog.Route) bool { return r.PathPrefix == "/call/" }}
		}
		f.entries = append(f.entries, entry.New(entry.Options{
			Admission: admission,
			VM:        vm, Locality: catalog.Locality{DataCentre: "a", Region: "r"}, Seed: seed, Snapshot: func() *catalog.Snapshot { return snapshot }, Transport: f,
			Confirm: true, MaxWait: 2 * time.Second, Balance: balance.Options{RegionWide: true, ExcludeAvoided: true, LoadTTL: 300 * time.Millisecond, SubsetSize: 32},
			Retry: retry.Options{Burst: 1, FreeRefusals: true, MinRetryInterval: 18 * time.Second, RerunShare: 0.4, InitialShare: 0.5, BorrowFromHomes: true},
		}))
	}
	return f, servers
}

// workResult counts how the requests of one kind ended for their callers.
type workResult struct {
	sent, inGoal, late, refused, told, unknown int
	// wait is the time that refused callers spent in all until their last refusal.
	wait time.Duration
}

func (r *workResult) served() float64 { return float64(r.inGoal+r.late) / float64(max(1, r.sent)) }

func (r *workResult) add(o workResult) {
	r.sent, r.inGoal, r.late, r.refused = r.sent+o.sent, r.inGoal+o.inGoal, r.late+o.late, r.refused+o.refused
	r.told, r.unknown, r.wait = r.told+o.told, r.unknown+o.unknown, r.wait+o.wait
}

func (r workResult) String() string {
	n := float64(max(1, r.sent))
	return fmt.Sprintf("sent %5d, in goal %.3f, late %.3f, refused %.3f, unknown %.3f; %d refusals told a time, %v until the last",
		r.sent, float64(r.inGoal)/n, float64(r.late)/n, float64(r.refused)/n, float64(r.unknown)/n, r.told, (r.wait / time.Duration(max(1, r.refused))).Round(time.Millisecond))
}

// sendWork sends one request and comes back as a caller does.
func sendWork(e *entry.Entry, k *workKind, result *workResult) {
	method := http.MethodPost
	if k.kind != registry.NonIdempotent {
		method = http.MethodGet
	}
	start := time.Now()
	for try := 0; ; try++ {
		left := k.deadline - time.Since(start)
		r := httptest.NewRequest(method, "http://shop/"+k.name+"/1", nil)
		r.Header.Set(forward.HeaderCallerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, r)
		took := time.Since(start)
		after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		pause := time.Duration(after * float64(time.Second))
		switch {
		case w.Code == http.StatusOK && took <= k.goal:
			result.inGoal++
		case w.Code == http.StatusOK:
			result.late++
		case w.Header().Get(forward.HeaderOutcome) != "not-run":
			result.unknown++
		case err == nil && pause <= (k.deadline-took)/3 && try < callerReturns:
			result.told++
			time.Sleep(pause)
			continue
		default:
			result.refused++
			result.wait += took
		}
		result.sent++
		return
	}
}

// admissionResult is the result of a play by kind, with the tries of all requests and the failures
// of gray servers.
type admissionResult struct {
	kinds        []workResult
	asked        int64
	grayFailures int64
}

// tries returns the number of tries for each served request.
func (r *admissionResult) tries() float64 {
	served := 0
	for _, k := range r.kinds {
		served += k.inGoal + k.late
	}
	return float64(r.asked) / float64(max(1, served))
}

// run plays with some seeds and returns the sums.
func (p *admissionPlay) run(t *testing.T, queue bool, seeds int) admissionResult {
	sum := admissionResult{kinds: make([]workResult, len(p.kinds))}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			f, servers := p.newFleet(random, queue)
			var requests sync.WaitGroup
			var mu sync.Mutex
			begin := time.Now()
			for time.Since(begin) < p.length {
				total, rates := 0.0, make([]float64, len(p.kinds))
				for i, k := range p.kinds {
					rates[i] = k.rate
					if at := time.Since(begin); k.burstFrom > 0 && at >= k.burstFrom && at < k.burstFrom+burstLength {
						rates[i] *= burstFactor
					}
					total += rates[i]
				}
				time.Sleep(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
				draw, i := random.Float64()*total, 0
				for ; i < len(rates)-1 && draw >= rates[i]; i++ {
					draw -= rates[i]
				}
				e := f.entries[random.IntN(len(f.entries))]
				requests.Go(func() {
					var result workResult
					sendWork(e, &p.kinds[i], &result)
					mu.Lock()
					defer mu.Unlock()
					sum.kinds[i].add(result)
				})
			}
			requests.Wait()
			sum.asked += f.asked.Load()
			for _, s := range servers {
				sum.grayFailures += s.grayFailures.Load()
			}
		})
	}
	for i, k := range p.kinds {
		t.Logf("queue %v, %-8s %v", queue, k.name, sum.kinds[i])
	}
	t.Logf("queue %v: %.2f tries for each served request, %d failures at gray servers", queue, sum.tries(), sum.grayFailures)
	return sum
}

// callsAndDownloads is a service whose sound servers are full: 5.6 of 8 servers with 5 slots each
// for 29 requests at a time, with calls of running work first.
var callsAndDownloads = admissionPlay{
	entries: 12, servers: 8, slots: 5, length: 20 * time.Second, gray: 0.3,
	kinds: []workKind{
		{name: "call", kind: registry.NonIdempotent, rank: 0, rate: 50, work: 180 * time.Millisecond, goal: 600 * time.Millisecond, deadline: 2 * time.Second},
		{name: "fetch", kind: registry.Download, rank: 2, rate: 22, work: time.Second, goal: 4 * time.Second, deadline: 15 * time.Second},
	},
}

// burstOfOneKind is a service of 43 servers with 11 slots (473) that 97 entries share. It is used
// for 375 requests at a time, and for 563 and 489 in the bursts.
var burstOfOneKind = admissionPlay{
	entries: 97, servers: 43, slots: 11, length: 22 * time.Second,
	kinds: []workKind{
		{name: "call", kind: registry.NonIdempotent, rank: 0, rate: 90, work: 250 * time.Millisecond, goal: 800 * time.Millisecond, deadline: 3 * time.Second},
		{name: "book", kind: registry.NonIdempotent, rank: 1, rate: 80, work: 1100 * time.Millisecond, goal: 3 * time.Second, deadline: 15 * time.Second, burstFrom: 10 * time.Second},
		{name: "look", kind: registry.Idempotent, rank: 2, rate: 145, work: time.Second, goal: 2 * time.Second, deadline: 8 * time.Second, burstFrom: 2 * time.Second},
		{name: "fetch", kind: registry.Download, rank: 3, rate: 40, work: 3 * time.Second, goal: 6 * time.Second, deadline: 20 * time.Second},
	},
}

// scaled returns the play with other rates, and with gray and slow servers.
func (p admissionPlay) scaled(rates, gray, slow float64) *admissionPlay {
	p.gray, p.slow, p.kinds = gray, slow, slices.Clone(p.kinds)
	for i := range p.kinds {
		p.kinds[i].rate *= rates
	}
	return &p
}

// longPlays adds the plays that take minutes with the race detector.
var longPlays = flag.Bool("admission.long", false, "run the long admission plays too")

// Guards against queues that leave callers worse off than requests that each ask by themselves: calls
// of running work that fail at gray servers or are refused while downloads take the slots, and tries
// that cost homes more than what they gain. Some failures remain: the requests that meet the onset of
// a gray period, and those that show that it has ended.
func TestQueuesServeCallsOfRunningWorkFirst(t *testing.T) {
	before, after := callsAndDownloads.run(t, false, 2), callsAndDownloads.run(t, true, 2)
	call, callBefore := after.kinds[0], before.kinds[0]
	if call.served() < 0.92 || call.served() < callBefore.served() {
		t.Errorf("%.3f of the calls are served, want 0.92 and at least the %.3f without queues", call.served(), callBefore.served())
	}
	if share := float64(call.unknown) / float64(call.sent); share > 0.065 {
		t.Errorf("%.3f of the calls have an unknown outcome, want at most 0.065", share)
	}
	if after.tries() > 0.7*before.tries() {
		t.Errorf("%.1f tries for each served request, want at most 0.7 of the %.1f without queues", after.tries(), before.tries())
	}
	if after.grayFailures > before.grayFailures {
		t.Errorf("%d failures at gray servers, want at most the %d without queues", after.grayFailures, before.grayFailures)
	}
}

// Guards against a burst on one kind that takes the slots of more urgent kinds or starves the least
// urgent one, and against requests that ask ever more homes meanwhile. The load is 0.99 of the slots
// and 1.5 in the first burst.
func TestBurstIsTakenFromLessUrgentKinds(t *testing.T) {
	p := burstOfOneKind.scaled(1.25, 0, 0)
	result := p.run(t, true, 1)
	all := workResult{}
	for _, k := range result.kinds {
		all.add(k)
	}
	for i, k := range result.kinds {
		if k.served() < all.served()/4 {
			t.Errorf("%.3f of %s are served, want at least a quarter of the %.3f of all", k.served(), p.kinds[i].name, all.served())
		}
		if i > 0 && k.served() > result.kinds[i-1].served()+0.02 {
			t.Errorf("%s are served more often than the more urgent %s", p.kinds[i].name, p.kinds[i-1].name)
		}
	}
	for i, k := range result.kinds[:2] {
		if inGoal := float64(k.inGoal) / float64(k.sent); inGoal < 0.95 {
			t.Errorf("%.3f of %s are in time, want at least 0.95", inGoal, p.kinds[i].name)
		}
	}
	if result.tries() > 7 {
		t.Errorf("%.1f tries for each served request, want at most a third of the 21 without queues", result.tries())
	}
}

// Guards against requests that wait until their deadline at a home whose daemon is paused while it
// holds them in its queue.
func TestRequestsLeaveQueueOfPausedDaemon(t *testing.T) {
	p := admissionPlay{entries: 4, servers: 4, slots: 2, kinds: []workKind{
		{name: "book", kind: registry.NonIdempotent, work: 100 * time.Millisecond, goal: time.Second, deadline: 6 * time.Second},
	}}
	synctest.Test(t, func(t *testing.T) {
		f, _ := p.newFleet(rand.New(rand.NewPCG(1, 9)), true)
		f.paused = "10.0.0.0"
		var result workResult
		for i := range 12 {
			sendWork(f.entries[1+i%3], &p.kinds[0], &result)
		}
		t.Log(result)
		if result.inGoal+result.late+result.unknown != 12 || result.unknown > 1 {
			t.Errorf("want all served but those that a server fails by itself")
		}
	})
}

// Shows what callers get with and without the queues in the plays that are too long for each run.
func TestLongAdmissionPlays(t *testing.T) {
	if !*longPlays {
		t.Skip("runs with -admission.long")
	}
	for _, queue := range []bool{false, true} {
		callsAndDownloads.run(t, queue, 6)
		burstOfOneKind.run(t, queue, 1)
		burstOfOneKind.scaled(1.25, 0, 0).run(t, queue, 1)
		burstOfOneKind.scaled(1.1, 0.1, 0).run(t, queue, 1)
		burstOfOneKind.scaled(0.6, 0, 1.0/3).run(t, queue, 1)
	}
}
