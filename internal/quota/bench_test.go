package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	benchOrganisations = 37_000
	benchDaemons       = 1_200
)

func benchPlan() *Plan {
	var daemons []Daemon
	for i := range benchDaemons {
		daemons = append(daemons, Daemon{fmt.Sprint("vm", i), threeRegions[i%3], "10.0.0.1:7001"})
	}
	return NewPlan(threeRegions, daemons)
}

func benchNames() (names []string) {
	for i := range benchOrganisations {
		names = append(names, fmt.Sprint("organisation-", i))
	}
	return names
}

// BenchmarkTake measures a decision with a token at hand and its Release, with 37,000 organisations.
func BenchmarkTake(b *testing.B) {
	names := benchNames()
	k := takerOf(benchPlan())
	for _, name := range names {
		var a Attempt
		k.Take(origin, name, Limits{5, 5}, &a)
		k.Answered(origin, &a, Answer{Status: Granted, Tokens: 8, Epoch: 1}, true)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := names[i*7919%len(names)]
		var a Attempt
		if k.Take(origin.Add(time.Millisecond), name, Limits{5, 5}, &a) == Admitted {
			k.Release(origin.Add(time.Millisecond), name, false)
		}
	}
}

// BenchmarkTakeFromOwnDaemon measures a decision for which the daemon asks itself.
func BenchmarkTakeFromOwnDaemon(b *testing.B) {
	h, p := oneHolder(always)
	k := takerOf(p)
	l := Limits{1e4, 1e6}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := origin.Add(time.Duration(i) * 100 * time.Microsecond)
		var a Attempt
		if k.Take(now, "o", l, &a) == AskHolder {
			k.Answered(now, &a, h.Take(now, &a.Ask, l), true)
		}
		k.Release(now, "o", true)
	}
}

// BenchmarkHolderTake measures an ask at a holder of 37,000 parts.
func BenchmarkHolderTake(b *testing.B) {
	h, _ := oneHolder(always)
	names := benchNames()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ask := Ask{Organisation: names[i*7919%len(names)], Want: 1}
		h.Take(origin.Add(time.Duration(i)*time.Microsecond), &ask, Limits{5, 5})
	}
}

// BenchmarkPlanHolder measures finding the holder of a part among the 400 daemons of a region.
func BenchmarkPlanHolder(b *testing.B) {
	p := benchPlan()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.holder(1, uint64(i), 0)
	}
}

// BenchmarkNewPlan measures a new list of 1,200 daemons.
func BenchmarkNewPlan(b *testing.B) {
	for b.Loop() {
		benchPlan()
	}
}

// BenchmarkMemory measures the memory of an organisation with traffic at an entry, and of a part at its
// holder.
func BenchmarkMemory(b *testing.B) {
	names := benchNames()
	p := benchPlan()
	for b.Loop() {
		k := takerOf(p)
		entry := heapOf(func() {
			for _, name := range names {
				var a Attempt
				k.Take(origin, name, Limits{5, 5}, &a)
				k.Answered(origin, &a, Answer{Status: Granted, Tokens: 1, Epoch: 1}, true)
			}
		})
		h, _ := oneHolder(always)
		holder := heapOf(func() {
			for _, name := range names {
				h.Take(origin, &Ask{Organisation: name, Want: 1}, Limits{5, 5})
			}
		})
		b.ReportMetric(float64(entry)/float64(len(names)), "B/organisation")
		b.ReportMetric(float64(holder)/float64(len(names)), "B/part")
		runtime.KeepAlive(k)
		runtime.KeepAlive(h)
	}
}

func heapOf(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	do()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return after.HeapAlloc - before.HeapAlloc
}
