package suspicion

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against losing a second request that cannot be repeated to a backend server that has just
// failed one.
func TestOneFailureHoldsBackUnrepeatableRequests(t *testing.T) {
	f := New(Default(), epoch)
	if !f.Admit(epoch, Request{}) {
		t.Fatal("a new backend server is suspect")
	}
	f.Observe(epoch, Failure)
	if f.Admit(epoch.Add(time.Millisecond), Request{}) {
		t.Error("a request that cannot be repeated was admitted after a failure")
	}
}

// Guards against a backend server that stays suspect after it has recovered, and against one that
// is trusted again after a single success.
func TestCanarySuccessesEndSuspicion(t *testing.T) {
	f := New(Default(), epoch)
	now := epoch
	for range 5 {
		f.Observe(now, Failure)
		now = now.Add(100 * time.Millisecond)
	}
	f.Observe(now, Success)
	if f.Admit(now, Request{}) {
		t.Fatal("one success after five failures made the backend server trusted")
	}
	successes := 1
	for ; !f.Admit(now, Request{}); successes++ {
		if successes > 12 {
			t.Fatal("still suspect after more than 12 successes")
		}
		now = now.Add(150 * time.Millisecond)
		f.Observe(now, Success)
	}
}

// Guards against canaries that use up the retry budget, and against canaries so rare that a
// recovered backend server gets no request for 2 s.
func TestCanariesBackOffButNeverStop(t *testing.T) {
	f := New(Default(), epoch)
	f.Observe(epoch, Failure)
	now, last, sent := epoch, epoch, 0
	for now.Before(epoch.Add(20 * time.Second)) {
		now = now.Add(10 * time.Millisecond)
		if !f.Suspect(now) {
			t.Fatalf("no longer suspect after %v of failures", now.Sub(epoch))
		}
		if f.Admit(now, Request{Repeatable: true}) {
			if gap := now.Sub(last); gap > 1500*time.Millisecond {
				t.Fatalf("%v without a canary, at most 1.5 s allowed", gap)
			}
			last = now
			sent++
			f.Observe(now, Failure)
		}
	}
	if sent > 20 {
		t.Errorf("%d canaries in 20 s, at most 20 allowed", sent)
	}
}

// Guards against false suspicion at low failure rates. A healthy backend server with 1.2% failures
// must admit nearly all requests that cannot be repeated, and a gray one few of them.
func TestHealthyIsAdmittedAndGrayIsNot(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name               string
		failures           float64
		minShare, maxShare float64
	}{{"sound", 0.012, 0.93, 1}, {"gray", 0.85, 0, 0.1}, {"gray by half", 0.5, 0, 0.25}} {
		f, now := New(Default(), epoch), epoch
		admitted, total := 0, 0
		for range 20000 {
			now = now.Add(150 * time.Millisecond)
			repeatable := random.IntN(3) == 0
			if !repeatable {
				total++
			}
			if !f.Admit(now, Request{Repeatable: repeatable}) {
				continue
			}
			if !repeatable {
				admitted++
			}
			result := Success
			if random.Float64() < c.failures {
				result = Failure
			}
			f.Observe(now, result)
		}
		if share := float64(admitted) / float64(total); share < c.minShare || share > c.maxShare {
			t.Errorf("%s: %.3f of the requests that cannot be repeated were admitted, expected %.2f to %.2f", c.name, share, c.minShare, c.maxShare)
		}
	}
}

// Guards against suspecting a healthy backend server because a service that it calls fails. It also
// guards against never suspecting one whose failures all come late.
func TestLateFailuresAreWeakEvidence(t *testing.T) {
	f := New(Default(), epoch)
	if f.Observe(epoch, LateFailure); f.Suspect(epoch) {
		t.Error("the backend server is suspect after one late failure")
	}
	for range 3 {
		f.Observe(epoch, LateFailure)
	}
	if !f.Suspect(epoch) {
		t.Error("the backend server is not suspect after four late failures in a row")
	}
}

// Guards against requests that a backend server fails with near certainty although they could be
// refused as not run, and against one that nobody may try while it could have recovered.
func TestInsistingRequestsNeedAChance(t *testing.T) {
	f := New(Default(), epoch)
	insisting := Request{Insists: true}
	f.Observe(epoch, Failure)
	f.Observe(epoch, Failure)
	if f.Admit(epoch, insisting) {
		t.Error("admitted right after two failures")
	}
	if !f.Admit(epoch, Request{Insists: true, RouteRepeatable: true}) {
		t.Error("a request that may run twice was held back")
	}
	admitted := time.Duration(0)
	for now := epoch; admitted == 0 && now.Before(epoch.Add(5*time.Second)); now = now.Add(10 * time.Millisecond) {
		if f.Admit(now, insisting) {
			admitted = now.Sub(epoch)
			if !f.Suspect(now) || f.Admit(now, Request{}) {
				t.Error("other requests are admitted too")
			}
		}
	}
	if admitted < 100*time.Millisecond || admitted > 2*time.Second {
		t.Errorf("admitted %v after the failure, want it within the shortest gray periods", admitted)
	}
}

// Guards against requests that all insist at the same time on a backend server whose state nobody
// knows yet, and against those that go to one that is more likely gray than their entry accepts.
func TestInsistingWithinALimitIsRare(t *testing.T) {
	now := time.Now()
	f := New(Default(), now)
	f.Observe(now, Failure)
	r := Request{Insists: true, RouteRepeatable: true, MaxGray: 0.9}
	admitted := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if f.Admit(now, r) {
			admitted++
		}
	}
	if admitted < 9 || admitted > 11 {
		t.Errorf("%d requests admitted in a second, want one in %v", admitted, insistInterval)
	}
	f.Observe(now, Failure)
	now = now.Add(insistInterval)
	if f.Admit(now, r) {
		t.Errorf("admitted at a probability of %.2f, limit %.2f", f.Gray(now), r.MaxGray)
	}
}
