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

// clock is a process's clock. Its rate differs from true time by up to 0.5%.
type clock struct{ permille int }

func (c clock) at(elapsed time.Duration) time.Time {
	return testTime.Add(elapsed + elapsed/1000*time.Duration(c.permille))
}

type entryProcess struct {
	limiter *Limiter
	clock
	inFlight int
	// usedWaitingAllowance is true when requests in flight may have been admitted by the larger
	// allowance that applies without a share while the holder waits.
	usedWaitingAllowance bool
}

type holderProcess struct {
	name   string
	holder *Holder
	clock
}

type message struct {
	from     *entryProcess
	out      OutgoingRequest
	response *Response
}

// modelNetwork has two possible holders, several entries, and messages that are late, lost,
// repeated or out of order. Holder and entry processes may be replaced while shares of the previous
// process are in use.
type modelNetwork struct {
	elapsed         time.Duration
	entries         []*entryProcess
	holders         []*holderProcess
	messages        []message
	nextIncarnation uint64
	plan            Plan
	customer        *catalog.Customer
}

// smallCustomer has the long lease of small limits.
var smallCustomer = &catalog.Customer{Name: "small", Generation: 1, Limits: contract.Limits{RatePerSecond: 20, Concurrency: 50}}

// wideCustomer has more than one request in flight in each base allowance.
var wideCustomer = &catalog.Customer{Name: "wide", Generation: 1, Limits: contract.Limits{RatePerSecond: 1000, Concurrency: 400}}

func (n *modelNetwork) limitsOf(string) (contract.Limits, bool) { return n.customer.Limits, true }

var modelHolders = []string{"h0", "h1"}

func newModelNetwork(t *rapid.T, v *View, plan Plan) *modelNetwork {
	n := &modelNetwork{plan: plan, customer: rapid.SampledFrom([]*catalog.Customer{acme, smallCustomer, wideCustomer}).Draw(t, "customer")}
	for _, name := range modelHolders {
		n.holders = append(n.holders, &holderProcess{name: name, clock: drawClock(t)})
	}
	for i := range n.holders {
		n.startHolder(i, v)
	}
	for range 4 {
		n.startEntry(t, v)
	}
	// The fleet has been running for long, or starts now.
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

func (n *modelNetwork) startHolder(i int, v *View) {
	h := n.holders[i]
	h.holder = NewHolder(h.at(n.elapsed), h.name, n.plan)
	h.holder.SetView(h.at(n.elapsed), v)
}

func (n *modelNetwork) startEntry(t *rapid.T, v *View) {
	n.nextIncarnation++
	e := &entryProcess{clock: drawClock(t)}
	e.limiter = NewLimiter(e.at(n.elapsed), Sender{fmt.Sprint("e", n.nextIncarnation%4), n.nextIncarnation}, n.plan)
	e.limiter.SetView(v)
	n.entries = append(n.entries, e)
}

func (n *modelNetwork) drawEntry(t *rapid.T) *entryProcess {
	return n.entries[rapid.IntRange(0, len(n.entries)-1).Draw(t, "entry")]
}

func (n *modelNetwork) traffic(t *rapid.T) {
	e := n.drawEntry(t)
	for range rapid.IntRange(1, 40).Draw(t, "requests") {
		if e.limiter.Admit(e.at(n.elapsed), n.customer).OK {
			e.inFlight++
		}
	}
}

func (n *modelNetwork) release(t *rapid.T) {
	e := n.drawEntry(t)
	for range min(e.inFlight, rapid.IntRange(1, 40).Draw(t, "ended")) {
		e.inFlight--
		e.limiter.Release(n.customer.Name)
	}
}

func (n *modelNetwork) tick(t *rapid.T) {
	e := n.drawEntry(t)
	for _, o := range e.limiter.Tick(e.at(n.elapsed)) {
		n.messages = append(n.messages, message{from: e, out: o})
	}
}

func (n *modelNetwork) drawMessage(t *rapid.T) (int, bool) {
	if len(n.messages) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(n.messages)-1).Draw(t, "message"), true
}

// deliver passes on one message: a request to its holder, or a response to its entry.
func (n *modelNetwork) deliver(t *rapid.T) {
	i, ok := n.drawMessage(t)
	if !ok {
		return
	}
	m := n.messages[i]
	if !rapid.SampledFrom([]bool{true, true, true, true, false}).Draw(t, "once") {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
	if m.response != nil {
		m.from.limiter.Apply(m.from.at(n.elapsed), m.out, *m.response)
		return
	}
	for _, h := range n.holders {
		if h.name == m.out.Holder {
			r := h.holder.Handle(h.at(n.elapsed), m.out.Request, n.limitsOf)
			n.messages = append(n.messages, message{m.from, m.out, &r})
		}
	}
}

// exchangeAll sends the requests of all entries and delivers them and their responses at once, so
// that a few steps lead to full shares.
func (n *modelNetwork) exchangeAll(*rapid.T) {
	for _, e := range n.entries {
		for _, o := range e.limiter.Tick(e.at(n.elapsed)) {
			for _, h := range n.holders {
				if h.name == o.Holder {
					e.limiter.Apply(e.at(n.elapsed), o, h.holder.Handle(h.at(n.elapsed), o.Request, n.limitsOf))
				}
			}
		}
	}
}

func (n *modelNetwork) loseMessage(t *rapid.T) {
	if i, ok := n.drawMessage(t); ok {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
}

func (n *modelNetwork) passTime(t *rapid.T) {
	unit := time.Millisecond * LeaseFor(n.customer.Limits) / Lease
	n.elapsed += unit * time.Duration(rapid.SampledFrom([]int{1, 100, 100, 300, 700, 1500, 2600, 4990, 5030, 5200}).Draw(t, "time"))
}

// usableShares adds up the shares from the holder that entries can use now, or those from all
// holders if it is "".
func (n *modelNetwork) usableShares(holder string) (rate, concurrency uint64) {
	for _, e := range n.entries {
		s := e.limiter.shardOf(n.customer.Name).states[n.customer.Name]
		if s != nil && s.share.valid(e.at(n.elapsed)) && (holder == "" || s.share.holder == holder) {
			rate += s.share.rateMilli
			concurrency += uint64(s.share.concurrency)
		}
	}
	return rate, concurrency
}

func (n *modelNetwork) checkShares(t *rapid.T, holder string, quotas uint64) {
	rate, concurrency := n.usableShares(holder)
	if rate > quotas*n.plan.RegionRateMilli(n.customer.Limits) || concurrency > quotas*uint64(n.plan.RegionConcurrency(n.customer.Limits)) {
		t.Fatalf("usable shares from %q: rate %d/1000 per second and concurrency %d, above %d quotas", holder, rate, concurrency, quotas)
	}
}

func (n *modelNetwork) setView(v *View) {
	for _, h := range n.holders {
		h.holder.SetView(h.at(n.elapsed), v)
	}
	for _, e := range n.entries {
		e.limiter.SetView(v)
	}
}

// flood sends requests at all entries until each has refused some, which doubles its demand.
func (n *modelNetwork) flood(*rapid.T) {
	for _, e := range n.entries {
		for refused := 0; refused < 20; {
			if e.limiter.Admit(e.at(n.elapsed), n.customer).OK {
				e.inFlight++
			} else {
				refused++
			}
		}
		s := e.limiter.shardOf(n.customer.Name).states[n.customer.Name]
		e.usedWaitingAllowance = e.usedWaitingAllowance || !s.share.valid(e.at(n.elapsed)) && e.at(n.elapsed).Before(s.holderWaitsUntil)
	}
}

// endAll ends all requests in flight.
func (n *modelNetwork) endAll() {
	for _, e := range n.entries {
		for ; e.inFlight > 0; e.inFlight-- {
			e.limiter.Release(n.customer.Name)
		}
		e.usedWaitingAllowance = false
	}
}

// checkInFlight compares the requests in flight with the region's quota and the base allowances of
// all processes.
func (n *modelNetwork) checkInFlight(t *rapid.T) {
	total, bound := 0, int(n.plan.RegionConcurrency(n.customer.Limits))
	for _, e := range n.entries {
		total += e.inFlight
		if e.usedWaitingAllowance {
			bound += int(n.plan.WaitingConcurrency(n.customer.Limits))
		} else {
			bound += int(n.plan.BaseConcurrency(n.customer.Limits))
		}
	}
	if total > bound {
		t.Fatalf("%d requests in flight, above the bound of %d for %d processes", total, bound, len(n.entries))
	}
}

func (n *modelNetwork) actions(view func() *View) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"traffic 1": n.traffic, "traffic 2": n.traffic, "release": n.release, "tick 1": n.tick, "tick 2": n.tick, "tick 3": n.tick,
		"deliver 1": n.deliver, "deliver 2": n.deliver, "deliver 3": n.deliver, "deliver 4": n.deliver, "lose": n.loseMessage, "pass": n.passTime, "exchange": n.exchangeAll,
		"restart": func(t *rapid.T) {
			switch rapid.IntRange(0, 5).Draw(t, "restart") {
			case 0:
				n.startHolder(rapid.IntRange(0, 1).Draw(t, "holder"), view())
			case 1:
				n.startEntry(t, view()) // the previous process keeps its shares
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

// Guards against shares in use that add up to more than the region's quota, also when the holder
// changes, while all daemons have the same view.
func TestSharesNeverExceedRegionQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		n := newModelNetwork(t, view, oneRegionPlan)
		actions := n.actions(func() *View { return view })
		actions[""] = func(t *rapid.T) { n.checkShares(t, "", 1) }
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

// Guards against a holder whose shares exceed the region's quota while the views of daemons differ.
// With two holders, at most two quotas are then in use.
func TestTwoHoldersUseAtMostTwoQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newModelNetwork(t, NewView(modelHolders), oneRegionPlan)
		actions := n.actions(func() *View { return drawView(t) })
		actions[""] = func(t *rapid.T) {
			n.checkShares(t, "h0", 1)
			n.checkShares(t, "h1", 1)
		}
		actions["change a view"] = func(t *rapid.T) {
			if rapid.Bool().Draw(t, "at a holder") {
				h := n.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
				h.holder.SetView(h.at(n.elapsed), drawView(t))
			} else {
				n.drawEntry(t).limiter.SetView(drawView(t))
			}
		}
		t.Repeat(actions)
	})
}

// Guards against more requests in flight than the region's quota and one base allowance per
// process, whichever processes start, restart or become holder. The base allowance is larger only
// while a holder waits. All requests end before time passes, so those in flight were admitted at
// the same moment.
func TestInFlightStaysWithinBound(t *testing.T) {
	// The bucket is large, so that requests are refused for concurrency and not for rate.
	plan := Plan{Daemons: 10, RegionWeight: 1, BaseBurst: 1000}
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		n := newModelNetwork(t, view, plan)
		actions := n.actions(func() *View { return view })
		delete(actions, "traffic 2")
		delete(actions, "release")
		actions["traffic 1"] = n.flood
		actions["pass"] = func(t *rapid.T) {
			n.endAll()
			n.passTime(t)
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
