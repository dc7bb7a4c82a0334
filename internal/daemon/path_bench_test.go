package daemon

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
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

func sender(client *http.Client, method, url string, body []byte) func() error {
	return func() error {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

// BenchmarkAddedLatency compares a direct call of the backend server with the path through entry and home, in one run. The
// figure to look at is added-p99-us; the target at the size to design for is 3,700.
func BenchmarkAddedLatency(b *testing.B) {
	const workers = 4
	p := newPath(b, 4)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
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
	p := newPath(b, 16)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	b.ResetTimer()
	measure(b, workers, sender(client, "GET", p.entry.URL+"/stock/7", nil))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
