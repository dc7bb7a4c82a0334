package limits

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

var (
	testTime      = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	acme          = &catalog.Customer{Name: "acme", Generation: 3, Limits: contract.Limits{RatePerSecond: 100, Concurrency: 50}}
	oneRegionPlan = Plan{Daemons: 10, RegionWeight: 1, BaseFactor: 1, BaseBurst: 1}
)

func acmeLimits(string) (contract.Limits, bool) { return acme.Limits, true }

// readyHolder returns a holder whose initial wait of one lease is over at testTime.
func readyHolder(self string, vms ...string) *Holder {
	h := NewHolder(testTime.Add(-time.Hour), self, oneRegionPlan)
	h.SetView(testTime.Add(-time.Hour), NewView(vms))
	return h
}

func requestFrom(vm string, sequence uint64, d Demand) Request {
	d.Customer = acme.Name
	return Request{Sender: Sender{vm, 1}, Sequence: sequence, Demands: []Demand{d}}
}

func grantedRate(t *testing.T, r Response) uint64 {
	t.Helper()
	if len(r.Grants) != 1 {
		t.Fatalf("want one grant, got response %+v", r)
	}
	return r.Grants[0].RateMilli
}

// Guards against two daemons that name different holders for the same VMs, against a change of
// holder when another VM leaves, and against an uneven distribution of customers.
func TestHolderSelection(t *testing.T) {
	var vms []string
	for i := range 20 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	reversed := slices.Clone(vms)
	slices.Reverse(reversed)
	a, b, fewer := NewView(vms), NewView(reversed), NewView(vms[1:])
	counts, moved := map[string]int{}, 0
	for i := range 2000 {
		name := fmt.Sprint("customer", i)
		h := a.Holder(name)
		counts[h]++
		if b.Holder(name) != h {
			t.Fatalf("the order of the VMs changes the holder of %s", name)
		}
		if h != vms[0] && fewer.Holder(name) != h {
			moved++
		}
	}
	for vm, n := range counts {
		if n < 50 || n > 150 {
			t.Errorf("%s holds %d of 2000 customers, expected about 100", vm, n)
		}
	}
	if moved != 0 || NewView(nil).Holder("x") != "" {
		t.Errorf("%d customers moved although their holder stayed", moved)
	}
}

// Guards against a division that is not max-min fair: a large demand would push out small ones, or
// quota would stay unused.
func TestFairLevel(t *testing.T) {
	for _, c := range []struct {
		quota   uint64
		demands []uint64
		want    uint64
	}{
		{100, []uint64{10, 20}, 100}, {100, []uint64{10, 200, 200}, 45}, {90, []uint64{1000, 1000, 1000}, 30},
		{100, []uint64{5, 30, 40, 500}, 32}, {100, nil, 100}, {0, []uint64{1}, 0}, {100, []uint64{1 << 63, 1 << 63, 50}, 33},
	} {
		if got := fairLevel(c.quota, len(c.demands), func(i int) uint64 { return c.demands[i] }); got != c.want {
			t.Errorf("fairLevel(%d, %v) = %d, want %d", c.quota, c.demands, got, c.want)
		}
	}
}

// Guards against a holder that grants too early. It does not know the shares granted by the process
// before it, or by another holder while it was not the holder itself.
func TestHolderWaitsOneLease(t *testing.T) {
	h := NewHolder(testTime, "h", oneRegionPlan)
	h.SetView(testTime, NewView([]string{"h"}))
	for i, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {Lease, 0}, {holderLeaseFor(acme.Limits), 1}} {
		r := h.Handle(testTime.Add(c.after), requestFrom("e", uint64(i+1), Demand{RateMilli: 1000}), acmeLimits)
		if len(r.Grants) != c.want || len(r.NotHolder) != 1-c.want {
			t.Errorf("after %s: %+v", c.after, r)
		}
	}
	h.SetView(testTime.Add(time.Minute), NewView(nil))
	h.SetView(testTime.Add(time.Minute+time.Second), NewView([]string{"h"}))
	if r := h.Handle(testTime.Add(time.Minute+2*time.Second), requestFrom("e", 9, Demand{RateMilli: 1000}), acmeLimits); len(r.Grants) != 0 {
		t.Errorf("granted within a lease after the daemon became holder again: %+v", r)
	}
}

// Guards against a late or repeated request that changes what the holder counts: it could free a
// share that is still in use.
func TestHolderIgnoresOutOfOrderRequests(t *testing.T) {
	h := readyHolder("h", "h")
	if r := grantedRate(t, h.Handle(testTime, requestFrom("e1", 5, Demand{RateMilli: 90000}), acmeLimits)); r != 90000 {
		t.Fatalf("first request: granted rate %d", r)
	}
	if r := h.Handle(testTime, requestFrom("e1", 4, Demand{}), acmeLimits); len(r.Grants) != 0 {
		t.Errorf("out-of-order request got %+v", r)
	}
	if r := grantedRate(t, h.Handle(testTime, requestFrom("e2", 1, Demand{RateMilli: 50000}), acmeLimits)); r != 0 {
		t.Errorf("granted %d although the whole quota is in use", r)
	}
}

// Guards against a returned share that is not free at once, and against a reduced one that is
// granted to others before its entry has learned of the reduction.
func TestReturnedAndReducedShares(t *testing.T) {
	h := readyHolder("h", "h")
	h.Handle(testTime, requestFrom("e1", 1, Demand{RateMilli: 90000}), acmeLimits)
	h.Handle(testTime, requestFrom("e2", 1, Demand{RateMilli: 90000}), acmeLimits)
	if r := grantedRate(t, h.Handle(testTime, requestFrom("e1", 2, Demand{RateMilli: 90000, HeldRateMilli: 90000}), acmeLimits)); r != 45000 {
		t.Errorf("e1 got %d, want the fair level 45000", r)
	}
	if r := grantedRate(t, h.Handle(testTime, requestFrom("e2", 2, Demand{RateMilli: 90000}), acmeLimits)); r != 0 {
		t.Errorf("e2 got %d while e1 may use its old share", r)
	}
	h.Handle(testTime, requestFrom("e1", 3, Demand{RateMilli: 90000, HeldRateMilli: 45000}), acmeLimits)
	if r := grantedRate(t, h.Handle(testTime, requestFrom("e2", 3, Demand{RateMilli: 90000}), acmeLimits)); r != 45000 {
		t.Errorf("e2 got %d after e1 reported its reduced share", r)
	}
	h.Handle(testTime, requestFrom("e1", 4, Demand{}), acmeLimits)
	if r := grantedRate(t, h.Handle(testTime, requestFrom("e2", 4, Demand{RateMilli: 90000, HeldRateMilli: 45000}), acmeLimits)); r != 90000 {
		t.Errorf("e2 got %d after e1 returned its share", r)
	}
}

// Guards against a holder that grants concurrency to other entries while requests in flight beyond
// a grant still use it.
func TestHolderCountsInFlight(t *testing.T) {
	h := readyHolder("h", "h")
	h.Handle(testTime, requestFrom("e1", 1, Demand{RateMilli: 1, Concurrency: 2, InFlight: 41}), acmeLimits)
	r := h.Handle(testTime, requestFrom("e2", 1, Demand{RateMilli: 1, Concurrency: 45}), acmeLimits)
	if r.Grants[0].Concurrency != 5 {
		t.Errorf("granted concurrency %d of 45 with 40 in flight elsewhere beyond the base allowance", r.Grants[0].Concurrency)
	}
}

// Guards against idle customers and senders that stay in the holder's memory.
func TestHolderRemovesIdleState(t *testing.T) {
	h := readyHolder("h", "h")
	h.Handle(testTime, requestFrom("e1", 1, Demand{RateMilli: 1}), acmeLimits)
	for i := range 4 {
		h.Handle(testTime.Add(time.Duration(i+1)*maxHolderLease), Request{Sender: Sender{"e2", 1}, Sequence: uint64(i + 1)}, acmeLimits)
	}
	if s := h.Stats(); s != (HolderStats{Senders: 1}) {
		t.Errorf("%+v", s)
	}
}

// Guards against an entry without a share that admits more than its base allowance, and against
// refusals that do not name limit and contract.
func TestBaseAllowance(t *testing.T) {
	l := NewLimiter(testTime, Sender{"e", 1}, oneRegionPlan)
	if d := l.Admit(testTime, acme); !d.OK {
		t.Fatalf("first request: %+v", d)
	}
	d := l.Admit(testTime, acme)
	if d.OK || d.Err.Kind != errkind.ConcurrencyLimited || d.Wait == 0 || !strings.Contains(d.Err.Detail, "concurrency 50") {
		t.Errorf("second request in flight: %+v", d)
	}
	l.Release("acme")
	d = l.Admit(testTime, acme)
	if d.OK || d.Err.Kind != errkind.RateLimited || !strings.Contains(d.Err.Detail, "ratePerSecond 100") ||
		!strings.Contains(d.Err.Detail, "customer acme, generation 3") {
		t.Errorf("second request at the same moment: %+v", d)
	}
	// 100 requests per second, a tenth of them reserved, 10 daemons: one request per second each.
	if d := l.Admit(testTime.Add(999*time.Millisecond), acme); d.OK {
		t.Error("base allowance refilled too early")
	}
	if d := l.Admit(testTime.Add(time.Second), acme); !d.OK {
		t.Errorf("base allowance did not refill: %+v", d)
	}
}

// Guards against a share that is used for longer than one lease after its request was sent, also
// when only the wall clock shows it because the VM was suspended.
func TestShareExpires(t *testing.T) {
	s := share{holder: "h", sent: testTime, wallSent: testTime, lease: Lease}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {Lease - 1, true}, {Lease, false}, {-1, false}} {
		if s.valid(testTime.Add(c.after)) != c.want {
			t.Errorf("valid after %s is not %v", c.after, c.want)
		}
	}
	if s.wallSent = testTime.Add(-Lease); s.valid(testTime) {
		t.Error("valid although the wall clock passed the lease")
	}
}

// Guards against shares that are too small for one request per lease. They would never admit any,
// and all of the many entries of a small customer would starve.
func TestSmallQuotaIsGrantedInWholeRequests(t *testing.T) {
	h := readyHolder("h", "h")
	for round := range 4 {
		now := testTime.Add(time.Duration(round) * renewalAge(Lease))
		usable, sum := 0, uint64(0)
		for i := range 2000 {
			r := grantedRate(t, h.Handle(now, requestFrom(fmt.Sprint("e", i), uint64(round+1), Demand{RateMilli: 5000, Concurrency: 1}), acmeLimits))
			if sum += r; r > 0 {
				usable++
			}
			if r > 0 && r < minUsefulRateMilli(acme.Limits) {
				t.Fatalf("grant of %d/1000 a second is below one request in a lease", r)
			}
		}
		if sum > oneRegionPlan.RegionRateMilli(acme.Limits) || round == 3 && usable < 400 {
			t.Errorf("round %d: %d usable grants, sum of rates %d", round, usable, sum)
		}
	}
}

// Guards against an entry that returns a share before the share has earned its initial token. The
// next grant would bring another initial token.
func TestShareIsKeptUntilInitialTokenIsEarned(t *testing.T) {
	small := &catalog.Customer{Name: "small", Generation: 1, Limits: contract.Limits{RatePerSecond: 1, Concurrency: 10}}
	l := NewLimiter(testTime, Sender{"e", 1}, oneRegionPlan)
	l.SetView(NewView([]string{"h"}))
	l.Admit(testTime, small)
	l.Admit(testTime, small)
	out := l.Tick(testTime.Add(TickInterval))
	if len(out) != 1 {
		t.Fatalf("%d requests for shares", len(out))
	}
	l.Apply(testTime.Add(TickInterval), out[0], Response{Grants: []Grant{{"small", minUsefulRateMilli(small.Limits), 5}}})
	admitted := 0
	for now := testTime.Add(2 * TickInterval); now.Before(testTime.Add(SmallLimitLease)); now = now.Add(TickInterval) {
		if now.Sub(testTime) < time.Second && l.Admit(now, small).OK {
			admitted++
			l.Release("small")
		}
		for _, o := range l.Tick(now) {
			if o.Request.Demands[0].RateMilli == 0 {
				t.Fatalf("share returned after %s", now.Sub(testTime))
			}
		}
	}
	if admitted != 1 {
		t.Errorf("%d requests admitted by a share of one request", admitted)
	}
}

// Guards against requests in flight that are no longer counted once their share has ended. They
// must be reported, and keep new requests out.
func TestInFlightOutlivesShare(t *testing.T) {
	l := NewLimiter(testTime, Sender{"e", 1}, oneRegionPlan)
	l.SetView(NewView([]string{"h"}))
	l.Admit(testTime, acme)
	l.Admit(testTime, acme)
	out := l.Tick(testTime.Add(TickInterval))
	l.Apply(testTime.Add(TickInterval), out[0], Response{Grants: []Grant{{"acme", 90000, 10}}})
	for i := range 20 {
		l.Admit(testTime.Add(TickInterval+time.Duration(i)*100*time.Millisecond), acme)
	}
	late := testTime.Add(2 * Lease)
	if d := l.Admit(late, acme); d.OK || d.Err.Kind != errkind.ConcurrencyLimited {
		t.Errorf("request admitted although 11 in flight outlive their share: %+v", d)
	}
	out = l.Tick(late)
	if len(out) != 1 || out[0].Request.Demands[0].InFlight != 11 {
		t.Errorf("requests in flight are not reported: %+v", out)
	}
}

// Guards against an entry that admits no more than its base allowance while its holder waits, and
// against one that uses the larger allowance beside a share: a holder that grants counts on the
// base allowance alone.
func TestLargerAllowanceWhileHolderWaits(t *testing.T) {
	plan := Plan{Daemons: 10, RegionWeight: 1, BaseBurst: 1000}
	l := NewLimiter(testTime, Sender{"e", 1}, plan)
	l.SetView(NewView([]string{"h"}))
	inFlight := 0
	admit := func(after time.Duration) int {
		for l.Admit(testTime.Add(after), wideCustomer).OK {
			inFlight++
		}
		return inFlight
	}
	request := func(after time.Duration) OutgoingRequest {
		out := l.Tick(testTime.Add(after))
		if len(out) != 1 {
			t.Fatalf("%d requests for shares after %s", len(out), after)
		}
		return out[0]
	}
	if n := admit(0); n != 4 { // a tenth of 400, divided among 10 daemons
		t.Errorf("%d in flight before the holder answered", n)
	}
	l.Apply(testTime.Add(200*time.Millisecond), request(TickInterval), Response{NotHolder: []string{"wide"}})
	if n := admit(200 * time.Millisecond); n != 16 {
		t.Errorf("%d in flight while the holder waits", n)
	}
	for inFlight > 0 {
		inFlight--
		l.Release("wide")
	}
	if n := admit(TickInterval + Lease); n != 4 {
		t.Errorf("%d in flight one lease after the holder was asked", n)
	}
	o := request(6 * time.Second)
	l.Apply(testTime.Add(6*time.Second), o, Response{NotHolder: []string{"wide"}})
	l.Apply(testTime.Add(7*time.Second), request(7*time.Second), Response{Grants: []Grant{{"wide", 1000, 3}}})
	if n := admit(7 * time.Second); n != 7 {
		t.Errorf("%d in flight with a share of 3", n)
	}
	l.Apply(testTime.Add(8*time.Second), o, Response{NotHolder: []string{"wide"}}) // superseded by a newer request
	if s := l.shardOf("wide").states["wide"]; s.baseConcurrency(testTime.Add(7*time.Second+Lease), plan) != 4 {
		t.Error("the larger allowance came back although the holder has granted")
	}
}

// Guards against base allowances that exceed the contract. Beyond the first request of each daemon,
// those of all daemons together are at most a tenth of the limit, or 0.4 of it while holders wait.
// With the quotas of all regions they must stay within the limit.
func TestBaseAllowancesKeepToContract(t *testing.T) {
	for concurrency := 1; concurrency < 3000; concurrency++ {
		l := contract.Limits{RatePerSecond: 100, Concurrency: concurrency}
		for _, daemons := range []int{1, 2, 3, 7, 10, 120, 1200} {
			p := Plan{Daemons: daemons, RegionWeight: 0.5}
			base, waiting := int(p.BaseConcurrency(l))*daemons, int(p.WaitingConcurrency(l))*daemons
			if base > max(daemons, concurrency/10) || waiting > max(daemons, concurrency*4/10) || base < daemons || waiting < base {
				t.Fatalf("concurrency %d, %d daemons: base allowances %d, %d while holders wait", concurrency, daemons, base, waiting)
			}
			if shares := 2 * int(p.RegionConcurrency(l)); concurrency >= 10*daemons && concurrency > 2 && shares+base > concurrency {
				t.Fatalf("concurrency %d, %d daemons: %d in shares and %d in base allowances", concurrency, daemons, shares, base)
			}
		}
	}
}
