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
	latency = 1500 * time.Microsecond
	// serviceTime is how long an admitted request is in flight.
	serviceTime = 50 * time.Millisecond
	// warmUp is not measured.
	warmUp = 120 * time.Second
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// event is a repeated try of a request that waited, the end of a request, or the arrival of a message.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// result is one line of the table. Percentages are of the limit (overshoot, peak) or of what could be admitted.
type result struct {
	overshoot, peak, shortfall, waited, meanWait, bytes, maxBytes float64
}

// fleet runs one scenario with one mechanism.
type fleet struct {
	scenario  scenario
	mechanism mechanism
	random    *rand.Rand
	customers []*catalog.Customer
	names     map[string]contract.Limits
	view      *limits.View
	plan      limits.Plan
	users     []*limits.User
	holders   map[string]*limits.Holder
	splits    map[[2]int]*splitBucket
	queue     events

	measured          bool
	offered, admitted []int
	second            []int
	peak, waits       int
	waitSum           time.Duration
	bytes             map[string]int
}

func newFleet(s scenario, m mechanism) *fleet {
	f := &fleet{scenario: s, mechanism: m, random: rand.New(rand.NewPCG(1, 2)), names: map[string]contract.Limits{},
		plan: limits.Plan{Daemons: s.daemons, RegionWeight: 1, BaseFactor: m.factor, BaseBurst: m.burst}, holders: map[string]*limits.Holder{},
		splits: map[[2]int]*splitBucket{}, bytes: map[string]int{},
		offered: make([]int, s.customers), admitted: make([]int, s.customers), second: make([]int, s.customers)}
	for i := range s.customers {
		c := &catalog.Customer{Name: fmt.Sprint("customer-", i), Generation: 1,
			Limits: contract.Limits{RatePerSecond: s.limit, Concurrency: s.concurrency}}
		f.customers = append(f.customers, c)
		f.names[c.Name] = c.Limits
	}
	var vms []string
	for i := range s.daemons {
		vms = append(vms, vmName(i))
	}
	f.view = limits.NewView(vms)
	for i := range s.daemons {
		u := limits.NewUser(start, limits.Sender{VM: vmName(i), Incarnation: 1}, f.plan)
		u.SetView(f.view)
		f.users = append(f.users, u)
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm-%04d", i) }

func (f *fleet) limitsOf(name string) (contract.Limits, bool) {
	l, ok := f.names[name]
	return l, ok
}

func (f *fleet) holder(vm string) *limits.Holder {
	h := f.holders[vm]
	if h == nil {
		began := start.Add(-time.Hour)
		if f.scenario.start {
			began = start
		}
		h = limits.NewHolder(began, vm, f.plan)
		h.SetView(began, f.view)
		f.holders[vm] = h
	}
	return h
}

func (f *fleet) at(t time.Time, do func(time.Time)) { heap.Push(&f.queue, event{t, do}) }

func (f *fleet) run(measured time.Duration) result {
	unmeasured := warmUp
	if f.scenario.start {
		unmeasured, measured = 0, limits.Lease
	}
	for now := start; now.Before(start.Add(unmeasured + measured)); now = now.Add(limits.TickInterval) {
		if elapsed := now.Sub(start); elapsed%time.Second == 0 {
			f.endSecond()
			f.measured = elapsed >= unmeasured
		}
		f.arrivals(now)
		f.drain(now.Add(limits.TickInterval))
		if f.mechanism.factor > 0 {
			for i := range f.users {
				f.tick(now.Add(limits.TickInterval), i)
			}
		}
	}
	f.endSecond()
	return f.result(measured)
}

func (f *fleet) drain(until time.Time) {
	for len(f.queue) > 0 && f.queue[0].at.Before(until) {
		e := heap.Pop(&f.queue).(event)
		e.do(e.at)
	}
}

// arrivals schedules the requests of one tick. Arrivals of all customers together are a Poisson process.
func (f *fleet) arrivals(now time.Time) {
	mean := f.scenario.rate * float64(f.scenario.customers)
	for t := f.random.ExpFloat64() / mean; t < limits.TickInterval.Seconds(); t += f.random.ExpFloat64() / mean {
		at := now.Add(time.Duration(t * float64(time.Second)))
		customer := f.random.IntN(f.scenario.customers)
		daemon := f.scenario.daemon(f.random, customer, at.Sub(start))
		f.at(at, func(now time.Time) { f.arrive(now, now, customer, daemon) })
	}
}

func (f *fleet) arrive(now, first time.Time, customer, daemon int) {
	if f.measured && now.Equal(first) {
		f.offered[customer]++
	}
	ok, wait := f.admit(now, customer, daemon)
	if ok {
		f.admittedOne(now, first, customer, daemon)
		return
	}
	// A request waits until it is admitted, its refusal is final, or it has waited for MaxWait.
	if again := now.Add(wait); wait > 0 && again.Sub(first) <= limits.MaxWait {
		f.at(again, func(now time.Time) { f.arrive(now, first, customer, daemon) })
	}
}

func (f *fleet) admit(now time.Time, customer, daemon int) (bool, time.Duration) {
	if f.mechanism.factor == 0 {
		return f.admitSplit(now, customer, daemon), 0
	}
	d := f.users[daemon].Admit(now, f.customers[customer])
	return d.OK, d.Wait
}

func (f *fleet) admittedOne(now, first time.Time, customer, daemon int) {
	if f.mechanism.factor > 0 {
		f.at(now.Add(serviceTime), func(time.Time) { f.users[daemon].Release(f.customers[customer].Name) })
	}
	if !f.measured {
		return
	}
	f.admitted[customer]++
	f.second[customer]++
	if now.After(first) {
		f.waits++
		f.waitSum += now.Sub(first)
	}
}

func (f *fleet) endSecond() {
	for i := range f.second {
		f.peak, f.second[i] = max(f.peak, f.second[i]), 0
	}
}

func (f *fleet) tick(now time.Time, i int) {
	for _, o := range f.users[i].Tick(now) {
		f.count(vmName(i), o.Holder, requestBytes(o.Request))
		f.at(now.Add(latency), func(now time.Time) {
			r := f.holder(o.Holder).Handle(now, o.Request, f.limitsOf)
			f.count(o.Holder, vmName(i), responseBytes(r))
			f.at(now.Add(latency), func(now time.Time) { f.users[i].Apply(now, o, r) })
		})
	}
}

func (f *fleet) result(measured time.Duration) result {
	var offered, admitted, over, short, could, limit float64
	for i := range f.offered {
		l := f.scenario.limit * measured.Seconds()
		o, a := float64(f.offered[i]), float64(f.admitted[i])
		offered, admitted, limit, could = offered+o, admitted+a, limit+l, could+min(o, l)
		over += max(0, a-l)
		short += max(0, min(o, l)-a)
	}
	r := result{overshoot: 100 * over / limit, shortfall: 100 * short / could, peak: 100 * float64(f.peak) / f.scenario.limit,
		waited: 100 * float64(f.waits) / max(admitted, 1)}
	if f.waits > 0 {
		r.meanWait = f.waitSum.Seconds() * 1000 / float64(f.waits)
	}
	sum, most := 0, 0
	for _, n := range f.bytes {
		sum, most = sum+n, max(most, n)
	}
	if len(f.bytes) > 0 {
		r.bytes = float64(sum) / float64(len(f.bytes)) / measured.Seconds() * f.scenario.scale
		r.maxBytes = float64(most) / measured.Seconds() * f.scenario.scale
	}
	return r
}
