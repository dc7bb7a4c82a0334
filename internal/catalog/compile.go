package catalog

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// compiledValue is the content of one value of the configuration service, with defaults filled in.
type compiledValue struct {
	customers []Customer
	services  []*Service
	vms       []contract.VM
	regions   map[string]string // by data centre
}

// compiler fills in defaults and interns strings. Decoded documents repeat the names of services,
// paths and methods many times.
type compiler struct {
	interned map[string]string
	methods  map[string][]string
}

func newCompiler() *compiler {
	return &compiler{interned: map[string]string{}, methods: map[string][]string{}}
}

// intern returns a string equal to s that all users share.
func (c *compiler) intern(s string) string {
	if shared, ok := c.interned[s]; ok {
		return shared
	}
	// The clone does not keep the larger string alive that s may be part of.
	s = strings.Clone(s)
	c.interned[s] = s
	return s
}

// internMethods returns a slice equal to list that all users share.
func (c *compiler) internMethods(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	key := strings.Join(list, " ")
	if shared, ok := c.methods[key]; ok {
		return shared
	}
	list = slices.Clone(list)
	for i := range list {
		list[i] = c.intern(list[i])
	}
	c.methods[key] = list
	return list
}

var trueValue, falseValue = true, false

// internBool returns a pointer to an equal value that all users share, so that routes do not
// allocate one each.
func internBool(b *bool) *bool {
	switch {
	case b == nil:
		return nil
	case *b:
		return &trueValue
	default:
		return &falseValue
	}
}

func (c *compiler) compileValue(src Source) *compiledValue {
	docs := &src.Documents
	p := &compiledValue{}
	if len(docs.Contracts) > 0 {
		p.customers = make([]Customer, len(docs.Contracts))
		for i := range docs.Contracts {
			c.compileCustomer(&docs.Contracts[i], &p.customers[i])
		}
	}
	for i := range docs.Services {
		p.services = append(p.services, c.compileService(&docs.Services[i], src.Revision))
	}
	p.vms = slices.Clone(docs.VMs)
	if len(docs.DataCentres) > 0 {
		p.regions = map[string]string{}
		for _, dc := range docs.DataCentres {
			p.regions[dc.DataCentre] = dc.Region
		}
	}
	return p
}

// compileService compiles a service. The VMs of its backend servers have only an ID, and Edit sets
// them, because it knows all VMs.
func (c *compiler) compileService(doc *contract.Service, revision uint64) *Service {
	svc := &Service{
		Name:           c.intern(doc.Service),
		Revision:       revision,
		Floor:          FloorCount(len(doc.BackendServers), orDefault(doc.FloorPercent, DefaultFloorPercent)),
		Preset:         c.intern(orDefault(doc.Preset, DefaultPreset)),
		Detector:       doc.Detector,
		HealthPath:     c.intern(orDefault(doc.HealthPath, DefaultHealthPath)),
		BackendServers: make([]*BackendServer, len(doc.BackendServers)),
	}
	for i, b := range doc.BackendServers {
		svc.BackendServers[i] = &BackendServer{
			ID:      b.ID,
			Service: svc.Name,
			Address: c.intern(b.Address),
			Slots:   orDefault(b.Slots, DefaultSlots),
			VM:      &VM{ID: c.intern(b.VM)},
		}
	}
	return svc
}

// compileCustomer compiles a contract into out. API key digests that are not valid hex are left
// out.
func (c *compiler) compileCustomer(doc *contract.Contract, out *Customer) {
	*out = Customer{
		Name:               doc.Customer,
		Generation:         doc.Generation,
		Limits:             doc.Limits,
		Deadline:           orDefault(time.Duration(doc.Deadline), DefaultDeadline),
		RetryBudgetPercent: derefOr(doc.RetryBudgetPercent, DefaultRetryBudgetPercent),
		Priority:           derefOr(doc.Priority, DefaultPriority),
		SpillToOtherRegion: doc.OtherRegion == "spill",
	}
	out.Limits.MaxRequestBytes = orDefault(out.Limits.MaxRequestBytes, DefaultMaxRequestBytes)
	out.Limits.Burst = orDefault(out.Limits.Burst, max(1, int(out.Limits.RatePerSecond)))
	if len(doc.Routes) > 0 {
		out.Routes = make([]Route, len(doc.Routes))
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		out.Routes[i] = Route{
			PathPrefix:     c.intern(r.PathPrefix),
			Methods:        c.internMethods(r.Methods),
			Service:        c.intern(r.Service),
			AtMostOnce:     r.AtMostOnce,
			SafeToRepeat:   internBool(r.SafeToRepeat),
			LargeResponses: r.LargeResponses,
			Deadline:       orDefault(time.Duration(r.Deadline), out.Deadline),
		}
	}
	slices.SortStableFunc(out.Routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	out.keys = make([]KeyDigest, 0, len(doc.APIKeySHA256))
	for _, text := range doc.APIKeySHA256 {
		var digest KeyDigest
		if len(text) != hex.EncodedLen(len(digest)) {
			continue
		}
		if _, err := hex.Decode(digest[:], []byte(text)); err == nil {
			out.keys = append(out.keys, digest)
		}
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func derefOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
