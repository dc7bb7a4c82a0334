package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/pause"
)

// While the configuration is outdated, requests without a route wait for the newer one, which mostly
// is there within milliseconds.
const (
	outdatedWait = 100 * time.Millisecond
	// outdatedPoll is the time between two looks for it.
	outdatedPoll = 2 * time.Millisecond
	// maxOutdatedWaiting bounds the requests that wait at the same time. Further ones are refused.
	maxOutdatedWaiting = 256
)

// matchContract finds the customer, the route and the service of a request. One without a route waits
// for a newer configuration that is on its way.
func (e *Entry) matchContract(r *http.Request, caller dialect.Caller, path string) (*call, error) {
	c, err := e.matchPresent(r, caller, path)
	if errkind.Of(err) == errkind.NoConfiguration && e.snapshot() != nil && e.awaitNewer(r.Context()) {
		return e.matchPresent(r, caller, path)
	}
	return c, err
}

// awaitNewer waits until the configuration is no longer outdated, and reports whether it came to that.
func (e *Entry) awaitNewer(ctx context.Context) bool {
	select {
	case e.outdatedWaiting <- struct{}{}:
	default:
		return false
	}
	defer func() { <-e.outdatedWaiting }()
	for waited := time.Duration(0); waited < outdatedWait; waited += outdatedPoll {
		if !e.outdated() {
			return true
		}
		if !pause.For(ctx, outdatedPoll) {
			return false
		}
	}
	return !e.outdated()
}

// matchPresent is matchContract by the configuration in force.
func (e *Entry) matchPresent(r *http.Request, caller dialect.Caller, path string) (*call, error) {
	snapshot := e.snapshot()
	if snapshot == nil {
		return nil, errkind.New(errkind.NoConfiguration, "this daemon has no configuration yet")
	}
	base, err := e.baseCustomer(snapshot, r, caller)
	if err != nil {
		return nil, err
	}
	route := base.RouteOf(hostOf(r), path)
	if route == nil {
		return nil, e.noRoute("the contract of " + base.Name + " has no route for this path")
	}
	c := &call{base: base, identity: identity{customer: base, organisations: snapshot.Organisations()}, route: route}
	if err := e.identify(c, caller); err != nil {
		return nil, err
	}
	name := chooseService(route)
	c.service = snapshot.Service(name)
	if c.service == nil || len(c.service.BackendServers) == 0 {
		return nil, errkind.New(errkind.NoBackend, "service "+name+" has no backend servers")
	}
	return c, nil
}

// baseCustomer finds the customer whose contract has the route, by API key, or by host name if the
// configuration identifies callers so. Organisations share the contract.
func (e *Entry) baseCustomer(snapshot *catalog.Snapshot, r *http.Request, caller dialect.Caller) (*catalog.Customer, error) {
	if snapshot.IdentifiesByHost() {
		if customer := snapshot.CustomerByHost(hostOf(r)); customer != nil {
			return customer, nil
		}
		return nil, e.noRoute("no contract has the host name of the request")
	}
	if customer := snapshot.CustomerByKey(catalog.DigestOf(caller.APIKey)); customer != nil {
		return customer, nil
	}
	return nil, errkind.New(errkind.Unauthenticated, "no contract has this API key; send it as Authorization: Bearer KEY")
}

// noRoute returns the error for a request without a route. While the configuration is outdated, the
// route may exist.
func (e *Entry) noRoute(detail string) *errkind.Error {
	if e.outdated() {
		return errkind.New(errkind.NoConfiguration, "a newer configuration is on its way; in the present one "+detail)
	}
	return errkind.New(errkind.NoRoute, detail)
}

// hostOf returns the host name of the request in lower case, without a port.
func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// chooseService returns the service of the route. If the route splits its traffic between several
// services, one is drawn at random by their weights.
func chooseService(route *catalog.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0
	for _, target := range route.Split {
		total += target.Weight
	}
	draw := rand.IntN(max(total, 1))
	for _, target := range route.Split {
		if draw -= target.Weight; draw < 0 {
			return target.Service
		}
	}
	return route.Split[0].Service
}
