package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of an application beside a daemon.
type upstream struct {
	machine *machine
	id      string
	born    int64
	slots   int
	server  *http.Server
	// work answers an admitted request.
	work func(w http.ResponseWriter, r *http.Request, began time.Time)

	mu       sync.Mutex
	state    string
	sequence int
	// paused keeps the upstream from registering.
	paused bool
	// quiet keeps its requests out of the record.
	quiet bool
}

func newUpstream(m *machine, id string) (*upstream, error) {
	u := &upstream{machine: m, id: id, born: time.Now().UnixMilli(), slots: 5, state: "ready"}
	u.work = func(w http.ResponseWriter, _ *http.Request, _ time.Time) { u.answer(w, "the answer of "+u.id+"\n") }
	listener, err := net.Listen("tcp", m.appAddress())
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go u.server.Serve(listener) //nolint:errcheck // it ends with the process
	u.register()
	go func() {
		for {
			time.Sleep(heartbeat)
			u.register()
		}
	}()
	return u, nil
}

// register writes the entry, unless the upstream is cut off from the store.
func (u *upstream) register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.paused {
		return
	}
	u.sequence++
	u.machine.fleet.store.putEntry("servers/"+u.id, u.entry())
}

// entry returns what the upstream says of itself. The caller holds mu.
func (u *upstream) entry() string {
	m := u.machine
	text, _ := json.Marshal(map[string]any{
		"Address": m.appAddress(), "born": u.born,
		"Info":   map[string]any{"Service": m.service, "Version": "v1", "Zone": m.zone, "Slots": u.slots},
		"Status": map[string]any{"State": u.state, "Sequence": u.sequence, "WarmupLeft": "0ms"},
	})
	return string(text)
}

// pause removes the entry of an upstream that has yet to start, and resume registers it.
func (u *upstream) pause() {
	u.mu.Lock()
	u.paused = true
	u.mu.Unlock()
	u.machine.fleet.store.remove("servers/" + u.id)
}

func (u *upstream) resume() {
	u.mu.Lock()
	u.paused, u.born = false, time.Now().UnixMilli()
	u.mu.Unlock()
	u.register()
}

// setPaused cuts the upstream off from the store, or ends that.
func (u *upstream) setPaused(paused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.paused = paused
}

// note records what happens to a request unless the upstream is quiet.
func (u *upstream) note(format string, args ...any) {
	if !u.quiet {
		u.machine.fleet.record.note(format, args...)
	}
}

// drain reports that the upstream is draining. The store has acknowledged that when it returns.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.register()
}

// answer answers with success.
func (u *upstream) answer(w http.ResponseWriter, body string) {
	w.Header().Set("Response-Signature", "3e1b.07."+u.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body) //nolint:errcheck // the caller has left
}

// ServeHTTP runs a request, or states that it does not.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	began, id := time.Now(), r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.note("upstream %s: request %s begins, key passed on: %q, tenant: %q", u.id, id, r.Header.Get("Key"), r.Header.Get("Tenant"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.note("upstream %s: request %s has no end: %v", u.id, id, err)
		return
	}
	u.work(w, r, began)
	u.note("upstream %s: request %s ends, %s", u.id, id, fmt.Sprint(len(body), " bytes received"))
}
