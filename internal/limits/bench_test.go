package limits

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

func benchCustomers() []*catalog.Customer {
	var out []*catalog.Customer
	for i := range 37_000 {
		out = append(out, &catalog.Customer{Name: fmt.Sprint("customer-", i), Generation: 1,
			Limits: contract.Limits{RatePerSecond: 1e6, Concurrency: 50}})
	}
	return out
}

// BenchmarkAdmit measures the request path with 37,000 customers that all have state at the entry.
func BenchmarkAdmit(b *testing.B) {
	customers := benchCustomers()
	l := NewLimiter(testTime, Sender{"e", 1}, Plan{Daemons: 1200, RegionWeight: 0.5})
	for _, c := range customers {
		l.Admit(testTime, c)
		l.Release(c.Name)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			c := customers[i*7919%len(customers)]
			if l.Admit(testTime.Add(time.Duration(i)*time.Microsecond), c).OK {
				l.Release(c.Name)
			}
		}
	})
}

// BenchmarkStateBytes measures the memory of one active customer at an entry.
func BenchmarkStateBytes(b *testing.B) {
	customers := benchCustomers()
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := NewLimiter(testTime, Sender{"e", 1}, Plan{Daemons: 1200, RegionWeight: 0.5})
		for _, c := range customers {
			l.Admit(testTime, c)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Customers()), "B/customer")
	}
}

// BenchmarkHandle measures one request to a holder from each of 1,200 entries that share one
// customer.
func BenchmarkHandle(b *testing.B) {
	h := readyHolder("h", "h")
	var n uint64
	for b.Loop() {
		n++
		h.Handle(testTime.Add(time.Duration(n)*time.Millisecond), requestFrom(fmt.Sprint("e", n%1200), n, Demand{RateMilli: 1000, Concurrency: 1}), acmeLimits)
	}
}

// BenchmarkHolder measures finding a customer's holder among the 600 VMs of a region.
func BenchmarkHolder(b *testing.B) {
	var vms []string
	for i := range 600 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	v := NewView(vms)
	for b.Loop() {
		v.Holder("customer-1")
	}
}
