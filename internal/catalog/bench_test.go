package catalog

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// fleetSize is the number of documents of each kind in a generated fleet.
type fleetSize struct{ contracts, routes, services, backends, vms int }

// designSize is the fleet that the daemon is designed for, from section 1.5 of docs/design.md.
var designSize = fleetSize{contracts: 37_000, routes: 26_000, services: 890, backends: 14_000, vms: 1_200}

func fleetDocuments(n fleetSize) contract.Documents {
	var docs contract.Documents
	header := contract.APIVersion
	for i := range 7 {
		docs.DataCentres = append(docs.DataCentres, contract.DataCentre{APIVersion: header, Kind: contract.KindDataCentre, DataCentre: fmt.Sprintf("dc-%d", i), Generation: 1, Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range n.vms {
		docs.VMs = append(docs.VMs, contract.VM{APIVersion: header, Kind: contract.KindVM, VM: fmt.Sprintf("vm-%04d", i), Generation: 1, DataCentre: fmt.Sprintf("dc-%d", i%7), PeerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), AdminAddress: "127.0.0.1:7002"})
	}
	for i := range n.services {
		docs.Services = append(docs.Services, contract.Service{APIVersion: header, Kind: contract.KindService, Service: fmt.Sprintf("service-%03d", i), Generation: 1, FloorPercent: 75})
	}
	for i := range n.backends {
		svc := &docs.Services[i%n.services]
		svc.BackendServers = append(svc.BackendServers, contract.BackendServer{ID: fmt.Sprintf("backend-%05d", i), VM: fmt.Sprintf("vm-%04d", i%n.vms), Address: fmt.Sprintf("127.0.0.1:%d", 8080+i/n.vms), Slots: 5})
	}
	for i := range n.contracts {
		docs.Contracts = append(docs.Contracts, contract.Contract{APIVersion: header, Kind: contract.KindContract, Customer: fmt.Sprintf("customer-%05d", i), Generation: uint64(i%9) + 1, APIKeySHA256: []string{fmt.Sprintf("%x", DigestOf(apiKey(i)))},
			Limits: contract.Limits{RatePerSecond: float64(i%50) + 1, Burst: i%100 + 1, Concurrency: i%20 + 1}, Routes: []contract.Route{}})
	}
	for i := range n.routes {
		c := &docs.Contracts[i%n.contracts]
		c.Routes = append(c.Routes, contract.Route{PathPrefix: fmt.Sprintf("/area-%d/orders", i%40), Methods: []string{"GET", "POST"}, Service: fmt.Sprintf("service-%03d", i%n.services), AtMostOnce: i%5 == 0})
	}
	return docs
}

func apiKey(i int) string { return fmt.Sprint("key ", i) }

func renderValues(b *testing.B, n fleetSize) map[string][]byte {
	values, err := contract.Render(fleetDocuments(n))
	if err != nil {
		b.Fatal(err)
	}
	delete(values, contract.ValueIndex)
	return values
}

func decodeSource(b *testing.B, name string, data []byte) Source {
	value, err := contract.DecodeValue(name, data, nil)
	if err != nil || len(value.Bad) > 0 {
		b.Fatal(err, value.Bad)
	}
	return Source{Value: name, Revision: 1, Documents: value.Documents}
}

func buildSnapshot(b *testing.B, values map[string][]byte) *Snapshot {
	edit := Build(nil).Edit()
	for name, data := range values {
		edit.Put(decodeSource(b, name, data))
	}
	return edit.Snapshot()
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func snapshotBytes(b *testing.B, n fleetSize) (int64, *Snapshot) {
	values := renderValues(b, n)
	before := heapInUse()
	s := buildSnapshot(b, values)
	after := heapInUse()
	runtime.KeepAlive(values)
	return after - before, s
}

// BenchmarkHeap reports the heap of the snapshot and of the compressed values at the design size,
// and the additional heap of one contract, route and backend server.
func BenchmarkHeap(b *testing.B) {
	n := designSize
	total, s := snapshotBytes(b, n)
	values := renderValues(b, n)
	before, raw := heapInUse(), 0
	compressed := map[string][]byte{}
	for name, data := range values {
		var out bytes.Buffer
		w, _ := flate.NewWriter(&out, flate.DefaultCompression)
		_, _ = w.Write(data)
		_ = w.Close()
		compressed[name] = bytes.Clone(out.Bytes())
		raw += len(data)
	}
	compressedBytes := heapInUse() - before
	runtime.KeepAlive(values)
	perContract, perRoute, perBackend := n, n, n
	perContract.contracts /= 2
	perRoute.routes /= 2
	perBackend.backends /= 2
	perItem := func(half fleetSize, difference int) float64 {
		less, other := snapshotBytes(b, half)
		runtime.KeepAlive(other)
		return float64(total-less) / float64(difference)
	}
	for b.Loop() {
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(total), "snapshot-B")
	b.ReportMetric(float64(compressedBytes), "compressed-B")
	b.ReportMetric(float64(raw), "json-B")
	b.ReportMetric(perItem(perContract, n.contracts/2), "B/contract")
	b.ReportMetric(perItem(perRoute, n.routes/2), "B/route")
	b.ReportMetric(perItem(perBackend, n.backends/2), "B/backend")
	runtime.KeepAlive(s)
	runtime.KeepAlive(compressed)
}

// BenchmarkBuildWhole decodes and compiles all values, as a daemon does at start.
func BenchmarkBuildWhole(b *testing.B) {
	values := renderValues(b, designSize)
	b.ReportAllocs()
	for b.Loop() {
		buildSnapshot(b, values)
	}
}

// BenchmarkReplace measures replacing one value of a snapshot at the design size, with and without
// decoding it.
func BenchmarkReplace(b *testing.B) {
	values := renderValues(b, designSize)
	s := buildSnapshot(b, values)
	moved := decodeSource(b, contract.ValueVMs, values[contract.ValueVMs])
	moved.Documents.VMs[0].DataCentre = "dc-1"
	b.Run("one-vm-moved", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Replace(moved)
		}
	})
	for _, name := range []string{contract.ContractValue(7), contract.ServiceValue(7), contract.ValueVMs} {
		src := decodeSource(b, name, values[name])
		b.Run(name+"/compiled", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Replace(src)
			}
		})
		b.Run(name+"/decoded-and-compiled", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Replace(decodeSource(b, name, values[name]))
			}
		})
	}
}

// BenchmarkLookup measures the look-ups of the request path at the design size.
func BenchmarkLookup(b *testing.B) {
	s := buildSnapshot(b, renderValues(b, designSize))
	digests := make([]KeyDigest, 1024)
	names, backends := make([]string, len(digests)), make([]string, len(digests))
	for i := range digests {
		digests[i], names[i], backends[i] = DigestOf(apiKey(i*36)), fmt.Sprintf("customer-%05d", i*36), fmt.Sprintf("backend-%05d", i*13)
	}
	i := 0
	next := func() int { i++; return i % len(digests) }
	for name, look := range map[string]func() bool{
		"key":     func() bool { return s.CustomerByKey(digests[next()]) != nil },
		"name":    func() bool { return s.Customer(names[next()]) != nil },
		"backend": func() bool { return s.BackendServer(backends[next()]) != nil },
		"key-and-route": func() bool {
			c := s.CustomerByKey(digests[next()])
			return c != nil && (len(c.Routes) == 0 || c.Route(c.Routes[0].PathPrefix) != nil)
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if !look() {
					b.Fatal("not found")
				}
			}
		})
	}
}
