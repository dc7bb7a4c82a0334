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

// Source is the content of one value of the configuration service with its revision.
type Source struct {
	// Value is the name of the value, such as "contracts/007". Build accepts sources without a name.
	Value     string
	Revision  uint64
	Documents contract.Documents
	// Claims tell since when documents of the value list contested identifiers, as far as that is before Revision.
	Claims []contract.Claim
}

// Build compiles checked documents. References to unknown data centres or VMs leave the locality empty, so that a value
// that arrives late does not block the rest.
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

// Edit prepares the next snapshot. Putting values one after the other needs the decoded documents of one value at a time,
// which matters at start, when all values are compiled. An Edit is used by one goroutine.
type Edit struct {
	base      *Snapshot
	compile   *compiler
	parts     map[string]*part
	customers *tableEdit[Customer]
	keys      *tableEdit[Customer]
	backends  *tableEdit[BackendServer]
	services  map[string]*Service

	touched      map[string]bool // values put by this edit; it may change their services
	servicesOwn  bool
	localityDiff bool
	shadowed     bool
	// contested are the identifiers put since the last call of Contested that another document lists too.
	contestedKeys     []KeyDigest
	contestedBackends []string
}

// claims tell since when the documents of one value list identifiers.
type claims struct {
	revision uint64
	earlier  map[claimed]uint64
}

type claimed struct{ kind, document, id string }

func claimsOf(src Source) claims {
	c := claims{revision: src.Revision, earlier: make(map[claimed]uint64, len(src.Claims))}
	for _, e := range src.Claims {
		c.earlier[claimed{e.Ref.Kind, e.Ref.Name, e.ID}] = e.Since
	}
	return c
}

func (c *claims) since(kind, document, id string) uint64 {
	if earlier, ok := c.earlier[claimed{kind, document, id}]; ok {
		return min(earlier, c.revision)
	}
	return c.revision
}

func byName(a, b *Customer) int { return strings.Compare(a.Name, b.Name) }

func byService(a, b *BackendServer) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Service, b.Service))
}

// Edit returns an Edit that starts from the snapshot.
func (s *Snapshot) Edit() *Edit {
	e := &Edit{base: s, compile: newCompiler(), parts: maps.Clone(s.parts), services: s.services, touched: map[string]bool{}}
	if e.parts == nil {
		e.parts = map[string]*part{}
	}
	e.customers, e.keys, e.backends = s.customers.edit(), s.keys.edit(), s.backends.edit()
	return e
}

// Put replaces the content of the value that the source names. The documents of the source may be reused afterwards, but
// not their maps and texts.
func (e *Edit) Put(src Source) {
	old, next := e.parts[src.Value], e.compile.part(src)
	if old == nil {
		old = &part{}
	}
	e.parts[src.Value] = next
	e.touched[src.Value] = true
	claims := claimsOf(src)
	e.replaceCustomers(old.customers, next.customers, &claims)
	if len(old.services) > 0 || len(next.services) > 0 {
		e.replaceServices(old.services, next.services, &claims)
	}
	if !slices.Equal(old.vms, next.vms) || !maps.Equal(old.regions, next.regions) {
		e.localityDiff = true
	}
}

func (e *Edit) replaceCustomers(old, next []Customer, claims *claims) {
	before := make(map[string]*Customer, len(old))
	for i := range old {
		before[old[i].Name] = &old[i]
	}
	for i := range next {
		c := &next[i]
		e.customers.put(hashOf(c.Name), 0, c, byName)
		for k := range c.keys {
			since := claims.revision
			if len(claims.earlier) > 0 {
				since = claims.since(contract.KindContract, c.Name, c.keys[k].Hex())
			}
			if e.keys.put(c.keys[k].hash(), since, c, byName) > 1 {
				e.shadowed = true
				e.contestedKeys = append(e.contestedKeys, c.keys[k])
			}
		}
		if previous := before[c.Name]; previous != nil {
			e.removeKeys(previous, c.keys)
			delete(before, c.Name)
		}
	}
	for _, c := range before {
		e.customers.remove(hashOf(c.Name), c, byName)
		e.removeKeys(c, nil)
	}
}

func (e *Edit) removeKeys(c *Customer, except []KeyDigest) {
	for k := range c.keys {
		hash := c.keys[k].hash()
		if !slices.ContainsFunc(except, func(d KeyDigest) bool { return d.hash() == hash }) {
			e.keys.remove(hash, c, byName)
		}
	}
}

func (e *Edit) ownServices() {
	if !e.servicesOwn {
		e.servicesOwn = true
		e.services = maps.Clone(e.services)
		if e.services == nil {
			e.services = map[string]*Service{}
		}
	}
}

func (e *Edit) replaceServices(old, next []*Service, claims *claims) {
	e.ownServices()
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
				e.backends.remove(hashOf(b.ID), b, byService)
			}
		}
	}
}

// putBackend reports whether another service lists the backend server too.
func (e *Edit) putBackend(b *BackendServer, since uint64) (contested bool) {
	contested = e.backends.put(hashOf(b.ID), since, b, byService) > 1
	e.shadowed = e.shadowed || contested
	return contested
}

// Contested returns all claims on the identifiers that the values put since the last call share with another document.
func (e *Edit) Contested() []contract.Claim {
	var out []contract.Claim
	for i := range e.contestedKeys {
		digest := &e.contestedKeys[i]
		for _, entry := range e.keys.slot(digest.hash()) {
			if entry.value.hasKey(digest) {
				out = append(out, contract.Claim{Ref: contract.Ref{Kind: contract.KindContract, Name: entry.value.Name}, ID: digest.Hex(), Since: entry.rank})
			}
		}
	}
	for _, id := range e.contestedBackends {
		for _, entry := range e.backends.slot(hashOf(id)) {
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
	if e.localityDiff || vms == nil {
		vms = e.resolveVMs()
		for name := range e.parts {
			e.resolveServices(name, vms)
		}
	} else {
		for name := range e.touched {
			e.resolveServices(name, vms)
		}
	}
	s := &Snapshot{parts: e.parts, services: e.services, vms: vms}
	if s.services == nil {
		s.services = map[string]*Service{}
	}
	s.customers, s.keys, s.backends = e.customers.finish(), e.keys.finish(), e.backends.finish()
	if e.shadowed || len(e.base.conflicts) > 0 {
		s.conflicts = s.findConflicts()
	}
	return s
}

// resolveVMs returns all VMs with their locality. VMs that did not change keep their pointers, so that only the services
// with a changed VM are copied.
func (e *Edit) resolveVMs() map[string]*VM {
	regions := map[string]string{}
	for _, p := range e.parts {
		maps.Copy(regions, p.regions)
	}
	vms := map[string]*VM{}
	for _, p := range e.parts {
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

// resolveServices points the backend servers of a value to their VMs. Services of older snapshots are copied.
func (e *Edit) resolveServices(value string, vms map[string]*VM) {
	p := e.parts[value]
	copied := false
	for i, svc := range p.services {
		if !slices.ContainsFunc(svc.BackendServers, func(b *BackendServer) bool { return b.VM != vmOf(b, vms) }) {
			continue
		}
		if e.touched[value] {
			for _, b := range svc.BackendServers {
				b.VM = vmOf(b, vms)
			}
			continue
		}
		if !copied {
			copied = true
			next := *p
			next.services = slices.Clone(p.services)
			e.parts[value] = &next
		}
		e.parts[value].services[i] = e.moveService(svc, vms)
	}
}

// moveService returns a copy of the service whose backend servers point to their VMs.
func (e *Edit) moveService(svc *Service, vms map[string]*VM) *Service {
	moved := *svc
	moved.BackendServers = make([]*BackendServer, len(svc.BackendServers))
	for i, b := range svc.BackendServers {
		backend := *b
		backend.VM = vmOf(b, vms)
		moved.BackendServers[i] = &backend
		e.putBackend(&backend, math.MaxUint64) // the entry replaced keeps its rank
	}
	e.ownServices()
	e.services[moved.Name] = &moved
	return &moved
}

// vmOf returns the VM of the backend server. An unknown VM has an id only.
func vmOf(b *BackendServer, vms map[string]*VM) *VM {
	if vm := vms[b.VM.ID]; vm != nil {
		return vm
	}
	if unknown := (VM{ID: b.VM.ID}); *b.VM != unknown {
		return &unknown
	}
	return b.VM
}

func (s *Snapshot) findConflicts() []Conflict {
	var out []Conflict
	for _, p := range s.parts {
		for i := range p.customers {
			c := &p.customers[i]
			for k := range c.keys {
				if holder := s.CustomerByKey(c.keys[k]); holder != nil && holder.Name != c.Name {
					out = append(out, Conflict{ConflictAPIKey, c.keys[k].Hex(), holder.Name, c.Name})
				}
			}
		}
		for _, svc := range p.services {
			for _, b := range svc.BackendServers {
				if holder := s.BackendServer(b.ID); holder != nil && holder.Service != b.Service {
					out = append(out, Conflict{ConflictBackendServer, b.ID, holder.Service, b.Service})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(a.What, b.What), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Refused, b.Refused))
	})
	return out
}
