package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Defaults of the documents.
const (
	DefaultDeadline           = 10 * time.Second
	DefaultRetryBudgetPercent = 10
	DefaultPriority           = 5
	DefaultMaxRequestBytes    = 1 << 20
	DefaultSlots              = 5
	DefaultFloorPercent       = 70
	DefaultPreset             = "few-false-ejections"
	DefaultHealthPath         = "/healthz"
)

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(apiKey string) KeyDigest { return sha256.Sum256([]byte(apiKey)) }

// Snapshot is the configuration in force. It does not change after Build.
type Snapshot struct {
	byKey     map[KeyDigest]*Customer
	customers map[string]*Customer
	services  map[string]*Service
	backends  map[string]*BackendServer
	vms       map[string]*VM
}

// Source is the content of one value of the configuration service with its revision.
type Source struct {
	Revision  uint64
	Documents contract.Documents
}

// Build compiles checked documents. References to unknown data centres or VMs leave the locality empty, so that a value
// that arrives late does not block the rest.
func Build(sources []Source) *Snapshot {
	s := &Snapshot{
		byKey:     map[KeyDigest]*Customer{},
		customers: map[string]*Customer{},
		services:  map[string]*Service{},
		backends:  map[string]*BackendServer{},
		vms:       map[string]*VM{},
	}
	regions := map[string]string{}
	for _, src := range sources {
		for _, dc := range src.Documents.DataCentres {
			regions[dc.DataCentre] = dc.Region
		}
	}
	for _, src := range sources {
		for _, vm := range src.Documents.VMs {
			locality := Locality{DataCentre: vm.DataCentre, Region: regions[vm.DataCentre]}
			s.vms[vm.VM] = &VM{ID: vm.VM, Locality: locality, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress}
		}
	}
	for _, src := range sources {
		for i := range src.Documents.Services {
			s.addService(&src.Documents.Services[i], src.Revision)
		}
		for i := range src.Documents.Contracts {
			s.addContract(&src.Documents.Contracts[i])
		}
	}
	return s
}

func (s *Snapshot) addService(doc *contract.Service, revision uint64) {
	svc := &Service{
		Name:       doc.Service,
		Revision:   revision,
		Floor:      FloorCount(len(doc.BackendServers), orDefault(doc.FloorPercent, DefaultFloorPercent)),
		Preset:     orDefault(doc.Preset, DefaultPreset),
		Detector:   doc.Detector,
		HealthPath: orDefault(doc.HealthPath, DefaultHealthPath),
	}
	for _, b := range doc.BackendServers {
		backend := &BackendServer{ID: b.ID, Service: doc.Service, Address: b.Address, Slots: orDefault(b.Slots, DefaultSlots), VM: s.vms[b.VM]}
		if backend.VM == nil {
			backend.VM = &VM{ID: b.VM}
		}
		svc.BackendServers = append(svc.BackendServers, backend)
		s.backends[b.ID] = backend
	}
	s.services[doc.Service] = svc
}

func (s *Snapshot) addContract(doc *contract.Contract) {
	c := &Customer{
		Name:               doc.Customer,
		Generation:         doc.Generation,
		Limits:             doc.Limits,
		Deadline:           orDefault(time.Duration(doc.Deadline), DefaultDeadline),
		RetryBudgetPercent: valueOr(doc.RetryBudgetPercent, DefaultRetryBudgetPercent),
		Priority:           valueOr(doc.Priority, DefaultPriority),
		SpillToOtherRegion: doc.OtherRegion == "spill",
	}
	c.Limits.MaxRequestBytes = orDefault(c.Limits.MaxRequestBytes, DefaultMaxRequestBytes)
	c.Limits.Burst = orDefault(c.Limits.Burst, max(1, int(c.Limits.RatePerSecond)))
	for _, r := range doc.Routes {
		c.Routes = append(c.Routes, Route{
			PathPrefix:   r.PathPrefix,
			Methods:      r.Methods,
			Service:      r.Service,
			AtMostOnce:   r.AtMostOnce,
			SafeToRepeat: r.SafeToRepeat,
			Deadline:     orDefault(time.Duration(r.Deadline), c.Deadline),
		})
	}
	slices.SortStableFunc(c.Routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	s.customers[c.Name] = c
	for _, text := range doc.APIKeySHA256 {
		var digest KeyDigest
		if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
			s.byKey[digest] = c
		}
	}
}

// CustomerByKey returns the customer that an API key identifies, or nil.
func (s *Snapshot) CustomerByKey(digest KeyDigest) *Customer { return s.byKey[digest] }

// Customer returns the customer with the name, or nil.
func (s *Snapshot) Customer(name string) *Customer { return s.customers[name] }

// Service returns the service with the name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// BackendServer returns the backend server with the id, or nil.
func (s *Snapshot) BackendServer(id string) *BackendServer { return s.backends[id] }

// VM returns the VM with the id, or nil.
func (s *Snapshot) VM(id string) *VM { return s.vms[id] }

// VMs returns all VMs by id. The map must not be changed.
func (s *Snapshot) VMs() map[string]*VM { return s.vms }

// Services returns all services by name. The map must not be changed.
func (s *Snapshot) Services() map[string]*Service { return s.services }

// Customers returns all customers by name. The map must not be changed.
func (s *Snapshot) Customers() map[string]*Customer { return s.customers }

// Route returns the route of the customer with the longest prefix that matches path, or nil.
func (c *Customer) Route(path string) *Route {
	for i := range c.Routes {
		if c.Routes[i].matches(path) {
			return &c.Routes[i]
		}
	}
	return nil
}

func (r *Route) matches(path string) bool {
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// Allows reports whether the route accepts the HTTP method.
func (r *Route) Allows(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// Repeatable reports whether a request may be tried again although the first try may have run.
func (r *Route) Repeatable(method string) bool {
	if r.AtMostOnce {
		return false
	}
	if r.SafeToRepeat != nil {
		return *r.SafeToRepeat
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
