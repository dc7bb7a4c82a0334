package registry

import (
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// CustomerName is the name of the one customer that Build creates from the operator's routes.
// Requests without an organisation belong to it: all of them if the configuration has no
// organisations, and otherwise those on anonymous routes.
const CustomerName = "operator"

// topPriority is the priority of the most important routes. In catalog.Route a higher number is
// more important, in Route.Rank a lower one.
const topPriority = 9

// detectorSettings replaces the default coldStart, in seconds. Backend servers of such deployments
// warm up in less time.
var detectorSettings = map[string]float64{"coldStart": 2}

// BuildOptions are the settings that Build needs besides the table.
type BuildOptions struct {
	// Regions maps each data centre to its region.
	Regions map[string]string
	// PeerPort is the port of the peer listener on all VMs.
	PeerPort int
	// FloorPercent is the percentage of a service's backend servers that must stay in service.
	FloorPercent int
	// RetryPercent is the retry budget: the percentage of requests that may be retried on another
	// backend server.
	RetryPercent int
}

// Build returns a snapshot of the table's content, or nil while the table holds no configuration.
// Registrations that are draining, belong to an unknown service or have an unreadable address add
// no backend server, nor do those whose address another one has taken over.
func Build(t *Table, options BuildOptions) *catalog.Snapshot {
	c, revision := t.Configuration()
	if c == nil {
		return nil
	}
	b := builder{options: options, revision: revision, vmsByID: map[string]*catalog.VM{}}
	b.addServices(c.Services)
	writes := t.inUse()
	b.groupByAddress(writes)
	for _, w := range writes {
		b.addRegistration(w)
	}
	for _, svc := range b.resolved.Services {
		svc.Floor = catalog.FloorCount(len(svc.BackendServers), options.FloorPercent)
	}
	b.addCallers(t.callersOf(c, options.RetryPercent))
	return catalog.NewResolvedSnapshot(b.resolved)
}

type builder struct {
	options        BuildOptions
	revision       uint64
	resolved       catalog.ResolvedConfiguration
	servicesByName map[string]*catalog.Service
	vmsByID        map[string]*catalog.VM
	// atAddress holds the writes of the backend servers of known services by address.
	atAddress map[string][]write
}

// groupByAddress fills atAddress.
func (b *builder) groupByAddress(writes []write) {
	b.atAddress = make(map[string][]write, len(writes))
	for _, w := range writes {
		if b.servicesByName[w.registration.Service] != nil {
			b.atAddress[w.registration.Address] = append(b.atAddress[w.registration.Address], w)
		}
	}
}

// displaced reports whether another backend server has the address: it started later and has been
// written later. Only one of these may be due to a clock that went back or to a late write. The
// backend servers then both stay, and the one that is not there costs its requests another attempt.
func (b *builder) displaced(w write) bool {
	return w.registration.Started > 0 && slices.ContainsFunc(b.atAddress[w.registration.Address], func(other write) bool {
		return other.registration.Started > w.registration.Started && other.revision > w.revision
	})
}

func (b *builder) addServices(list []Service) {
	b.servicesByName = make(map[string]*catalog.Service, len(list))
	for _, s := range list {
		if b.servicesByName[s.Name] != nil {
			continue
		}
		svc := &catalog.Service{Name: s.Name, Revision: b.revision, Preset: catalog.DefaultPreset, Detector: detectorSettings, HealthPath: s.HealthPath}
		b.servicesByName[s.Name] = svc
		b.resolved.Services = append(b.resolved.Services, svc)
	}
}

// addRegistration adds the VM of a registration and, if the backend server may get requests, the
// backend server. The VM of a draining backend server is added too, because its daemon still sends
// requests.
func (b *builder) addRegistration(w write) {
	r := w.registration
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return
	}
	vm := b.vmFor(address.Addr().String(), r.DataCentre)
	svc := b.servicesByName[r.Service]
	if svc == nil || r.Draining {
		return
	}
	if b.displaced(w) {
		return // its registration has not expired yet
	}
	svc.BackendServers = append(svc.BackendServers, &catalog.BackendServer{
		ID: r.ID, Service: r.Service, Address: r.Address, Slots: max(r.Slots, 1), VM: vm, Started: r.Started,
	})
}

func (b *builder) vmFor(id, dataCentre string) *catalog.VM {
	if vm := b.vmsByID[id]; vm != nil {
		return vm
	}
	vm := &catalog.VM{
		ID: id, Locality: catalog.Locality{DataCentre: dataCentre, Region: b.options.Regions[dataCentre]},
		PeerAddress: net.JoinHostPort(id, strconv.Itoa(b.options.PeerPort)),
	}
	b.vmsByID[id] = vm
	b.resolved.VMs = append(b.resolved.VMs, vm)
	return vm
}

// callers is what a configuration says about requests: their customer, with the routes, by the host
// name, and the organisations. Snapshots of the same configuration share it, because a snapshot is
// made for each change of the registrations.
type callers struct {
	configuration *Configuration
	retryPercent  int
	customer      *catalog.Customer
	hosts         map[string]*catalog.Customer
	organisations *catalog.Organisations
}

// callersOf returns the callers of the table's configuration.
func (t *Table) callersOf(c *Configuration, retryPercent int) *callers {
	if t.callers == nil || t.callers.configuration != c || t.callers.retryPercent != retryPercent {
		t.callers = newCallers(c, retryPercent)
	}
	return t.callers
}

func newCallers(c *Configuration, retryPercent int) *callers {
	customer := &catalog.Customer{
		Name: CustomerName, Generation: c.Version, Limits: contract.Limits{MaxRequestBytes: c.MaxBodyBytes},
		Deadline: catalog.DefaultDeadline, RetryBudgetPercent: retryPercent, Priority: catalog.DefaultPriority, SpillToOtherRegion: true,
	}
	if customer.Limits.MaxRequestBytes <= 0 {
		customer.Limits.MaxRequestBytes = catalog.DefaultMaxRequestBytes
	}
	out := &callers{configuration: c, retryPercent: retryPercent, customer: customer, hosts: map[string]*catalog.Customer{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		customer.Routes = append(customer.Routes, toCatalogRoute(r))
		out.hosts[r.Host] = customer
	}
	slices.SortStableFunc(customer.Routes, func(x, y catalog.Route) int { return len(y.PathPrefix) - len(x.PathPrefix) })
	if c.HasOrganisations() {
		out.organisations = buildOrganisations(c.Organisations, customer)
	}
	return out
}

func (b *builder) addCallers(c *callers) {
	b.resolved.Customers = []*catalog.Customer{c.customer}
	b.resolved.Hosts, b.resolved.Organisations = c.hosts, c.organisations
}

// buildOrganisations returns the organisations, which have the routes and all but the limits from the
// customer without a key.
func buildOrganisations(organisations []Organisation, base *catalog.Customer) *catalog.Organisations {
	list, keys := make([]catalog.Customer, len(organisations)), make([][]catalog.KeyDigest, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		list[i], keys[i] = *base, o.Keys
		list[i].Name, list[i].Rank, list[i].LimitsUnknown = o.Name, max(o.Rank, 0), o.LimitsUnknown
		list[i].Limits.RatePerSecond, list[i].Limits.Burst = o.RatePerSecond, int(min(o.Burst, math.MaxInt32))
	}
	return catalog.NewOrganisations(list, keys)
}

func toCatalogRoute(r *Route) catalog.Route {
	repeatable := r.Kind.Repeatable()
	priority := max(topPriority-r.Rank, 0)
	out := catalog.Route{
		PathPrefix: r.PathPrefix, Host: r.Host, SafeToRepeat: &repeatable, Deadline: r.Timeout, Goal: r.Goal, MaxBackends: r.MaxBackends,
		Priority: &priority, LargeResponses: r.Kind == Download, Anonymous: r.Anonymous,
	}
	if out.Deadline <= 0 {
		out.Deadline = catalog.DefaultDeadline
	}
	if len(r.Parts) == 1 {
		out.Service = r.Parts[0].Service
	} else {
		out.Split = r.Parts
	}
	return out
}
