package limits

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// The defaults of rapid, 100 checks of 30 steps, seldom reach a renewal after a lost response.
func init() {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// clock is a process's clock: its rate differs from true time by up to 0.5%.
type clock struct{ permille int }

func (c clock) at(elapsed time.Duration) time.Time {
	return testTime.Add(elapsed + elapsed/1000*time.Duration(c.permille))
}

type entryProcess struct {
	user *User
	clock
	inFlight int
	// waited is true when requests in flight may have come without a share while the holder waited.
	waited bool
}

type holderProcess struct {
	name   string
	holder *Holder
	clock
}

type message struct {
	from     *entryProcess
	out      Outgoing
	response *Response
}

// network has two possible holders, some entries, and messages that are late, lost, repeated or out of order. Entries and holders
// may be replaced while shares of the process before are in use.
type network struct {
	elapsed  time.Duration
	entries  []*entryProcess
	holders  []*holderProcess
	messages []message
	next     uint64
	plan     Plan
	customer *catalog.Customer
}

// smallCustomer has the long lease.
var smallCustomer = &catalog.Customer{Name: "small", Generation: 1, Limits: contract.Limits{RatePerSecond: 20, Concurrency: 50}}

// wideCustomer has more than one request in flight in each base allowance.
var wideCustomer = &catalog.Customer{Name: "wide", Generation: 1, Limits: contract.Limits{RatePerSecond: 1000, Concurrency: 400}}

func (n *network) limitsOf(string) (contract.Limits, bool) { return n.customer.Limits, true }

var modelHolders = []string{"h0", "h1"}

func newNetwork(t *rapid.T, v *View, plan Plan) *network {
	n := &network{plan: plan, customer: rapid.SampledFrom([]*catalog.Customer{acme, smallCustomer, wideCustomer}).Draw(t, "customer")}
	for _, name := range modelHolders {
		n.holders = append(n.holders, &holderProcess{name: name, clock: drawClock(t)})
	}
	for i := range n.holders {
		n.startHolder(i, v)
	}
	for range 4 {
		n.startEntry(t, v)
	}
	// The fleet has run for long, or starts now.
	n.elapsed = 10 * time.Minute
	if rapid.Bool().Draw(t, "start") {
		for i := range n.holders {
			n.startHolder(i, v)
		}
	}
	return n
}

func drawClock(t *rapid.T) clock {
	return clock{rapid.SampledFrom([]int{-5, 0, 5}).Draw(t, "clock rate")}
}

func (n *network) startHolder(i int, v *View) {
	h := n.holders[i]
	h.holder = NewHolder(h.at(n.elapsed), h.name, n.plan)
	h.holder.SetView(h.at(n.elapsed), v)
}

func (n *network) startEntry(t *rapid.T, v *View) {
	n.next++
	e := &entryProcess{clock: drawClock(t)}
	e.user = NewUser(e.at(n.elapsed), Sender{fmt.Sprint("e", n.next%4), n.next}, n.plan)
	e.user.SetView(v)
	n.entries = append(n.entries, e)
}

func (n *network) entry(t *rapid.T) *entryProcess {
	return n.entries[rapid.IntRange(0, len(n.entries)-1).Draw(t, "entry")]
}

func (n *network) traffic(t *rapid.T) {
	e := n.entry(t)
	for range rapid.IntRange(1, 40).Draw(t, "requests") {
		if e.user.Admit(e.at(n.elapsed), n.customer).OK {
			e.inFlight++
		}
	}
}

func (n *network) release(t *rapid.T) {
	e := n.entry(t)
	for range min(e.inFlight, rapid.IntRange(1, 40).Draw(t, "ended")) {
		e.inFlight--
		e.user.Release(n.customer.Name)
	}
}

func (n *network) tick(t *rapid.T) {
	e := n.entry(t)
	for _, o := range e.user.Tick(e.at(n.elapsed)) {
		n.messages = append(n.messages, message{from: e, out: o})
	}
}

func (n *network) message(t *rapid.T) (int, bool) {
	if len(n.messages) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(n.messages)-1).Draw(t, "message"), true
}

// deliver moves one message on: a request to its holder, a response to its entry.
func (n *network) deliver(t *rapid.T) {
	i, ok := n.message(t)
	if !ok {
		return
	}
	m := n.messages[i]
	if !rapid.SampledFrom([]bool{true, true, true, true, false}).Draw(t, "once") {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
	if m.response != nil {
		m.from.user.Apply(m.from.at(n.elapsed), m.out, *m.response)
		return
	}
	for _, h := range n.holders {
		if h.name == m.out.Holder {
			r := h.holder.Handle(h.at(n.elapsed), m.out.Request, n.limitsOf)
			n.messages = append(n.messages, message{m.from, m.out, &r})
		}
	}
}

// exchange sends the requests of all entries and delivers them and their responses at once, so that full shares arise in a few steps.
func (n *network) exchange(*rapid.T) {
	for _, e := range n.entries {
		for _, o := range e.user.Tick(e.at(n.elapsed)) {
			for _, h := range n.holders {
				if h.name == o.Holder {
					e.user.Apply(e.at(n.elapsed), o, h.holder.Handle(h.at(n.elapsed), o.Request, n.limitsOf))
				}
			}
		}
	}
}

func (n *network) lose(t *rapid.T) {
	if i, ok := n.message(t); ok {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
}

func (n *network) pass(t *rapid.T) {
	unit := time.Millisecond * LeaseOf(n.customer.Limits) / Lease
	n.elapsed += unit * time.Duration(rapid.SampledFrom([]int{1, 100, 100, 300, 700, 1500, 2600, 4990, 5030, 5200}).Draw(t, "time"))
}

// usable adds up the shares that entries can use now.
func (n *network) usable(holder string) (rate, concurrency uint64) {
	for _, e := range n.entries {
		s := e.user.shard(n.customer.Name).states[n.customer.Name]
		if s != nil && s.share.valid(e.at(n.elapsed)) && (holder == "" || s.share.holder == holder) {
			rate += s.share.rateMilli
			concurrency += uint64(s.share.concurrency)
		}
	}
	return rate, concurrency
}

func (n *network) check(t *rapid.T, holder string, parts uint64) {
	rate, concurrency := n.usable(holder)
	if rate > parts*n.plan.RatePart(n.customer.Limits) || concurrency > parts*uint64(n.plan.ConcurrencyPart(n.customer.Limits)) {
		t.Fatalf("usable shares from %q: %d/1000 a second and %d in flight, above %d parts", holder, rate, concurrency, parts)
	}
}

func (n *network) setView(v *View) {
	for _, h := range n.holders {
		h.holder.SetView(h.at(n.elapsed), v)
	}
	for _, e := range n.entries {
		e.user.SetView(v)
	}
}

// flood sends requests at all entries until each has refused some, which doubles its demand.
func (n *network) flood(*rapid.T) {
	for _, e := range n.entries {
		for refused := 0; refused < 20; {
			if e.user.Admit(e.at(n.elapsed), n.customer).OK {
				e.inFlight++
			} else {
				refused++
			}
		}
		s := e.user.shard(n.customer.Name).states[n.customer.Name]
		e.waited = e.waited || !s.share.valid(e.at(n.elapsed)) && e.at(n.elapsed).Before(s.holderWaits)
	}
}

// endAll ends all requests in flight.
func (n *network) endAll() {
	for _, e := range n.entries {
		for ; e.inFlight > 0; e.inFlight-- {
			e.user.Release(n.customer.Name)
		}
		e.waited = false
	}
}

// checkInFlight compares the requests in flight with the part and the base allowances of all processes.
func (n *network) checkInFlight(t *rapid.T) {
	total, bound := 0, int(n.plan.ConcurrencyPart(n.customer.Limits))
	for _, e := range n.entries {
		total += e.inFlight
		if e.waited {
			bound += int(n.plan.WaitingConcurrency(n.customer.Limits))
		} else {
			bound += int(n.plan.BaseConcurrency(n.customer.Limits))
		}
	}
	if total > bound {
		t.Fatalf("%d requests in flight, above the bound of %d for %d processes", total, bound, len(n.entries))
	}
}

func (n *network) actions(view func() *View) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"traffic 1": n.traffic, "traffic 2": n.traffic, "release": n.release, "tick 1": n.tick, "tick 2": n.tick, "tick 3": n.tick,
		"deliver 1": n.deliver, "deliver 2": n.deliver, "deliver 3": n.deliver, "deliver 4": n.deliver, "lose": n.lose, "pass": n.pass, "exchange": n.exchange,
		"restart": func(t *rapid.T) {
			switch rapid.IntRange(0, 5).Draw(t, "restart") {
			case 0:
				n.startHolder(rapid.IntRange(0, 1).Draw(t, "holder"), view())
			case 1:
				n.startEntry(t, view()) // the process before keeps its shares
			case 2:
				for i := range n.holders { // the whole fleet
					n.startHolder(i, view())
				}
				for range 4 {
					n.startEntry(t, view())
				}
			}
		},
	}
}

func drawView(t *rapid.T) *View {
	return NewView(rapid.SampledFrom([][]string{{"h0"}, {"h1"}, {"h0", "h1"}}).Draw(t, "view"))
}

// While all daemons agree on the view, the shares in use must never exceed the part, also when the holder changes.
func TestSharesNeverExceedPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		n := newNetwork(t, view, onePlan)
		actions := n.actions(func() *View { return view })
		actions[""] = func(t *rapid.T) { n.check(t, "", 1) }
		actions["change view"] = func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "change") != 0 {
				return
			}
			view = drawView(t)
			n.setView(view)
		}
		t.Repeat(actions)
	})
}

// While views differ, each holder must keep to the part, so that the sum is at most twice the part.
func TestTwoHoldersExceedByOnePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, NewView(modelHolders), onePlan)
		actions := n.actions(func() *View { return drawView(t) })
		actions[""] = func(t *rapid.T) {
			n.check(t, "h0", 1)
			n.check(t, "h1", 1)
		}
		actions["change a view"] = func(t *rapid.T) {
			if rapid.Bool().Draw(t, "at a holder") {
				h := n.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
				h.holder.SetView(h.at(n.elapsed), drawView(t))
			} else {
				n.entry(t).user.SetView(drawView(t))
			}
		}
		t.Repeat(actions)
	})
}

// Requests that end at once are in flight only together with others of the same moment. Then the sum of requests in flight, not only
// of shares, must keep to the bound, whatever starts, restarts and new holders do: the part, and for each process its base allowance,
// which is larger only while a holder waits.
func TestInFlightKeepsToBound(t *testing.T) {
	// The bucket is large, so that concurrency and not the rate is what refuses.
	plan := Plan{Daemons: 10, RegionWeight: 1, BaseBurst: 1000}
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		n := newNetwork(t, view, plan)
		actions := n.actions(func() *View { return view })
		delete(actions, "traffic 2")
		delete(actions, "release")
		actions["traffic 1"] = n.flood
		actions["pass"] = func(t *rapid.T) {
			n.endAll()
			n.pass(t)
		}
		actions["change view"] = func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
				view = drawView(t)
				n.setView(view)
			}
		}
		actions[""] = n.checkInFlight
		t.Repeat(actions)
	})
}
