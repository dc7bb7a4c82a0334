package catalog

// WeightedService is one destination of a route that splits its requests among several services.
type WeightedService struct {
	Service string
	// Weight is the destination's share of the requests, relative to the other destinations of the
	// route. It is at least 1.
	Weight int
}

// ResolvedConfiguration is a configuration that is resolved already, such as one read from a
// service registry. Routes of a customer must be sorted by descending length of their prefix.
type ResolvedConfiguration struct {
	Customers []*Customer
	Services  []*Service
	VMs       []*VM
	// Hosts are the customers of callers without an API key, by the host name of the request.
	Hosts map[string]*Customer
	// Organisations are nil if callers are not identified by keys of organisations.
	Organisations *Organisations
}

// NewResolvedSnapshot returns the snapshot of a resolved configuration. The snapshot keeps the
// pointers and the map of hosts. It contains no values that Replace could replace.
func NewResolvedSnapshot(resolved ResolvedConfiguration) *Snapshot {
	edit := new(Snapshot).Edit()
	for _, c := range resolved.Customers {
		edit.customers.put(hashOf(c.Name), 0, c, compareByName)
	}
	s := &Snapshot{services: make(map[string]*Service, len(resolved.Services)), vms: make(map[string]*VM, len(resolved.VMs)), hosts: resolved.Hosts, organisations: resolved.Organisations}
	for _, svc := range resolved.Services {
		s.services[svc.Name] = svc
		for _, b := range svc.BackendServers {
			edit.putBackend(b, 0)
		}
	}
	for _, vm := range resolved.VMs {
		s.vms[vm.ID] = vm
	}
	s.customers, s.keys, s.backends = edit.customers.finish(), edit.keys.finish(), edit.backends.finish()
	return s
}

// IdentifiesByHost reports whether callers are identified by the host name of their request instead
// of an API key.
func (s *Snapshot) IdentifiesByHost() bool { return s.hosts != nil }

// CustomerByHost returns the customer that requests for the host name belong to, or nil.
func (s *Snapshot) CustomerByHost(host string) *Customer { return s.hosts[host] }

// RouteOf returns the customer's route for the host name with the longest prefix that matches path,
// or nil. Routes without a host match any host name.
func (c *Customer) RouteOf(host, path string) *Route {
	for i := range c.Routes {
		if r := &c.Routes[i]; (r.Host == "" || r.Host == host) && r.matches(path) {
			return r
		}
	}
	return nil
}
