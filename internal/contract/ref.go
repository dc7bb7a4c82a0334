package contract

import (
	"cmp"
	"fmt"
	"slices"
)

// Ref identifies a document by kind and name.
type Ref struct {
	// Kind is one of KindContract, KindService, KindVM and KindDataCentre.
	Kind string `json:"kind"`
	// Name is the name of the customer, service, VM or data centre.
	Name string `json:"name"`
}

// String returns the kind and the name, such as "Contract hotel-borg".
func (r Ref) String() string { return fmt.Sprintf("%s %s", r.Kind, r.Name) }

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Document is one of *Contract, *Service, *VM and *DataCentre.
type Document interface {
	// Ref returns the kind and the name of the document.
	Ref() Ref
	// Version returns the generation of the document. It has another name than the field
	// Generation, because a Go type cannot have a field and a method of the same name.
	Version() uint64
	// check reports all issues of the document itself. References to others are not followed.
	check(c *checker)
}

// Ref returns the kind and the customer.
func (d *Contract) Ref() Ref { return Ref{KindContract, d.Customer} }

// Version returns the generation.
func (d *Contract) Version() uint64 { return d.Generation }

// Ref returns the kind and the service.
func (d *Service) Ref() Ref { return Ref{KindService, d.Service} }

// Version returns the generation.
func (d *Service) Version() uint64 { return d.Generation }

// Ref returns the kind and the VM.
func (d *VM) Ref() Ref { return Ref{KindVM, d.VM} }

// Version returns the generation.
func (d *VM) Version() uint64 { return d.Generation }

// Ref returns the kind and the data centre.
func (d *DataCentre) Ref() Ref { return Ref{KindDataCentre, d.DataCentre} }

// Version returns the generation.
func (d *DataCentre) Version() uint64 { return d.Generation }

// newDocument returns an empty document of the kind, or nil for an unknown kind.
func newDocument(kind string) Document {
	switch kind {
	case KindContract:
		return &Contract{}
	case KindService:
		return &Service{}
	case KindVM:
		return &VM{}
	case KindDataCentre:
		return &DataCentre{}
	default:
		return nil
	}
}

// All returns pointers to all documents, ordered by kind and name. The pointers refer to the
// elements of d, so changes through them change d.
func (d *Documents) All() []Document {
	all := make([]Document, 0, len(d.Contracts)+len(d.Services)+len(d.VMs)+len(d.DataCentres))
	for i := range d.Contracts {
		all = append(all, &d.Contracts[i])
	}
	for i := range d.Services {
		all = append(all, &d.Services[i])
	}
	for i := range d.VMs {
		all = append(all, &d.VMs[i])
	}
	for i := range d.DataCentres {
		all = append(all, &d.DataCentres[i])
	}
	slices.SortStableFunc(all, func(a, b Document) int { return compareRefs(a.Ref(), b.Ref()) })
	return all
}

// Add appends a shallow copy of the document: the copy shares its lists with the original.
func (d *Documents) Add(doc Document) {
	switch doc := doc.(type) {
	case *Contract:
		d.Contracts = append(d.Contracts, *doc)
	case *Service:
		d.Services = append(d.Services, *doc)
	case *VM:
		d.VMs = append(d.VMs, *doc)
	case *DataCentre:
		d.DataCentres = append(d.DataCentres, *doc)
	}
}
