package main

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// lookupTimeout is far above the deadline of the contract, so that an end by the fleet counts as such.
const lookupTimeout = 15 * time.Second

// newLoad returns the load of the options. An answer is late after half of what a slow backend server takes in addition.
func newLoad(f *fleet.Fleet, o options) *fleet.Load {
	return f.NewLoad(fleet.LoadOptions{
		Path: "/item", Key: fleet.Key(fleet.MeasuredCustomer), Interval: time.Second / time.Duration(o.rate*o.Backends), Timeout: lookupTimeout,
		LateAfter: time.Duration((10 + o.latencyMs/2) * float64(time.Millisecond)),
	})
}

func backendsOf(f *fleet.Fleet) []string {
	var names []string
	for _, svc := range f.Documents().Services {
		for _, b := range svc.BackendServers {
			names = append(names, b.ID)
		}
	}
	return names
}
