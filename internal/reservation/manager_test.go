package reservation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// newService returns a service with n members on separate VMs.
func newService(n, floor int) *Service {
	s := &Service{Name: "counter", Revision: 1, Floor: floor}
	for i := range n {
		s.Members = append(s.Members, Member{Backend: fmt.Sprintf("counter-%02d", i), VM: fmt.Sprintf("vm-n1-%03d", i)})
	}
	return s
}

// newActiveManager returns the Manager of a VM and the time. Its backend servers are active and its
// wait after the start is over.
func newActiveManager(vm string, s *Service) (*Manager, time.Time) {
	m := New(vm, epoch)
	m.Configure(epoch, []*Service{s})
	now := epoch.Add(Lease + ClockMargin)
	for _, b := range s.Members {
		m.SetCondition(now, b.Backend, Active)
	}
	m.Tick(now)
	return m, now
}

// Guards against granting a reservation although a condition of a grant is not met. Each case but
// the first breaks one condition.
func TestGrantConditions(t *testing.T) {
	s := newService(4, 2)
	good := Reservation{Requester: "counter-00", Grantor: "counter-01", Service: "counter", Revision: 1}
	with := func(change func(*Reservation)) Reservation { r := good; change(&r); return r }
	for name, c := range map[string]struct {
		r         Reservation
		lease     time.Duration
		condition Condition
		want      bool
	}{
		"active":           {good, Lease, Active, true},
		"warming":          {good, Lease, Warming, false},
		"suspect":          {good, Lease, Suspect, false},
		"out":              {good, Lease, Out, false},
		"ramping":          {good, Lease, Ramping, false},
		"leaving":          {good, Lease, Leaving, false},
		"longer lease":     {good, Lease + time.Second, Active, false},
		"other revision":   {with(func(r *Reservation) { r.Revision = 2 }), Lease, Active, false},
		"other service":    {with(func(r *Reservation) { r.Service = "hotel" }), Lease, Active, false},
		"not of this home": {with(func(r *Reservation) { r.Grantor = "counter-02" }), Lease, Active, false},
		"itself":           {with(func(r *Reservation) { r.Requester = r.Grantor }), Lease, Active, false},
	} {
		m, now := newActiveManager("vm-n1-001", s)
		m.SetCondition(now, "counter-01", c.condition)
		if got := m.Grant(now, c.lease, []Reservation{c.r})[0]; got != c.want {
			t.Errorf("%s: granted = %v, want the opposite", name, got)
		}
		if held := m.HeldUntil("counter-01").After(now); held != c.want {
			t.Errorf("%s: HeldUntil in the future = %v, want the opposite", name, held)
		}
	}
	m, now := newActiveManager("vm-n1-001", s)
	if m.RequestOut(now, "counter-01"); m.Grant(now, Lease, []Reservation{good})[0] {
		t.Error("granted while the backend server itself wants to leave service")
	}
}

// reserveAndRequireOut grants all messages at once and requires that the backend server may be out.
func reserveAndRequireOut(t *testing.T, m *Manager, now time.Time, backend string) {
	t.Helper()
	m.RequestOut(now, backend)
	for _, msg := range m.Tick(now) {
		m.Result(now, msg.ID, slices.Repeat([]bool{true}, len(msg.Reservations)))
	}
	if !m.MayBeOut(now, backend) {
		t.Fatal("not allowed out although all siblings granted")
	}
}

// Guards against reservations that are still used after the process was suspended. A late Tick
// shows this, or a monotonic clock that stood still. Granted reservations must not be shortened.
func TestSuspensionDropsHeldButKeepsGranted(t *testing.T) {
	s := newService(5, 2)
	s.Members[4].VM = s.Members[1].VM
	for name, c := range map[string]struct{ clock, wall time.Duration }{
		"late tick":        {MaxTickGap + time.Millisecond, 0},
		"clock stood":      {0, 10 * time.Second},
		"wall set back":    {0, -time.Second},
		"lease ran out":    {Lease, 0},
		"many small jumps": {0, 0},
	} {
		m, now := newActiveManager("vm-n1-001", s)
		m.Grant(now, Lease, []Reservation{{Requester: "counter-00", Grantor: "counter-04", Service: "counter", Revision: 1}})
		held := m.HeldUntil("counter-04")
		reserveAndRequireOut(t, m, now, "counter-01")
		var ahead time.Duration
		m.wallClock = func(t time.Time) time.Time {
			if t.Equal(epoch) {
				return t
			}
			return t.Add(ahead)
		}
		ahead = c.wall
		if name == "many small jumps" {
			for ahead < Lease {
				m.MayBeOut(now, "counter-01")
				ahead += maxClockJump / 2
			}
		}
		if m.MayBeOut(now.Add(c.clock), "counter-01") {
			t.Errorf("%s: still out after the suspension", name)
		}
		if st := m.Status(now)[0]; st.Backend != "counter-01" || st.OutFor != 0 || len(st.Siblings) != 4 {
			t.Errorf("%s: status %+v", name, st)
		}
		if m.HeldUntil("counter-04").Before(held) {
			t.Errorf("%s: granted reservation was shortened", name)
		}
	}
}

// Guards against a home that ejects under the old floor for longer than one Lease after the floor
// was raised, and against one that renews under the old terms.
func TestChangedTermsApplyAfterOneLease(t *testing.T) {
	m, now := newActiveManager("vm-n1-000", newService(4, 2))
	reserveAndRequireOut(t, m, now, "counter-00")
	raised := newService(4, 4)
	raised.Revision = 2
	m.Configure(now, []*Service{raised})
	if !m.MayBeOut(now, "counter-00") {
		t.Error("what was held under the old terms was lost")
	}
	for end := now.Add(Lease - ClockMargin); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if messages := m.Tick(now); len(messages) > 0 {
			t.Fatalf("requests %v although the floor allows none out", messages)
		}
	}
	if m.MayBeOut(now, "counter-00") {
		t.Error("out under old terms after one lease")
	}
}

// Guards against one message per backend server where one per VM is enough, and against messages to
// the own daemon.
func TestOneMessagePerVM(t *testing.T) {
	s := newService(6, 3)
	for i := range s.Members {
		s.Members[i].VM = fmt.Sprint("vm", i/2)
	}
	m, now := newActiveManager("vm0", s)
	m.RequestOut(now, "counter-00")
	m.RequestOut(now, "counter-01")
	perVM := map[string]int{}
	for _, msg := range m.Tick(now) {
		perVM[msg.VM]++
	}
	if len(perVM) != 2 || perVM["vm1"] != 1 || perVM["vm2"] != 1 {
		t.Errorf("messages per VM: %v", perVM)
	}
}

// Guards against a revision that does not change with the terms, or that changes without them.
func TestRevisionIdentifiesTerms(t *testing.T) {
	build := func(revision uint64, floor int, vm string) uint64 {
		return FromCatalog(&catalog.Service{Name: "s", Revision: revision, Floor: floor, BackendServers: []*catalog.BackendServer{
			{ID: "a", VM: &catalog.VM{ID: "vm1"}}, {ID: "b", VM: &catalog.VM{ID: vm}},
		}}).Revision
	}
	base := build(1, 1, "vm2")
	if build(2, 1, "vm2") != base || build(1, 2, "vm2") == base || build(1, 1, "vm3") == base {
		t.Error("the revision does not follow the terms")
	}
}

// Guards against one more suspect than the floor allows that makes all return. Those that are out
// would lose a reservation, and the new one would not get enough. Up to the floor, a new suspect
// must get out within the longest reservation that it granted before.
func TestExtraSuspectDoesNotReturnOthers(t *testing.T) {
	s, homes := newService(8, 6), map[string]*Manager{}
	var now time.Time
	for _, b := range s.Members {
		homes[b.VM], now = newActiveManager(b.VM, s)
	}
	makeSuspect := func(i int) {
		homes[s.Members[i].VM].SetCondition(now, s.Members[i].Backend, Suspect)
		homes[s.Members[i].VM].RequestOut(now, s.Members[i].Backend)
	}
	for i := range 200 {
		if i%50 == 0 && i < 150 {
			makeSuspect(i / 50)
		}
		out := 0
		for _, b := range s.Members {
			for _, msg := range homes[b.VM].Tick(now) {
				homes[b.VM].Result(now, msg.ID, homes[msg.VM].Grant(now, Lease, msg.Reservations))
			}
			if homes[b.VM].MayBeOut(now, b.Backend) {
				out++
			}
		}
		if i > 2 && out < 1 || i > 50+32 && out != 2 || out > 2 {
			t.Fatalf("%d out after %d steps", out, i)
		}
		now = now.Add(100 * time.Millisecond)
	}
}

// ejectionCost is the time and the traffic of one simulated ejection of k of n backend servers.
type ejectionCost struct {
	allOut   time.Duration
	messages int
	bytes    int
}

// simulate makes k of n backend servers on separate VMs fail at once. Messages take 20 ms each way,
// and the given share of them is lost. It returns the time until all k are out, and the traffic of
// the ten seconds after that.
func simulate(n, k, lossPercent int, seed uint64) ejectionCost {
	const step, delay, limit = 10 * time.Millisecond, 20 * time.Millisecond, 60 * time.Second
	random := rand.New(rand.NewPCG(seed, 2))
	s := newService(n, catalog.FloorCount(n, 70))
	homes := map[string]*Manager{}
	var now time.Time
	for _, b := range s.Members {
		homes[b.VM], now = newActiveManager(b.VM, s)
	}
	start := now
	failing := random.Perm(n)[:k]
	for _, i := range failing {
		homes[s.Members[i].VM].RequestOut(now, s.Members[i].Backend)
	}
	type event struct {
		at time.Time
		do func(now time.Time)
	}
	var events []event
	var res ejectionCost
	sender := &peerapi.Sender{Vm: "vm-n1-000", Incarnation: 1 << 62}
	send := func(m proto.Message, at time.Time, do func(time.Time)) {
		if res.allOut > 0 {
			res.messages++
			res.bytes += proto.Size(m)
		}
		if random.IntN(100) >= lossPercent {
			events = append(events, event{at.Add(delay), do})
		}
	}
	for ; now.Sub(start) < limit && (res.allOut == 0 || now.Sub(start) < res.allOut+10*time.Second); now = now.Add(step) {
		for len(events) > 0 && !events[0].at.After(now) {
			events[0].do(now)
			events = events[1:]
		}
		out := 0
		for i, b := range s.Members {
			home := homes[b.VM]
			if now.Sub(start)%(100*time.Millisecond) == 0 {
				for _, msg := range home.Tick(now) {
					req := msg.Request(sender)
					send(req, now, func(at time.Time) {
						reply := homes[msg.VM].GrantRequest(at, req, sender)
						send(reply, at, func(at time.Time) { home.Result(at, msg.ID, reply.GetGranted()) })
					})
				}
			}
			if slices.Contains(failing, i) && home.MayBeOut(now, b.Backend) {
				out++
			}
		}
		if out == k && res.allOut == 0 {
			res.allOut = max(step, now.Sub(start))
		}
	}
	if res.allOut == 0 {
		res.allOut = limit
	}
	return res
}

// BenchmarkProgress reports the simulated time until k of n failing backend servers are all out. It
// also reports the traffic per ejected backend server after that, requests and responses together.
func BenchmarkProgress(b *testing.B) {
	for _, n := range []int{8, 16, 20} {
		for _, k := range []int{1, n - catalog.FloorCount(n, 70)} {
			for _, loss := range []int{0, 10, 30} {
				b.Run(fmt.Sprintf("N=%d/k=%d/loss=%d", n, k, loss), func(b *testing.B) {
					const runs = 100
					var times []time.Duration
					var messages, bytes int
					for b.Loop() {
						times, messages, bytes = nil, 0, 0
						for seed := range uint64(runs) {
							r := simulate(n, k, loss, seed)
							times = append(times, r.allOut)
							messages += r.messages
							bytes += r.bytes
						}
					}
					slices.Sort(times)
					b.ReportMetric(float64(times[runs/2].Milliseconds()), "virtual-ms-p50")
					b.ReportMetric(float64(times[runs-2].Milliseconds()), "virtual-ms-p99")
					b.ReportMetric(float64(messages)/float64(runs*10*k), "messages/s")
					b.ReportMetric(float64(bytes)/float64(runs*10*k), "bytes/s")
				})
			}
		}
	}
}

// Guards against failing backend servers that stay in service although the floor allows them out,
// also with lost messages. Also guards against ejecting one more than the floor allows.
func TestFailingServersUpToTheFloorGetOut(t *testing.T) {
	for _, n := range []int{8, 16, 20} {
		k := n - catalog.FloorCount(n, 70)
		for _, loss := range []int{0, 10, 30} {
			if r := simulate(n, k, loss, 1); r.allOut >= time.Minute {
				t.Errorf("%d of %d with loss %d per cent were not out within a minute", k, n, loss)
			}
		}
		if r := simulate(n, k+1, 0, 1); r.allOut < time.Minute {
			t.Errorf("%d of %d were out together, which is below the floor", k+1, n)
		}
	}
}
