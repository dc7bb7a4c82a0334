package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSmallRequest is the processor time of one small request and its response, with both ends
// in this process.
func BenchmarkSmallRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "3e1b9ac6c1a4f8f1d2e77c51f4c1a1c9")
		io.WriteString(w, `{"id":12345,"state":"done"}`) //nolint:errcheck // the response would be incomplete
	}))
	defer server.Close()
	transport := NewBackendTransport()
	defer transport.CloseIdleConnections()
	address := server.Listener.Addr().String()
	b.ReportAllocs()
	start := processorTime(b)
	for b.Loop() {
		if _, err := fetch(transport, address, "/orders/12345"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// BenchmarkHeadCheck is the cost of checking the head of a small response.
func BenchmarkHeadCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: 4f1c2b9a77e04d21\r\nContent-Type: application/json\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\n" +
		"Response-Signature: 3e1b9ac6c1a4f8f1d2e77c51f4c1a1c9\r\nContent-Length: 27\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var h headCheck
		if err := h.check(head); err != nil || !h.done {
			b.Fatal(err)
		}
	}
}
