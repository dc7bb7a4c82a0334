package registry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// The size that the daemon is designed for: docs/design/two-customers.md, part 1.
const (
	designRoutes        = 26_000
	designOrganisations = 37_000
)

func designKey(i int) string { return fmt.Sprint("key of organisation ", i) }

// designConfiguration returns a configuration with a number of organisations.
func designConfiguration(organisations int) *Configuration {
	c := &Configuration{Version: 1, MaxBodyBytes: 1 << 20}
	for i := range 890 {
		c.Services = append(c.Services, Service{Name: fmt.Sprintf("service-%03d", i), HealthPath: "/health"})
	}
	for i := range designRoutes {
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprintf("route-%05d", i), Host: fmt.Sprintf("host-%03d.example", i%400), PathPrefix: fmt.Sprintf("/area-%d/orders/", i/400), Kind: Kind(i % 4),
			Timeout: 4 * time.Second, Goal: 1200 * time.Millisecond, Rank: i % 4, MaxBackends: 2, Parts: []catalog.WeightedService{{Service: fmt.Sprintf("service-%03d", i%890), Weight: 1}},
		})
	}
	for i := range organisations {
		c.Organisations = append(c.Organisations, Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), Keys: []catalog.KeyDigest{catalog.DigestOf(designKey(i))}, Rank: i % 4, RatePerSecond: float64(i%50) + 5, Burst: 5,
		})
	}
	return c
}

func designTable(c *Configuration) *Table {
	t := NewTable()
	t.Apply(time.Unix(0, 0), []Change{{Key: "op/config", Revision: 1, Configuration: c}})
	return t
}

// BenchmarkOrganisationByKey looks up organisations by the digest of a key, and by the key.
func BenchmarkOrganisationByKey(b *testing.B) {
	s := Build(designTable(designConfiguration(designOrganisations)), BuildOptions{})
	keys, digests := make([]string, 1024), make([]catalog.KeyDigest, 1024)
	for i := range keys {
		keys[i] = designKey(i * 36)
		digests[i] = catalog.DigestOf(keys[i])
	}
	i := 0
	next := func() int { i++; return i % len(keys) }
	for name, look := range map[string]func() *catalog.Customer{
		"digest":  func() *catalog.Customer { return s.CustomerByKey(digests[next()]) },
		"key":     func() *catalog.Customer { return s.CustomerByKey(catalog.DigestOf(keys[next()])) },
		"by-name": func() *catalog.Customer { return s.Organisations().ByName("organisation-04711") },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if look() == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkBuildOrganisations builds a snapshot of a new configuration, and one after a registration
// has changed.
func BenchmarkBuildOrganisations(b *testing.B) {
	for _, n := range []int{0, designOrganisations} {
		c := designConfiguration(n)
		b.Run(fmt.Sprintf("%d/new-configuration", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(designTable(c), BuildOptions{})
			}
		})
		b.Run(fmt.Sprintf("%d/same-configuration", n), func(b *testing.B) {
			t := designTable(c)
			Build(t, BuildOptions{})
			b.ReportAllocs()
			for b.Loop() {
				Build(t, BuildOptions{})
			}
		})
	}
}

// BenchmarkOrganisationDelta makes, encodes, decodes and applies the delta for one changed
// organisation of all.
func BenchmarkOrganisationDelta(b *testing.B) {
	before := designConfiguration(designOrganisations)
	after := *before
	after.Organisations = append([]Organisation(nil), before.Organisations...)
	after.Organisations[17_000].Keys = []catalog.KeyDigest{catalog.DigestOf("new key")}
	var data []byte
	b.ReportAllocs()
	for b.Loop() {
		data, _ = json.Marshal(DiffConfigurations(before, &after))
		var d ConfigurationDelta
		if err := json.Unmarshal(data, &d); err != nil {
			b.Fatal(err)
		}
		if _, err := d.Apply(before); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "message-B")
}

// BenchmarkOrganisationHeap reports the heap of the organisations in a configuration and in its
// snapshot, and the size of the whole configuration as a message.
func BenchmarkOrganisationHeap(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
	}
	before := heap()
	c := designConfiguration(0)
	s := Build(designTable(c), BuildOptions{})
	without := heap() - before
	runtime.KeepAlive(s)
	routes, _ := json.Marshal(c)
	c, s = nil, nil
	before = heap()
	c = designConfiguration(designOrganisations)
	configuration := heap() - before
	s = Build(designTable(c), BuildOptions{})
	total := heap() - before
	whole, _ := json.Marshal(c)
	runtime.KeepAlive(s)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(without, "without-B")
	b.ReportMetric(total, "with-B")
	b.ReportMetric(total-configuration, "snapshot-B")
	b.ReportMetric(float64(len(routes)), "routes-json-B")
	b.ReportMetric(float64(len(whole)), "json-B")
}
