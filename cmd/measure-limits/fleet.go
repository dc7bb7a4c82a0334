package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/limits"
)

const (
	// latency is the one-way delay between a daemon and a holder of the region.
	oneWayLatency = 1500 * time.Microsecond
	// serviceTime is how long an admitted request is in flight.
	serviceTime = 50 * time.Millisecond
	// warmUp is the virtual time before the measurement, unless a scenario measures the start.
	warmUp = 120 * time.Second
)

// startTime is the start of virtual time.
var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// event calls do at the virtual time at. It is the arrival of a request or message, the next
// attempt to admit a request that waits, or the end of a request.
type event struct {
	at time.Time
	do func(now time.Time)
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements [heap.Interface].
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements [heap.Interface].
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// result is one row of the table.
//   - overshoot is the sum over the customers of the requests admitted above their limits, in
//     percent of the limits.
//   - peak is the largest number of requests of a customer admitted in a second, in percent of its
//     limit.
//   - shortfall is the number of requests that were within the limits but not admitted, in percent
//     of those within the limits.
//   - waited is the number of admitted requests that waited, in percent of the admitted ones.
//     meanWait is their mean wait in milliseconds.
//   - bytes and maxBytes are the mean and the largest number of bytes per second of the daemons.
type result struct {
	overshoot, peak, shortfall, waited, meanWait, bytes, maxBytes float64
}

// simulatedFleet runs one scenario with one mechanism in virtual time. It has one region.
type simulatedFleet struct {
	scenario     scenario
	mechanism    mechanism
	random       *rand.Rand
	customers    []*catalog.Customer
	limitsByName map[string]contract.Limits
	view         *limits.View
	plan         limits.Plan
	limiters     []*limits.Limiter
	holders      map[string]*limits.Holder
	splitBuckets map[[2]int]*splitBucket
	queue        events

	// The fields below hold the measurement. Counts in slices are per customer.
	measuring              bool
	offered, admitted      []int
	admittedInSecond       []int // in the current second
	maxInSecond, waitCount int
	totalWait              time.Duration
	bytesByVM              map[string]int // sent and received
}

func newSimulatedFleet(s scenario, m mechanism) *simulatedFleet {
	f := &simulatedFleet{scenario: s, mechanism: m, random: rand.New(rand.NewPCG(1, 2)), limitsByName: map[string]contract.Limits{},
		plan: limits.Plan{Daemons: s.daemons, RegionWeight: 1, BaseFactor: m.baseFactor, BaseBurst: m.baseBurst}, holders: map[string]*limits.Holder{},
		splitBuckets: map[[2]int]*splitBucket{}, bytesByVM: map[string]int{},
		offered: make([]int, s.customers), admitted: make([]int, s.customers), admittedInSecond: make([]int, s.customers)}
	for i := range s.customers {
		c := &catalog.Customer{Name: fmt.Sprint("customer-", i), Generation: 1,
			Limits: contract.Limits{RatePerSecond: s.limit, Concurrency: s.concurrency}}
		f.customers = append(f.customers, c)
		f.limitsByName[c.Name] = c.Limits
	}
	var vms []string
	for i := range s.daemons {
		vms = append(vms, vmName(i))
	}
	f.view = limits.NewView(vms)
	for i := range s.daemons {
		limiter := limits.NewLimiter(startTime, limits.Sender{VM: vmName(i), Incarnation: 1}, f.plan)
		limiter.SetView(f.view)
		f.limiters = append(f.limiters, limiter)
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm-%04d", i) }

func (f *simulatedFleet) limitsOf(name string) (contract.Limits, bool) {
	l, ok := f.limitsByName[name]
	return l, ok
}

// holder returns the holder at a VM. It creates the holder on first use, as one that has been
// running for an hour unless the scenario measures the start.
func (f *simulatedFleet) holder(vm string) *limits.Holder {
	h := f.holders[vm]
	if h == nil {
		holderStart := startTime.Add(-time.Hour)
		if f.scenario.measuresStart {
			holderStart = startTime
		}
		h = limits.NewHolder(holderStart, vm, f.plan)
		h.SetView(holderStart, f.view)
		f.holders[vm] = h
	}
	return h
}

func (f *simulatedFleet) schedule(t time.Time, do func(time.Time)) { heap.Push(&f.queue, event{t, do}) }

// run simulates the scenario and returns the result of the measured time after the warm-up.
func (f *simulatedFleet) run(measured time.Duration) result {
	unmeasured := warmUp
	if f.scenario.measuresStart {
		unmeasured, measured = 0, limits.Lease
	}
	for now := startTime; now.Before(startTime.Add(unmeasured + measured)); now = now.Add(limits.TickInterval) {
		if elapsed := now.Sub(startTime); elapsed%time.Second == 0 {
			f.endSecond()
			f.measuring = elapsed >= unmeasured
		}
		f.scheduleArrivals(now)
		f.runEvents(now.Add(limits.TickInterval))
		if f.mechanism.baseFactor > 0 {
			for i := range f.limiters {
				f.tick(now.Add(limits.TickInterval), i)
			}
		}
	}
	f.endSecond()
	return f.result(measured)
}

// runEvents runs the events before until.
func (f *simulatedFleet) runEvents(until time.Time) {
	for len(f.queue) > 0 && f.queue[0].at.Before(until) {
		e := heap.Pop(&f.queue).(event)
		e.do(e.at)
	}
}

// scheduleArrivals schedules the requests of one tick. The arrivals of all customers together are a
// Poisson process.
func (f *simulatedFleet) scheduleArrivals(now time.Time) {
	mean := f.scenario.rate * float64(f.scenario.customers)
	for t := f.random.ExpFloat64() / mean; t < limits.TickInterval.Seconds(); t += f.random.ExpFloat64() / mean {
		at := now.Add(time.Duration(t * float64(time.Second)))
		customer := f.random.IntN(f.scenario.customers)
		daemon := f.scenario.chooseDaemon(f.random, customer, at.Sub(startTime))
		f.schedule(at, func(now time.Time) { f.arrive(now, now, customer, daemon) })
	}
}

// arrive tries to admit a request that arrived at first, and schedules the next attempt if the
// request waits.
func (f *simulatedFleet) arrive(now, first time.Time, customer, daemon int) {
	if f.measuring && now.Equal(first) {
		f.offered[customer]++
	}
	ok, wait := f.admit(now, customer, daemon)
	if ok {
		f.recordAdmitted(now, first, customer, daemon)
		return
	}
	// A request waits until it is admitted, its refusal is final, or it has waited for MaxWait.
	if again := now.Add(wait); wait > 0 && again.Sub(first) <= limits.MaxWait {
		f.schedule(again, func(now time.Time) { f.arrive(now, first, customer, daemon) })
	}
}

// admit reports whether the mechanism admits a request, or else how long to wait until the next
// attempt. A wait of 0 refuses the request.
func (f *simulatedFleet) admit(now time.Time, customer, daemon int) (bool, time.Duration) {
	if f.mechanism.baseFactor == 0 {
		return f.admitSplit(now, customer, daemon), 0
	}
	d := f.limiters[daemon].Admit(now, f.customers[customer])
	return d.OK, d.Wait
}

// recordAdmitted counts an admitted request and schedules its end.
func (f *simulatedFleet) recordAdmitted(now, first time.Time, customer, daemon int) {
	if f.mechanism.baseFactor > 0 {
		f.schedule(now.Add(serviceTime), func(time.Time) { f.limiters[daemon].Release(f.customers[customer].Name) })
	}
	if !f.measuring {
		return
	}
	f.admitted[customer]++
	f.admittedInSecond[customer]++
	if now.After(first) {
		f.waitCount++
		f.totalWait += now.Sub(first)
	}
}

// endSecond updates maxInSecond and begins a new second.
func (f *simulatedFleet) endSecond() {
	for i := range f.admittedInSecond {
		f.maxInSecond, f.admittedInSecond[i] = max(f.maxInSecond, f.admittedInSecond[i]), 0
	}
}

// tick runs the limiter of daemon i and schedules the arrival of its messages and of the responses.
func (f *simulatedFleet) tick(now time.Time, i int) {
	for _, o := range f.limiters[i].Tick(now) {
		f.countBytes(vmName(i), o.Holder, requestBytes(o.Request))
		f.schedule(now.Add(oneWayLatency), func(now time.Time) {
			r := f.holder(o.Holder).Handle(now, o.Request, f.limitsOf)
			f.countBytes(o.Holder, vmName(i), responseBytes(r))
			f.schedule(now.Add(oneWayLatency), func(now time.Time) { f.limiters[i].Apply(now, o, r) })
		})
	}
}

// result computes the result of the given measured time.
func (f *simulatedFleet) result(measured time.Duration) result {
	var offered, admitted, excess, unadmitted, admissible, limit float64
	for i := range f.offered {
		l := f.scenario.limit * measured.Seconds()
		o, a := float64(f.offered[i]), float64(f.admitted[i])
		offered, admitted, limit, admissible = offered+o, admitted+a, limit+l, admissible+min(o, l)
		excess += max(0, a-l)
		unadmitted += max(0, min(o, l)-a)
	}
	r := result{overshoot: 100 * excess / limit, shortfall: 100 * unadmitted / admissible, peak: 100 * float64(f.maxInSecond) / f.scenario.limit,
		waited: 100 * float64(f.waitCount) / max(admitted, 1)}
	if f.waitCount > 0 {
		r.meanWait = f.totalWait.Seconds() * 1000 / float64(f.waitCount)
	}
	sum, largest := 0, 0
	for _, n := range f.bytesByVM {
		sum, largest = sum+n, max(largest, n)
	}
	if len(f.bytesByVM) > 0 {
		r.bytes = float64(sum) / float64(len(f.bytesByVM)) / measured.Seconds() * f.scenario.byteScale
		r.maxBytes = float64(largest) / measured.Seconds() * f.scenario.byteScale
	}
	return r
}
