package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/operation"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
)

// measure sends b.N requests from several workers and returns the median and the 99th percentile of
// their latency.
func measure(b *testing.B, workers int, send func() error) (p50, p99 time.Duration) {
	b.Helper()
	times := make([][]time.Duration, workers)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < b.N; i += workers {
				start := time.Now()
				if err := send(); err != nil {
					b.Error(err)
					return
				}
				times[w] = append(times[w], time.Since(start))
			}
		}()
	}
	wg.Wait()
	all := slices.Concat(times...)
	slices.Sort(all)
	if len(all) == 0 {
		return 0, 0
	}
	return all[len(all)/2], all[len(all)*99/100]
}

// benchSlots is more than the workers of any benchmark. Detectors have no cold start, so that all
// slots count at once. Benchmarks would otherwise measure refusals for lack of slots.
const benchSlots = 256

func newBenchFleet(b *testing.B, vms int) *testFleet {
	b.Helper()
	return newTestFleetWith(b, vms, fleetOptions{
		slots: benchSlots, service: contract.Service{Detector: map[string]float64{"coldStart": 0}},
		operations: operation.Options{MaxEntries: 1 << 22, MaxBytes: 1 << 32, CustomerPercent: 100},
	})
}

// newCallerClient returns a client that keeps a connection for each worker.
func newCallerClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
}

// exchange sends one request, with key unless it is "", and returns its status and the operation
// key issued.
func exchange(client *http.Client, method, url string, body io.Reader, key string) (status int, issued string, err error) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(forward.HeaderIdempotencyKey, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(forward.HeaderOperationKey), err
}

// newSender returns a function that sends one request and returns an error for any status but 200.
func newSender(client *http.Client, method, url string, body []byte) func() error {
	return func() error {
		status, _, err := exchange(client, method, url, bytes.NewReader(body), "")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	}
}

// BenchmarkAddedLatency compares direct requests to a backend server with requests through entry
// and home, in one run. The metric of interest is added-p99-us. Its target is 3,700 at the size
// that the system is designed for.
func BenchmarkAddedLatency(b *testing.B) {
	const workers = 4
	fleet := newBenchFleet(b, 4)
	client := newCallerClient(workers)
	direct50, direct99 := measure(b, workers, newSender(client, "GET", "http://"+fleet.backendAddresses[0]+"/stock/7", nil))
	b.ResetTimer()
	p50, p99 := measure(b, workers, newSender(client, "GET", fleet.entry.URL+"/stock/7", nil))
	b.ReportMetric(float64((p50 - direct50).Microseconds()), "added-p50-us")
	b.ReportMetric(float64((p99 - direct99).Microseconds()), "added-p99-us")
	b.ReportAllocs()
}

// BenchmarkThroughput sends as fast as many workers can. Requests a second divided by the cores in
// use give the rate per core.
func BenchmarkThroughput(b *testing.B) {
	const workers = 128
	fleet := newBenchFleet(b, 16)
	b.ResetTimer()
	measure(b, workers, newSender(newCallerClient(workers), "GET", fleet.entry.URL+"/stock/7", nil))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportAllocs()
}

// BenchmarkOperation compares an order on a plain route with one on an at-most-once route, whose
// key takes another round trip. The latter is sent through the owner of the key and through another
// daemon.
func BenchmarkOperation(b *testing.B) {
	const workers = 4
	body := []byte("order")
	plain := func(fleet *testFleet, client *http.Client) func() error {
		return newSender(client, "POST", fleet.entry.URL+"/orders/7", body)
	}
	once := func(via int) func(*testFleet, *http.Client) func() error {
		return func(fleet *testFleet, client *http.Client) func() error {
			return func() error {
				_, key, err := exchange(client, "POST", fleet.entry.URL+order, bytes.NewReader(body), "")
				if err != nil {
					return err
				}
				status, _, err := exchange(client, "POST", fleet.entries[via].URL+order, bytes.NewReader(body), key)
				if err == nil && status != http.StatusOK {
					err = fmt.Errorf("status %d", status)
				}
				return err
			}
		}
	}
	for _, c := range []struct {
		name string
		send func(*testFleet, *http.Client) func() error
	}{{"plain", plain}, {"at-most-once-owner", once(0)}, {"at-most-once-other-daemon", once(1)}} {
		b.Run(c.name, func(b *testing.B) {
			fleet := newBenchFleet(b, 4)
			send := c.send(fleet, newCallerClient(workers))
			b.ResetTimer()
			p50, p99 := measure(b, workers, send)
			b.ReportMetric(float64(p50.Microseconds()), "p50-us")
			b.ReportMetric(float64(p99.Microseconds()), "p99-us")
			b.ReportAllocs()
		})
	}
}

// BenchmarkRetryAmplification sends lookups while a share of the backend servers truncates every
// response, and counts the tries that reach backend servers. The contract has the default retry
// budget of 10 percent, so there must be no more than about 1.1 tries a request however many fail.
func BenchmarkRetryAmplification(b *testing.B) {
	const workers, vms = 4, 10
	for _, failing := range []int{0, 10, 50, 100} {
		b.Run(fmt.Sprintf("failing-%d-percent", failing), func(b *testing.B) {
			fleet := newBenchFleet(b, vms)
			for _, s := range fleet.backends[:vms*failing/100] {
				s.SetFaults(backend.Faults{CutShare: 1})
			}
			client := newCallerClient(workers)
			var answered atomic.Int64
			b.ResetTimer()
			measure(b, workers, func() error {
				status, _, err := exchange(client, "GET", fleet.entry.URL+"/stock/7", nil, "")
				if status == http.StatusOK {
					answered.Add(1)
				}
				return err
			})
			tries := 0
			for _, s := range fleet.backends {
				tries += s.Stats().Requests
			}
			b.ReportMetric(float64(tries)/float64(b.N), "tries/request")
			b.ReportMetric(float64(answered.Load())/float64(b.N), "answered/request")
		})
	}
}

// BenchmarkLargeStream measures the throughput of one stream in each direction through entry and
// home.
func BenchmarkLargeStream(b *testing.B) {
	const size = 64 << 20
	for _, c := range []struct {
		name, method, target string
		body                 []byte
	}{{"download", "GET", fmt.Sprintf("/size/%d", size), nil}, {"upload", "PUT", "/catalogue", make([]byte, size)}} {
		b.Run(c.name, func(b *testing.B) {
			fleet := newTestFleetWith(b, 1, fleetOptions{slots: benchSlots, maxRequestBytes: size, service: contract.Service{Detector: map[string]float64{"coldStart": 0}}})
			send := newSender(newCallerClient(1), c.method, fleet.entry.URL+c.target, c.body)
			b.SetBytes(size)
			for b.Loop() {
				if err := send(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
		})
	}
}

// BenchmarkStreamMemory keeps many downloads open whose callers stop reading, and reports the
// memory of a stream. It includes that of the caller and of the backend server, which run in the
// same process.
func BenchmarkStreamMemory(b *testing.B) {
	const streams, size = 64, 64 << 20
	memory := func() float64 {
		runtime.GC()
		runtime.GC() // the second collection frees what the first left in pools
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		fleet := newBenchFleet(b, 1)
		before := memory()
		var open []io.Closer
		for range streams {
			req, err := http.NewRequest("GET", fmt.Sprintf("%s/size/%d", fleet.entry.URL, size), nil)
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Fatalf("%v %v", resp, err)
			}
			if _, err := io.CopyN(io.Discard, resp.Body, size/16); err != nil {
				b.Fatal(err)
			}
			open = append(open, resp.Body)
		}
		b.ReportMetric((memory()-before)/streams/1024, "KiB/stream")
		for _, body := range open {
			body.Close()
		}
	}
}
