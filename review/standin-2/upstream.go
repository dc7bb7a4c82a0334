package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	attempt, upstream, method, target, service, tenant string
	at                                                 time.Time
	body                                               int
}

// runs collects what upstreams have run. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// all returns the runs so far.
func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// upstream is a stand-in of an application beside a daemon.
type upstream struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	record                     *record
	runs                       *runs
	store                      *store
	// answer replaces the answer to a request that has run, if it returns true.
	answer func(u *upstream, w http.ResponseWriter, r *http.Request) bool

	mu   sync.Mutex
	busy int
}

// start opens the listener of an upstream and registers it.
func (u *upstream) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.born = time.Now().UnixMilli()
	server := &http.Server{Handler: http.HandlerFunc(u.serveHTTP)}
	go server.Serve(listener) //nolint:errcheck // it ends with the process
	u.write()
	return nil
}

// write registers an upstream. The entry in the store changes only if more than its sequence changes, so
// later heartbeats would change nothing.
func (u *upstream) write() {
	u.store.put("servers/"+u.id, map[string]any{
		"Address": u.address, "Info": map[string]any{"Service": u.service, "Version": "v1", "Zone": u.zone, "Slots": u.slots},
		"Status": map[string]any{"State": "ready", "Sequence": 1, "WarmupLeft": "0ms"}, "born": u.born,
	})
}

// take takes a slot, or returns false.
func (u *upstream) take() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy >= u.slots {
		return false
	}
	u.busy++
	return true
}

func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
}

func (u *upstream) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		w.Header().Set("Attempt-Id", attempt)
	}
	switch target := r.Header.Get("Target-Instance"); {
	case target != "" && target != u.id:
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is not whole, so it does not run
	}
	if !u.take() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.release()
	u.runs.add(run{attempt, u.id, r.Method, r.RequestURI, r.Header.Get("Caller-Service"), r.Header.Get("Tenant"), time.Now(), len(body)})
	u.record.logf("upstream %s (%s) runs %s: %s %s from %s", u.id, u.service, attempt, r.Method, r.RequestURI, r.Header.Get("Caller-Service"))
	if u.answer != nil && u.answer(u, w, r) {
		return
	}
	u.finish(w, r)
}

// finish works on a request and answers it.
func (u *upstream) finish(w http.ResponseWriter, r *http.Request) {
	work := u.work
	deadline, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	late := err == nil && time.Duration(deadline)*time.Millisecond < work
	if late {
		work = time.Duration(deadline) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.record.logf("upstream %s drops %s, whose connection closed", u.id, r.Header.Get("Attempt-Id"))
		return
	}
	if late {
		w.Header().Set("Response-Signature", signature(u, r, http.StatusGatewayTimeout))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	text := "done " + r.Header.Get("Attempt-Id") + "\n"
	w.Header().Set("Response-Signature", signature(u, r, http.StatusOK))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text) //nolint:errcheck // the daemon may be gone
	u.record.logf("upstream %s has answered %s", u.id, r.Header.Get("Attempt-Id"))
}

func signature(u *upstream, r *http.Request, status int) string {
	return fmt.Sprintf("%s.%s.%d", u.id, r.Header.Get("Attempt-Id"), status)
}
