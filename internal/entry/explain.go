package entry

import (
	"net/url"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/balance"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Decision describes what would happen to a request.
type Decision struct {
	Customer string
	// Refusal is the error kind that the request would get. It is empty if the request would be
	// forwarded. Detail gives the reason.
	Refusal, Detail string
	// Route is the path prefix of the matching route of the contract.
	Route, Service         string
	AtMostOnce, Repeatable bool
	Deadline               time.Duration
	Limits                 contract.Limits
	// Floor is the minimum number of backend servers that ejection leaves in service.
	Floor int
	// Candidates are the backend servers of the service as this entry sees them. The list is empty
	// for a service without recent traffic.
	Candidates []Candidate
}

// Candidate is one backend server in a Decision.
type Candidate struct {
	balance.Candidate
	Locality catalog.Locality
	// Usable is false if the entry would not choose the backend server now. Reason says why. It is
	// also set for a backend server that is used only because of the floor.
	Usable bool
	Reason string
}

// Explain returns what would happen now to a request of the customer. It sends nothing.
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
	if isAmbiguous(c, route, &url.URL{Path: path}) {
		return refuse(errkind.BadRequest, ambiguousPathDetail)
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
	for _, described := range e.balancer.Explain(time.Now(), service.Name) {
		out.Candidates = append(out.Candidates, newCandidate(snapshot, described))
	}
	return out
}

// newCandidate adds the locality and usability of a backend server to what the balancer knows of
// it.
func newCandidate(snapshot *catalog.Snapshot, described balance.Candidate) Candidate {
	out := Candidate{Candidate: described, Usable: described.SkipReason == "" || described.Readmitted, Reason: described.SkipReason}
	if described.Readmitted {
		out.Reason += "; still used, because the floor does not allow leaving out more backend servers"
	}
	if vm := snapshot.VM(described.VM); vm != nil {
		out.Locality = vm.Locality
	}
	return out
}
