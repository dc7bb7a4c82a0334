package catalog

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is the configuration in force. It is immutable and safe for concurrent use. Edit and
// Replace return new snapshots that share unchanged content.
type Snapshot struct {
	values    map[string]*compiledValue
	customers table[Customer]
	keys      table[Customer]
	backends  table[BackendServer]
	services  map[string]*Service
	vms       map[string]*VM
	conflicts []Conflict
	// hosts maps host names to customers. It is nil when callers are identified by API keys.
	hosts map[string]*Customer
	// organisations is nil if the configuration has none.
	organisations *Organisations
}

// Conflict is an identifier that two documents claim. It belongs to the document that claimed it at
// the lowest revision of the configuration service. Of claims at the same revision, the first by
// document name wins.
type Conflict struct {
	// What is ConflictAPIKey or ConflictBackendServer.
	What string `json:"what"`
	// ID is the digest of the API key in hex, or the ID of the backend server.
	ID string `json:"id"`
	// InForce and Refused are the customers, or the services, that claim the identifier. It belongs
	// to InForce.
	InForce string `json:"inForce"`
	Refused string `json:"refused"`
}

// The kinds of identifiers that two documents can claim.
const (
	ConflictAPIKey        = "api-key"
	ConflictBackendServer = "backend-server"
)

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

func (d *KeyDigest) hash() uint64 { return binary.LittleEndian.Uint64(d[:]) }

// CustomerByKey returns the customer that the API key identifies, or nil.
func (s *Snapshot) CustomerByKey(digest KeyDigest) *Customer {
	if s.organisations != nil {
		return s.organisations.ByKey(digest)
	}
	hash := digest.hash()
	for _, e := range s.keys.bucket(hash) {
		if e.hash == hash && e.value.hasKey(&digest) {
			return e.value
		}
	}
	return nil
}

// Customer returns the customer with the name, or nil.
func (s *Snapshot) Customer(name string) *Customer {
	hash := hashOf(name)
	for _, e := range s.customers.bucket(hash) {
		if e.hash == hash && e.value.Name == name {
			return e.value
		}
	}
	return nil
}

// BackendServer returns the backend server with the ID, or nil.
func (s *Snapshot) BackendServer(id string) *BackendServer {
	hash := hashOf(id)
	for _, e := range s.backends.bucket(hash) {
		if e.hash == hash && e.value.ID == id {
			return e.value
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// VM returns the VM with the ID, or nil.
func (s *Snapshot) VM(id string) *VM { return s.vms[id] }

// VMs returns all VMs by ID. The map must not be changed.
func (s *Snapshot) VMs() map[string]*VM { return s.vms }

// Services returns all services by name. The map must not be changed.
func (s *Snapshot) Services() map[string]*Service { return s.services }

// Customers returns all customers by name, in a new map. EachCustomer avoids the allocation.
func (s *Snapshot) Customers() map[string]*Customer {
	out := make(map[string]*Customer, s.customers.count)
	for c := range s.EachCustomer() {
		out[c.Name] = c
	}
	return out
}

// EachCustomer iterates over all customers in no particular order.
func (s *Snapshot) EachCustomer() iter.Seq[*Customer] {
	return func(yield func(*Customer) bool) {
		s.customers.all(func(_ uint64, c *Customer) bool { return yield(c) })
	}
}

// CustomerCount returns the number of customers.
func (s *Snapshot) CustomerCount() int { return s.customers.count }

// Conflicts returns the identifiers that two documents claim, sorted by kind, identifier and
// refused claimant. The slice must not be changed.
func (s *Snapshot) Conflicts() []Conflict { return s.conflicts }
