package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// matchContract finds the customer, the route and the service of a request.
func (e *Entry) matchContract(r *http.Request, path string) (*call, error) {
	snapshot := e.snapshot()
	if snapshot == nil {
		return nil, errkind.New(errkind.NoConfiguration, "this daemon has no configuration yet")
	}
	customer, err := e.customerOf(snapshot, r)
	if err != nil {
		return nil, err
	}
	route := customer.RouteOf(hostOf(r), path)
	if route == nil {
		return nil, e.noRoute("the contract of " + customer.Name + " has no route for this path")
	}
	name := chooseService(route)
	service := snapshot.Service(name)
	if service == nil || len(service.BackendServers) == 0 {
		return nil, errkind.New(errkind.NoBackend, "service "+name+" has no backend servers")
	}
	c := &call{customer: customer, route: route, service: service, identifiedByKey: !snapshot.IdentifiesByHost()}
	if c.identifiedByKey && e.keysTrusted != nil {
		c.key = catalog.DigestOf(apiKey(r))
	}
	return c, nil
}

// customerOf finds the customer by API key, or by host name if the configuration identifies callers
// so.
func (e *Entry) customerOf(snapshot *catalog.Snapshot, r *http.Request) (*catalog.Customer, error) {
	if snapshot.IdentifiesByHost() {
		if customer := snapshot.CustomerByHost(hostOf(r)); customer != nil {
			return customer, nil
		}
		return nil, e.noRoute("no contract has the host name of the request")
	}
	if customer := snapshot.CustomerByKey(catalog.DigestOf(apiKey(r))); customer != nil {
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
