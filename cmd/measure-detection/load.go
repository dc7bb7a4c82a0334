package main

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// lookupTimeout is far above the deadline of the contract, so that lookups are ended by the fleet
// and not by the client.
const lookupTimeout = 15 * time.Second

// newLoad returns a load with the rate of the options. A response is late if it takes longer than a
// healthy backend server, which takes 10 ms, by more than half of the added latency.
func newLoad(f *fleet.Fleet, o options) *fleet.Load {
	return f.NewLoad(fleet.LoadOptions{
		Path: "/item", Key: fleet.Key(fleet.MeasuredCustomer), Interval: time.Second / time.Duration(o.rate*o.Backends), Timeout: lookupTimeout,
		LateAfter: time.Duration((10 + o.latencyMs/2) * float64(time.Millisecond)),
	})
}

// backendIDs returns the IDs of all backend servers of the fleet.
func backendIDs(f *fleet.Fleet) []string {
	var ids []string
	for _, svc := range f.Documents().Services {
		for _, b := range svc.BackendServers {
			ids = append(ids, b.ID)
		}
	}
	return ids
}
