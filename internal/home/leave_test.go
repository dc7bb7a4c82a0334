package home

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// interimRecorder is an http.ResponseWriter that records whether its header map was in use when an
// interim response was sent. A server of HTTP/2 may read that map until long after.
type interimRecorder struct {
	http.ResponseWriter
	headerUsed      bool
	interim, shared int
}

func (w *interimRecorder) Header() http.Header {
	w.headerUsed = true
	return w.ResponseWriter.Header()
}

func (w *interimRecorder) WriteHeader(status int) {
	if status < http.StatusOK {
		if w.interim++; w.headerUsed {
			w.shared++
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *interimRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// startLeaving returns a home behind an HTTP/2 server as that for other daemons, with a backend server
// that answers with a megabyte.
func startLeaving(t *testing.T) (h *Home, url string) {
	answer := bytes.Repeat([]byte("x"), 1<<20)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the caller has left
		w.Write(answer)             //nolint:errcheck // the caller has left
	}))
	t.Cleanup(backend.Close)
	h = New(Options{VM: "vm1"})
	h.Apply(catalog.Build([]catalog.Source{
		{Value: "services/1", Revision: 1, Documents: contract.Documents{Services: []contract.Service{{Service: "stock", BackendServers: []contract.BackendServer{{ID: "b1", VM: "vm1", Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 4}}}}}},
		{Value: "vms", Revision: 1, Documents: contract.Documents{VMs: []contract.VM{{VM: "vm1"}}}},
	}))
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &interimRecorder{ResponseWriter: w}
		defer func() {
			if recorder.shared > 0 {
				t.Errorf("%d of %d interim responses were sent with a header map in use", recorder.shared, recorder.interim)
			}
		}()
		h.ServeHTTP(recorder, r)
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return h, server.URL
}

// Guards against a process that ends with "concurrent map iteration and map write" because an entry
// withdraws a request just as the home sends an interim response or refuses it (review/6). It cancels at
// each point between the interim responses and the end of the answer; the race detector sees the rest.
func TestEntriesThatWithdrawEndNoProcess(t *testing.T) {
	h, url := startLeaving(t)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	send := func(seed uint64, point int) {
		random := rand.New(rand.NewPCG(48, seed))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// The points are: with an interim response, at a random time, and while the body is read.
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if point == 0 && code == http.StatusProcessing || point == 1 && code == http.StatusContinue {
				cancel()
			}
			return nil
		}})
		if point == 2 {
			time.AfterFunc(time.Duration(random.Int64N(int64(3*time.Millisecond))), cancel)
		}
		body := io.MultiReader(strings.NewReader("one pallet"), strings.NewReader(strings.Repeat("y", random.IntN(2000))))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set(forward.HeaderBackend, []string{"b1", "b1", "b1", "none"}[random.IntN(4)])
		req.Header.Set(forward.HeaderRequestID, fmt.Sprint("id-", seed))
		req.Header.Set(forward.HeaderConfirm, "1")
		forward.SetDeadline(req.Header, time.Duration(random.Int64N(int64(20*time.Millisecond))))
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return // withdrawn
		}
		defer resp.Body.Close()
		if point == 3 {
			io.CopyN(io.Discard, resp.Body, random.Int64N(1<<20)) //nolint:errcheck // withdrawn
			return
		}
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // withdrawn
	}
	const entries, requests = 8, 60
	var all sync.WaitGroup
	for entry := range entries {
		all.Go(func() {
			for i := range requests {
				if entry == 0 && i == requests/2 {
					h.closed.Store(true) // the home refuses from now on
				}
				send(uint64(entry*requests+i), i%4)
			}
		})
	}
	all.Wait()
}
