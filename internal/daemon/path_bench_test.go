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

// measure sends b.N requests from several workers and reports the latency quantiles in microseconds.
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

// benchSlots is above the workers of any benchmark, and without a cold start all slots count at once: refusals of full slots
// would otherwise be measured in place of the path.
const benchSlots = 256

func newBenchPath(b *testing.B, vms int) *path {
	b.Helper()
	return newPathWith(b, vms, pathOptions{
		slots: benchSlots, service: contract.Service{Detector: map[string]float64{"coldStart": 0}},
		memory: operation.Options{MaxEntries: 1 << 22, MaxBytes: 1 << 32, CustomerPercent: 100},
	})
}

func newClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
}

// exchange sends one request and returns its status and operation key.
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

// sender returns a function that sends one request and takes any status but 200 for an error.
func sender(client *http.Client, method, url string, body []byte) func() error {
	return func() error {
		status, _, err := exchange(client, method, url, bytes.NewReader(body), "")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	}
}

// BenchmarkAddedLatency compares a direct call of the backend server with the path through entry and home, in one run. The
// figure to look at is added-p99-us; the target at the size to design for is 3,700.
func BenchmarkAddedLatency(b *testing.B) {
	const workers = 4
	p := newBenchPath(b, 4)
	client := newClient(workers)
	direct50, direct99 := measure(b, workers, sender(client, "GET", "http://"+p.addresses[0]+"/stock/7", nil))
	b.ResetTimer()
	p50, p99 := measure(b, workers, sender(client, "GET", p.entry.URL+"/stock/7", nil))
	b.ReportMetric(float64((p50 - direct50).Microseconds()), "added-p50-us")
	b.ReportMetric(float64((p99 - direct99).Microseconds()), "added-p99-us")
	b.ReportAllocs()
}

// BenchmarkThroughput sends as fast as many workers can; requests a second divided by the cores in use give the rate per core.
func BenchmarkThroughput(b *testing.B) {
	const workers = 128
	p := newBenchPath(b, 16)
	b.ResetTimer()
	measure(b, workers, sender(newClient(workers), "GET", p.entry.URL+"/stock/7", nil))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportAllocs()
}

// BenchmarkOperation compares an order on a plain route with one on an at-most-once route, whose key costs another round trip,
// at the key's owner and through another daemon.
func BenchmarkOperation(b *testing.B) {
	const workers = 4
	body := []byte("order")
	plain := func(p *path, client *http.Client) func() error {
		return sender(client, "POST", p.entry.URL+"/orders/7", body)
	}
	once := func(via int) func(*path, *http.Client) func() error {
		return func(p *path, client *http.Client) func() error {
			return func() error {
				_, key, err := exchange(client, "POST", p.entry.URL+order, bytes.NewReader(body), "")
				if err != nil {
					return err
				}
				status, _, err := exchange(client, "POST", p.entries[via].URL+order, bytes.NewReader(body), key)
				if err == nil && status != http.StatusOK {
					err = fmt.Errorf("status %d", status)
				}
				return err
			}
		}
	}
	for _, c := range []struct {
		name string
		send func(*path, *http.Client) func() error
	}{{"plain", plain}, {"at-most-once-owner", once(0)}, {"at-most-once-other-daemon", once(1)}} {
		b.Run(c.name, func(b *testing.B) {
			p := newBenchPath(b, 4)
			send := c.send(p, newClient(workers))
			b.ResetTimer()
			p50, p99 := measure(b, workers, send)
			b.ReportMetric(float64(p50.Microseconds()), "p50-us")
			b.ReportMetric(float64(p99.Microseconds()), "p99-us")
			b.ReportAllocs()
		})
	}
}

// BenchmarkRetryAmplification sends lookups while a share of the backend servers cuts every response, and counts the tries that
// reach the backend servers. The retry budget of the contract is the default of 10 percent, so tries must stay below about 1.1
// a request however many fail.
func BenchmarkRetryAmplification(b *testing.B) {
	const workers, vms = 4, 10
	for _, failing := range []int{0, 10, 50, 100} {
		b.Run(fmt.Sprintf("failing-%d-percent", failing), func(b *testing.B) {
			p := newBenchPath(b, vms)
			for _, s := range p.backends[:vms*failing/100] {
				s.SetFaults(backend.Faults{CutShare: 1})
			}
			client := newClient(workers)
			var answered atomic.Int64
			b.ResetTimer()
			measure(b, workers, func() error {
				status, _, err := exchange(client, "GET", p.entry.URL+"/stock/7", nil, "")
				if status == http.StatusOK {
					answered.Add(1)
				}
				return err
			})
			tries := 0
			for _, s := range p.backends {
				tries += s.Stats().Requests
			}
			b.ReportMetric(float64(tries)/float64(b.N), "tries/request")
			b.ReportMetric(float64(answered.Load())/float64(b.N), "answered/request")
		})
	}
}

// BenchmarkLargeStream measures one stream in each direction through entry and home.
func BenchmarkLargeStream(b *testing.B) {
	const size = 64 << 20
	for _, c := range []struct {
		name, method, target string
		body                 []byte
	}{{"download", "GET", fmt.Sprintf("/size/%d", size), nil}, {"upload", "PUT", "/catalogue", make([]byte, size)}} {
		b.Run(c.name, func(b *testing.B) {
			p := newPathWith(b, 1, pathOptions{slots: benchSlots, maxRequestBytes: size, service: contract.Service{Detector: map[string]float64{"coldStart": 0}}})
			send := sender(newClient(1), c.method, p.entry.URL+c.target, c.body)
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

// BenchmarkStreamMemory holds many downloads half-way, with callers that do not read on, and reports the memory of a stream. It
// includes the caller and the stand-in, which are in the same process.
func BenchmarkStreamMemory(b *testing.B) {
	const streams, size = 64, 64 << 20
	memory := func() float64 {
		runtime.GC()
		runtime.GC() // the second one frees what the first one left in pools
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		p := newBenchPath(b, 1)
		before := memory()
		var open []io.Closer
		for range streams {
			req, err := http.NewRequest("GET", fmt.Sprintf("%s/size/%d", p.entry.URL, size), nil)
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
