package entry

import (
	"net/url"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Decision tells what would happen to a request.
type Decision struct {
	Customer string
	// Refusal is the error kind that the request would get, empty when it would be served; Detail says why.
	Refusal, Detail string
	// Route is the path prefix of the contract that matches.
	Route, Service         string
	AtMostOnce, Repeatable bool
	Deadline               time.Duration
	Limits                 contract.Limits
	// Floor is the number of backend servers that ejection leaves in service.
	Floor int
	// Candidates are the backend servers of the service as this entry sees them. A service without recent traffic has none.
	Candidates []Candidate
}

// Candidate is one backend server in a Decision.
type Candidate struct {
	balance.Candidate
	Locality catalog.Locality
	// Usable is false when the entry would not choose it now; Reason says why.
	Usable bool
	Reason string
}

// Explain tells what would happen to a request of the customer now, without sending it.
func (e *Entry) Explain(customer, method, path string) Decision {
	out := Decision{Customer: customer}
	refuse := func(kind errkind.Kind, detail string) Decision {
		out.Refusal, out.Detail = kind.String(), detail
		return out
	}
	snapshot := e.snapshot()
	if snapshot == nil {
		return refuse(errkind.NoConfiguration, "this daemon has no configuration yet")
	}
	c := snapshot.Customer(customer)
	if c == nil {
		return refuse(errkind.Unauthenticated, "no contract of this customer is in force")
	}
	out.Limits = c.Limits
	if err := checkPath(path); err != nil {
		return refuse(err.Kind, err.Detail)
	}
	route := c.Route(path)
	if route == nil {
		return refuse(errkind.NoRoute, "no route of the contract matches the path")
	}
	if ambiguous(c, route, &url.URL{Path: path}) {
		return refuse(errkind.BadRequest, ambiguousDetail)
	}
	out.Route, out.Service, out.AtMostOnce = route.PathPrefix, route.Service, route.AtMostOnce
	out.Repeatable, out.Deadline = route.Repeatable(method), route.Deadline
	if !route.Allows(method) {
		return refuse(errkind.MethodNotAllowed, "the route does not allow the method")
	}
	service := snapshot.Service(route.Service)
	if service == nil || len(service.BackendServers) == 0 {
		return refuse(errkind.NoBackend, "the service has no backend servers")
	}
	out.Floor = service.Floor
	for _, seen := range e.balancer.Explain(time.Now(), service.Name) {
		out.Candidates = append(out.Candidates, candidate(snapshot, seen))
	}
	return out
}

func candidate(snapshot *catalog.Snapshot, seen balance.Candidate) Candidate {
	out := Candidate{Candidate: seen, Usable: seen.LeftOut == "" || seen.PutBack, Reason: seen.LeftOut}
	if seen.PutBack {
		out.Reason += "; used all the same, because the floor leaves too few others"
	}
	if vm := snapshot.VM(seen.VM); vm != nil {
		out.Locality = vm.Locality
	}
	return out
}
