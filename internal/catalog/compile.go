package catalog

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// part is the compiled content of one value.
type part struct {
	revision  uint64
	customers []Customer
	services  []*Service
	vms       []contract.VM
	regions   map[string]string // by data centre
}

// compiler fills in defaults and lets equal texts share memory. Decoded documents repeat the names of services, paths and
// methods many times.
type compiler struct {
	texts   map[string]string
	methods map[string][]string
}

func newCompiler() *compiler {
	return &compiler{texts: map[string]string{}, methods: map[string][]string{}}
}

func (c *compiler) text(s string) string {
	if shared, ok := c.texts[s]; ok {
		return shared
	}
	// The clone drops the rest of a larger text that s may be a piece of.
	s = strings.Clone(s)
	c.texts[s] = s
	return s
}

func (c *compiler) methodList(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	key := strings.Join(list, " ")
	if shared, ok := c.methods[key]; ok {
		return shared
	}
	list = slices.Clone(list)
	for i := range list {
		list[i] = c.text(list[i])
	}
	c.methods[key] = list
	return list
}

var trueValue, falseValue = true, false

func sharedBool(b *bool) *bool {
	switch {
	case b == nil:
		return nil
	case *b:
		return &trueValue
	default:
		return &falseValue
	}
}

func (c *compiler) part(src Source) *part {
	docs := &src.Documents
	p := &part{revision: src.Revision}
	if len(docs.Contracts) > 0 {
		p.customers = make([]Customer, len(docs.Contracts))
		for i := range docs.Contracts {
			c.customer(&docs.Contracts[i], &p.customers[i])
		}
	}
	for i := range docs.Services {
		p.services = append(p.services, c.service(&docs.Services[i], src.Revision))
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

// service leaves the VMs of the backend servers to Edit, which knows all of them.
func (c *compiler) service(doc *contract.Service, revision uint64) *Service {
	svc := &Service{
		Name:           c.text(doc.Service),
		Revision:       revision,
		Floor:          FloorCount(len(doc.BackendServers), orDefault(doc.FloorPercent, DefaultFloorPercent)),
		Preset:         c.text(orDefault(doc.Preset, DefaultPreset)),
		Detector:       doc.Detector,
		HealthPath:     c.text(orDefault(doc.HealthPath, DefaultHealthPath)),
		BackendServers: make([]*BackendServer, len(doc.BackendServers)),
	}
	for i, b := range doc.BackendServers {
		svc.BackendServers[i] = &BackendServer{
			ID:      b.ID,
			Service: svc.Name,
			Address: c.text(b.Address),
			Slots:   orDefault(b.Slots, DefaultSlots),
			VM:      &VM{ID: c.text(b.VM)},
		}
	}
	return svc
}

func (c *compiler) customer(doc *contract.Contract, out *Customer) {
	*out = Customer{
		Name:               doc.Customer,
		Generation:         doc.Generation,
		Limits:             doc.Limits,
		Deadline:           orDefault(time.Duration(doc.Deadline), DefaultDeadline),
		RetryBudgetPercent: valueOr(doc.RetryBudgetPercent, DefaultRetryBudgetPercent),
		Priority:           valueOr(doc.Priority, DefaultPriority),
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
			PathPrefix:   c.text(r.PathPrefix),
			Methods:      c.methodList(r.Methods),
			Service:      c.text(r.Service),
			AtMostOnce:   r.AtMostOnce,
			SafeToRepeat: sharedBool(r.SafeToRepeat),
			Deadline:     orDefault(time.Duration(r.Deadline), out.Deadline),
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

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
