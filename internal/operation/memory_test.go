package operation

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

func testRequest(t testing.TB, now time.Time, customer string) Request {
	return Request{Customer: customer, Route: "/orders", Key: testKey(t, now, "vm1", 1), Body: DigestOf([]byte("order"))}
}

func wantErr(t *testing.T, d Decision, kind errkind.Kind) {
	t.Helper()
	if d.Action != Refuse || d.Err == nil || d.Err.Kind != kind {
		t.Errorf("decision %+v, want refusal %s", d, kind)
	}
}

func answer(body string) Result {
	return Result{Outcome: errkind.Answered, Response: &Response{Status: 201, Header: http.Header{"X-Order": {"7"}},
		Body: []byte(body), Recorded: true}}
}

// A repeat must get the first response, and any other use of the key must be refused.
func TestRepeatGetsRecordedResponse(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	r := testRequest(t, testTime, "a")
	first := m.Begin(testTime, r)
	if first.Action != Run {
		t.Fatalf("first: %+v", first)
	}
	second := m.Begin(testTime, r)
	if second.Action != Wait {
		t.Fatalf("repeat while running: %+v", second)
	}
	if !m.Finish(testTime, first.Ticket, answer("done")) || m.Finish(testTime, first.Ticket, Result{}) {
		t.Error("a run must end exactly once")
	}
	<-second.Done
	third := m.Begin(testTime, r)
	if third.Action != Replay || string(third.Response.Body) != "done" || third.Response.Status != 201 ||
		third.Response.Header.Get("X-Order") != "7" {
		t.Errorf("repeat: %+v", third)
	}
	for _, other := range []Request{
		{Customer: "b", Route: r.Route, Key: r.Key, Body: r.Body},
		{Customer: r.Customer, Route: "/other", Key: r.Key, Body: r.Body},
		{Customer: r.Customer, Route: r.Route, Key: r.Key, Body: DigestOf(nil)},
	} {
		wantErr(t, m.Begin(testTime, other), errkind.OperationConflict)
	}
}

// A cut response must never be replayed as if it were whole.
func TestLargeResponseKeepsDigestOnly(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	r := testRequest(t, testTime, "a")
	large := answer(string(make([]byte, MaxResponseBytes)))
	m.Finish(testTime, m.Begin(testTime, r).Ticket, large)
	d := m.Begin(testTime, r)
	if d.Action != ReplayDigest || d.Response.Body != nil || d.Response.BodyLength != MaxResponseBytes ||
		d.Response.BodyDigest != DigestOf(large.Response.Body) || d.Response.Status != 201 {
		t.Errorf("repeat: %+v", d)
	}
}

// An unknown result must bar every further run; a result without a usable kind must not become a promise.
func TestUnknownNeverRunsAgain(t *testing.T) {
	for _, c := range []struct{ given, want errkind.Kind }{
		{errkind.BackendBroken, errkind.BackendBroken}, {errkind.SlotsFull, errkind.Internal}} {
		m := NewMemory("vm1", 1, Options{})
		r := testRequest(t, testTime, "a")
		m.Finish(testTime, m.Begin(testTime, r).Ticket, Result{Outcome: errkind.Unknown, Kind: c.given})
		wantErr(t, m.Begin(testTime, r), c.want)
	}
}

// A run that ended as not run may run again, and an old ticket must not end the new run.
func TestNotRunMayRunAgain(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	r := testRequest(t, testTime, "a")
	first := m.Begin(testTime, r)
	m.Finish(testTime, first.Ticket, Result{Outcome: errkind.NotRun})
	second := m.Begin(testTime, r)
	if second.Action != Run {
		t.Fatalf("second run: %+v", second)
	}
	if m.Finish(testTime, first.Ticket, Result{Outcome: errkind.NotRun}) {
		t.Error("the ticket of the first run ended the second")
	}
	m.Finish(testTime, second.Ticket, Result{Outcome: errkind.NotRun})
	wantErr(t, m.Begin(testTime.Add(121*time.Second), r), errkind.KeyExpired)
}

// A refused key must be refused for the stated reason, since callers read the outcome from it.
func TestAgeAndOwnerOfKey(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	for _, c := range []struct {
		issued time.Duration
		want   errkind.Kind
	}{{-120 * time.Second, errkind.KeyExpired}, {11 * time.Second, errkind.BadRequest}} {
		wantErr(t, m.Begin(testTime, testRequest(t, testTime.Add(c.issued), "a")), c.want)
	}
	for _, issued := range []time.Duration{-119 * time.Second, 10 * time.Second} {
		if d := m.Begin(testTime, testRequest(t, testTime.Add(issued), "a")); d.Action != Run {
			t.Errorf("key issued at %s: %+v", issued, d)
		}
	}
	r := testRequest(t, testTime, "a")
	wantErr(t, NewMemory("vm1", 2, Options{}).Begin(testTime, r), errkind.OwnerGone)
	wantErr(t, NewMemory("vm2", 1, Options{}).Begin(testTime, r), errkind.OwnerGone)
}

// A clock that steps forward makes the memory forget early. After the step back, the forgotten key must not run again, and
// new keys must work.
func TestClockStepDoesNotRepeatRun(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	r := testRequest(t, testTime, "a")
	m.Finish(testTime, m.Begin(testTime, r).Ticket, answer(""))
	m.Begin(testTime.Add(time.Hour), testRequest(t, testTime.Add(time.Hour), "a"))
	wantErr(t, m.Begin(testTime.Add(time.Second), r), errkind.KeyExpired)
	if d := m.Begin(testTime.Add(2*time.Second), testRequest(t, testTime.Add(2*time.Second), "a")); d.Action != Run {
		t.Errorf("new key after the step back: %+v", d)
	}
}

// An operation that runs longer than the key life must stay in memory, and its waiting repeat must learn the result.
func TestRunOutlivesKey(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	r := testRequest(t, testTime, "a")
	first := m.Begin(testTime, r)
	late := testTime.Add(10 * time.Minute)
	if d := m.Begin(late, r); d.Action != Wait {
		t.Errorf("repeat of a run in progress: %+v", d)
	}
	m.Finish(late, first.Ticket, answer("late"))
	if d := m.Begin(late.Add(time.Second), r); d.Action != Replay {
		t.Errorf("waiting repeat: %+v", d)
	}
	wantErr(t, m.Begin(late.Add(5*time.Second), r), errkind.KeyExpired)
}

// A full memory must refuse new keys, keep the old ones, and let one customer fill only its part.
func TestBounds(t *testing.T) {
	m := NewMemory("vm1", 1, Options{MaxEntries: 10, CustomerPercent: 50})
	var kept []Request
	for i := range 10 {
		r := testRequest(t, testTime, fmt.Sprint("c", i/5))
		m.Finish(testTime, m.Begin(testTime, r).Ticket, answer("x"))
		kept = append(kept, r)
		if i == 4 {
			wantErr(t, m.Begin(testTime, testRequest(t, testTime, "c0")), errkind.OperationMemoryFull)
		}
	}
	wantErr(t, m.Begin(testTime, testRequest(t, testTime, "c2")), errkind.OperationMemoryFull)
	for _, r := range kept {
		if d := m.Begin(testTime, r); d.Action != Replay {
			t.Errorf("key in a full memory: %+v", d)
		}
	}
	after := testTime.Add(121 * time.Second)
	if d := m.Begin(after, testRequest(t, after, "c2")); d.Action != Run || m.Stats().Entries != 1 || m.Stats().Customers != 1 {
		t.Errorf("after expiry: %+v, %+v", d, m.Stats())
	}

	small := NewMemory("vm1", 1, Options{MaxBytes: 3 * (MaxResponseBytes + 1024), CustomerPercent: 100})
	for i := range 3 {
		if d := small.Begin(testTime, testRequest(t, testTime, "a")); d.Action != Run {
			t.Fatalf("run %d: %+v", i, d)
		}
	}
	wantErr(t, small.Begin(testTime, testRequest(t, testTime, "a")), errkind.OperationMemoryFull)
}

// Keys that did not run must not fill the memory while all backend servers refuse.
func TestNotRunKeysMakeRoom(t *testing.T) {
	m := NewMemory("vm1", 1, Options{MaxEntries: 10, CustomerPercent: 100})
	for i := range 100 {
		d := m.Begin(testTime, testRequest(t, testTime, "a"))
		if d.Action != Run {
			t.Fatalf("run %d: %+v", i, d)
		}
		m.Finish(testTime, d.Ticket, Result{Outcome: errkind.NotRun})
	}
	if s := m.Stats(); s.Entries != 10 || s.Bytes > 10*1024 {
		t.Errorf("%+v", s)
	}
}

// Requests that arrive at the same moment must not both run.
func TestConcurrentBegin(t *testing.T) {
	m := NewMemory("vm1", 1, Options{})
	r := testRequest(t, testTime, "a")
	var mu sync.Mutex
	runs, replays := 0, 0
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			d := m.Begin(testTime, r)
			if d.Action == Wait {
				<-d.Done
				d = m.Begin(testTime, r)
			}
			mu.Lock()
			defer mu.Unlock()
			switch d.Action {
			case Run:
				runs++
				m.Finish(testTime, d.Ticket, answer(""))
			case Replay:
				replays++
			}
		})
	}
	wg.Wait()
	if runs != 1 || replays != 49 {
		t.Errorf("%d runs and %d replays", runs, replays)
	}
}

// A situation without a rule would be answered with status 500, and "not run" is allowed only where no request with the key ran.
func TestRules(t *testing.T) {
	for s := range situationCount {
		if r := s.Rule(); r.Advice == "" || r.Kind == errkind.Internal {
			t.Errorf("situation %d has no rule", s)
		}
	}
	for _, s := range []Situation{OwnerUnknown, OwnerUnreachable, OwnerLost, OtherIncarnation, KeyTooOld, StillRunning} {
		if s.Rule().Kind.Answer().Outcome != errkind.Unknown {
			t.Errorf("situation %d promises that the operation did not run", s)
		}
	}
}

// One forward whose end is unknown bars "not run" for the whole request.
func TestAttemptOutcome(t *testing.T) {
	n, u, a := errkind.NotRun, errkind.Unknown, errkind.Answered
	for _, c := range []struct {
		in   []errkind.Outcome
		want errkind.Outcome
	}{{nil, n}, {[]errkind.Outcome{n, n}, n}, {[]errkind.Outcome{u, n}, u}, {[]errkind.Outcome{u, a}, a}} {
		if got := AttemptOutcome(c.in...); got != c.want {
			t.Errorf("AttemptOutcome(%v) = %v, want %v", c.in, got, c.want)
		}
	}
}

// Bodies beyond the bounds must be refused before anything runs.
func TestUploads(t *testing.T) {
	u := NewUploads(1500)
	if err := u.Take(0, 1000); err != nil {
		t.Fatal(err)
	}
	if err := u.Take(0, 501); err == nil || err.Kind != errkind.OperationMemoryFull {
		t.Errorf("over the budget: %v", err)
	}
	u.Give(1000)
	if err := u.Take(0, 1500); err != nil {
		t.Errorf("after return: %v", err)
	}
	if err := NewUploads(10<<20).Take(MaxBodyBytes, 1); err == nil || err.Kind != errkind.RequestTooLarge {
		t.Errorf("over the body bound: %v", err)
	}
}
