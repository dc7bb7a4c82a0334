package catalog

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Source is the decoded content of one value of the configuration service, with its revision.
type Source struct {
	// Value is the name of the value, such as "contracts/007". It may be empty for Build.
	Value     string
	Revision  uint64
	Documents contract.Documents
	// Claims tell since which revision documents of the value list contested identifiers, if that
	// is earlier than Revision.
	Claims []contract.Claim
}

// Build compiles documents that were validated before. A reference to an unknown VM or data centre
// leaves the locality empty, so that a value that arrives late does not block the others.
func Build(sources []Source) *Snapshot {
	edit := new(Snapshot).Edit()
	for i, src := range sources {
		if src.Value == "" {
			src.Value = "#" + strconv.Itoa(i)
		}
		edit.Put(src)
	}
	return edit.Snapshot()
}

// Replace returns a snapshot with the content of one value replaced.
func (s *Snapshot) Replace(src Source) *Snapshot {
	edit := s.Edit()
	edit.Put(src)
	return edit.Snapshot()
}

// Edit prepares the next snapshot. Call Put for each value, then Snapshot. Only the decoded
// documents of one value need to be in memory at a time, which matters at start, when all values
// are compiled. An Edit must be used by one goroutine.
type Edit struct {
	base      *Snapshot
	compiler  *compiler
	values    map[string]*compiledValue
	customers *tableBuilder[Customer]
	keys      *tableBuilder[Customer]
	backends  *tableBuilder[BackendServer]
	services  map[string]*Service

	// changedValues are the values put by this edit. Their services are new and may be changed.
	changedValues   map[string]bool
	servicesCopied  bool
	localityChanged bool
	hasContested    bool
	// contestedKeys and contestedBackends are the identifiers put since the last call of Contested
	// that another document lists too.
	contestedKeys     []KeyDigest
	contestedBackends []string
}

// claimTimes tell since which revision the documents of one value list their identifiers.
type claimTimes struct {
	revision uint64
	earlier  map[claimKey]uint64
}

// claimKey is an identifier in a document.
type claimKey struct{ kind, document, id string }

func claimTimesOf(src Source) claimTimes {
	c := claimTimes{revision: src.Revision, earlier: make(map[claimKey]uint64, len(src.Claims))}
	for _, e := range src.Claims {
		c.earlier[claimKey{e.Ref.Kind, e.Ref.Name, e.ID}] = e.Since
	}
	return c
}

// since returns the earliest known revision in which the document lists the identifier.
func (c *claimTimes) since(kind, document, id string) uint64 {
	if earlier, ok := c.earlier[claimKey{kind, document, id}]; ok {
		return min(earlier, c.revision)
	}
	return c.revision
}

func compareByName(a, b *Customer) int { return strings.Compare(a.Name, b.Name) }

func compareByIDAndService(a, b *BackendServer) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Service, b.Service))
}

// Edit returns an Edit that starts with the content of the snapshot.
func (s *Snapshot) Edit() *Edit {
	e := &Edit{base: s, compiler: newCompiler(), values: maps.Clone(s.values), services: s.services, changedValues: map[string]bool{}}
	if e.values == nil {
		e.values = map[string]*compiledValue{}
	}
	e.customers, e.keys, e.backends = s.customers.builder(), s.keys.builder(), s.backends.builder()
	return e
}

// Put replaces the content of the value that the source names. The caller may reuse the documents
// of the source afterwards, but not their maps and strings.
func (e *Edit) Put(src Source) {
	old, next := e.values[src.Value], e.compiler.compileValue(src)
	if old == nil {
		old = &compiledValue{}
	}
	e.values[src.Value] = next
	e.changedValues[src.Value] = true
	claims := claimTimesOf(src)
	e.replaceCustomers(old.customers, next.customers, &claims)
	if len(old.services) > 0 || len(next.services) > 0 {
		e.replaceServices(old.services, next.services, &claims)
	}
	if !slices.Equal(old.vms, next.vms) || !maps.Equal(old.regions, next.regions) {
		e.localityChanged = true
	}
}

// replaceCustomers replaces the customers of a value and their API keys.
func (e *Edit) replaceCustomers(old, next []Customer, claims *claimTimes) {
	before := make(map[string]*Customer, len(old))
	for i := range old {
		before[old[i].Name] = &old[i]
	}
	for i := range next {
		c := &next[i]
		e.customers.put(hashOf(c.Name), 0, c, compareByName)
		for k := range c.keys {
			since := claims.revision
			if len(claims.earlier) > 0 {
				since = claims.since(contract.KindContract, c.Name, c.keys[k].Hex())
			}
			if e.keys.put(c.keys[k].hash(), since, c, compareByName) > 1 {
				e.hasContested = true
				e.contestedKeys = append(e.contestedKeys, c.keys[k])
			}
		}
		if previous := before[c.Name]; previous != nil {
			e.removeKeys(previous, c.keys)
			delete(before, c.Name)
		}
	}
	for _, c := range before {
		e.customers.remove(hashOf(c.Name), c, compareByName)
		e.removeKeys(c, nil)
	}
}

// removeKeys removes the API keys of the customer, except those with the hash of a listed key.
func (e *Edit) removeKeys(c *Customer, except []KeyDigest) {
	for k := range c.keys {
		hash := c.keys[k].hash()
		if !slices.ContainsFunc(except, func(d KeyDigest) bool { return d.hash() == hash }) {
			e.keys.remove(hash, c, compareByName)
		}
	}
}

// copyServices copies the map of services before its first change.
func (e *Edit) copyServices() {
	if !e.servicesCopied {
		e.servicesCopied = true
		e.services = maps.Clone(e.services)
		if e.services == nil {
			e.services = map[string]*Service{}
		}
	}
}

// replaceServices replaces the services of a value and their backend servers.
func (e *Edit) replaceServices(old, next []*Service, claims *claimTimes) {
	e.copyServices()
	present := map[string]bool{}
	for _, svc := range next {
		e.services[svc.Name] = svc
		for _, b := range svc.BackendServers {
			present[b.ID+" "+b.Service] = true
			if e.putBackend(b, claims.since(contract.KindService, b.Service, b.ID)) {
				e.contestedBackends = append(e.contestedBackends, b.ID)
			}
		}
	}
	for _, svc := range old {
		if !slices.ContainsFunc(next, func(s *Service) bool { return s.Name == svc.Name }) {
			delete(e.services, svc.Name)
		}
		for _, b := range svc.BackendServers {
			if !present[b.ID+" "+b.Service] {
				e.backends.remove(hashOf(b.ID), b, compareByIDAndService)
			}
		}
	}
}

// putBackend adds or replaces a backend server. It reports whether another service lists the same
// one.
func (e *Edit) putBackend(b *BackendServer, since uint64) (contested bool) {
	contested = e.backends.put(hashOf(b.ID), since, b, compareByIDAndService) > 1
	e.hasContested = e.hasContested || contested
	return contested
}

// Contested returns all claims to the identifiers that the values put since the last call share
// with other documents.
func (e *Edit) Contested() []contract.Claim {
	var out []contract.Claim
	for i := range e.contestedKeys {
		digest := &e.contestedKeys[i]
		for _, entry := range e.keys.bucket(digest.hash()) {
			if entry.value.hasKey(digest) {
				out = append(out, contract.Claim{Ref: contract.Ref{Kind: contract.KindContract, Name: entry.value.Name}, ID: digest.Hex(), Since: entry.rank})
			}
		}
	}
	for _, id := range e.contestedBackends {
		for _, entry := range e.backends.bucket(hashOf(id)) {
			if entry.value.ID == id {
				out = append(out, contract.Claim{Ref: contract.Ref{Kind: contract.KindService, Name: entry.value.Service}, ID: id, Since: entry.rank})
			}
		}
	}
	e.contestedKeys, e.contestedBackends = nil, nil
	return contract.JoinClaims(out)
}

// Snapshot returns the new snapshot. The Edit must not be used afterwards.
func (e *Edit) Snapshot() *Snapshot {
	vms := e.base.vms
	if e.localityChanged || vms == nil {
		vms = e.resolveVMs()
		for name := range e.values {
			e.resolveServices(name, vms)
		}
	} else {
		for name := range e.changedValues {
			e.resolveServices(name, vms)
		}
	}
	s := &Snapshot{values: e.values, services: e.services, vms: vms}
	if s.services == nil {
		s.services = map[string]*Service{}
	}
	s.customers, s.keys, s.backends = e.customers.finish(), e.keys.finish(), e.backends.finish()
	if e.hasContested || len(e.base.conflicts) > 0 {
		s.conflicts = s.findConflicts()
	}
	return s
}

// resolveVMs returns all VMs with their locality. Unchanged VMs keep their pointers, so that only
// services with a changed VM are copied.
func (e *Edit) resolveVMs() map[string]*VM {
	regions := map[string]string{}
	for _, p := range e.values {
		maps.Copy(regions, p.regions)
	}
	vms := map[string]*VM{}
	for _, p := range e.values {
		for _, doc := range p.vms {
			vm := VM{ID: doc.VM, Locality: Locality{doc.DataCentre, regions[doc.DataCentre]}, PeerAddress: doc.PeerAddress, AdminAddress: doc.AdminAddress}
			if old := e.base.vms[doc.VM]; old != nil && *old == vm {
				vms[doc.VM] = old
			} else {
				vms[doc.VM] = &vm
			}
		}
	}
	return vms
}

// resolveServices sets the VMs of the backend servers of a value. Services that older snapshots
// share are copied first.
func (e *Edit) resolveServices(value string, vms map[string]*VM) {
	p := e.values[value]
	copied := false
	for i, svc := range p.services {
		if !slices.ContainsFunc(svc.BackendServers, func(b *BackendServer) bool { return b.VM != vmOf(b, vms) }) {
			continue
		}
		if e.changedValues[value] {
			for _, b := range svc.BackendServers {
				b.VM = vmOf(b, vms)
			}
			continue
		}
		if !copied {
			copied = true
			next := *p
			next.services = slices.Clone(p.services)
			e.values[value] = &next
		}
		e.values[value].services[i] = e.copyServiceWithVMs(svc, vms)
	}
}

// copyServiceWithVMs returns a copy of the service, with new backend servers that point to their
// current VMs.
func (e *Edit) copyServiceWithVMs(svc *Service, vms map[string]*VM) *Service {
	moved := *svc
	moved.BackendServers = make([]*BackendServer, len(svc.BackendServers))
	for i, b := range svc.BackendServers {
		backend := *b
		backend.VM = vmOf(b, vms)
		moved.BackendServers[i] = &backend
		e.putBackend(&backend, math.MaxUint64) // the replaced entry keeps its lower rank
	}
	e.copyServices()
	e.services[moved.Name] = &moved
	return &moved
}

// vmOf returns the VM of the backend server. An unknown VM has only an ID.
func vmOf(b *BackendServer, vms map[string]*VM) *VM {
	if vm := vms[b.VM.ID]; vm != nil {
		return vm
	}
	if unknown := (VM{ID: b.VM.ID}); *b.VM != unknown {
		return &unknown
	}
	return b.VM
}

// findConflicts returns the identifiers that several documents list, sorted by kind, identifier and
// refused document.
func (s *Snapshot) findConflicts() []Conflict {
	var out []Conflict
	for _, p := range s.values {
		for i := range p.customers {
			c := &p.customers[i]
			for k := range c.keys {
				if owner := s.CustomerByKey(c.keys[k]); owner != nil && owner.Name != c.Name {
					out = append(out, Conflict{ConflictAPIKey, c.keys[k].Hex(), owner.Name, c.Name})
				}
			}
		}
		for _, svc := range p.services {
			for _, b := range svc.BackendServers {
				if owner := s.BackendServer(b.ID); owner != nil && owner.Service != b.Service {
					out = append(out, Conflict{ConflictBackendServer, b.ID, owner.Service, b.Service})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(a.What, b.What), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Refused, b.Refused))
	})
	return out
}
