package home

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// A request waits for a slot at most for the smaller of maxQueueWait and this share of its remaining time.
const (
	maxQueueWait       = 50 * time.Millisecond
	queueShareDivisor  = 10
	defaultDeadline    = 10 * time.Second
	defaultPriorityHop = 5
)

// Options configures a Home.
type Options struct {
	// VM is the id of the VM that the daemon runs on.
	VM string
	// Transport connects to backend servers. Default: forward.NewBackendTransport().
	Transport http.RoundTripper
}

// Home serves the requests of all entries to the backend servers of one VM.
type Home struct {
	vm        string
	transport http.RoundTripper
	draining  atomic.Bool

	mu      sync.RWMutex
	members map[string]*member
}

// New returns a Home that knows no backend servers until Apply is called.
func New(o Options) *Home {
	if o.Transport == nil {
		o.Transport = forward.NewBackendTransport()
	}
	return &Home{vm: o.VM, transport: o.Transport, members: map[string]*member{}}
}

// Apply takes over the backend servers of this VM from a snapshot. Requests in flight to removed ones finish normally.
func (h *Home) Apply(snapshot *catalog.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := map[string]*member{}
	for _, svc := range snapshot.Services() {
		for _, b := range svc.BackendServers {
			if b.VM.ID == h.vm {
				next[b.ID] = h.adopt(b)
			}
		}
	}
	for id, m := range h.members {
		if next[id] == nil {
			m.slots.refuseWaiters(errkind.New(errkind.NotHome, "the backend server left the configuration"))
		}
	}
	h.members = next
}

func (h *Home) adopt(b *catalog.BackendServer) *member {
	m := h.members[b.ID]
	if m == nil || m.address != b.Address {
		m = newMember(b)
	}
	m.slots.setLimit(b.Slots)
	return m
}

func (h *Home) member(id string) *member {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.members[id]
}

// ServeHTTP handles one forwarded request.
func (h *Home) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
	m := h.member(r.Header.Get(forward.HeaderBackend))
	if m == nil {
		forward.WriteError(w, errkind.New(errkind.NotHome, fmt.Sprintf("VM %s has no backend server %q", h.vm, r.Header.Get(forward.HeaderBackend))))
		return
	}
	remaining, ok := forward.Deadline(r.Header)
	if !ok {
		remaining = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	if err := h.admit(ctx, m, r, remaining); err != nil {
		h.refuse(w, m, err)
		return
	}
	defer m.slots.release()
	h.exchange(ctx, w, r, m)
}

// admit takes a slot. All errors are refusals: nothing was handed over.
func (h *Home) admit(ctx context.Context, m *member, r *http.Request, remaining time.Duration) error {
	if h.draining.Load() {
		return errkind.New(errkind.Draining, "the VM is leaving")
	}
	wait := min(maxQueueWait, remaining/queueShareDivisor)
	if err := m.slots.acquire(ctx, priorityOf(r), wait); err != nil {
		return err
	}
	// The process may have been paused while the request waited.
	if ctx.Err() != nil {
		m.slots.release()
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the request was handed over")
	}
	return nil
}

func priorityOf(r *http.Request) int {
	priority, err := strconv.Atoi(r.Header.Get(forward.HeaderPriority))
	if err != nil {
		return defaultPriorityHop
	}
	return priority
}

func (h *Home) refuse(w http.ResponseWriter, m *member, err error) {
	w.Header().Set(forward.HeaderState, m.state(h.draining.Load()))
	var e *errkind.Error
	if !errors.As(err, &e) {
		e = errkind.Wrap(errkind.Internal, err, "")
	}
	forward.WriteError(w, e)
}

func (h *Home) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, m *member) {
	var body io.ReadCloser = r.Body
	if r.ContentLength != 0 {
		body = forward.NewIncoming(r.Body, func() http.Header { return r.Trailer })
	}
	x := &exchange{transport: h.transport, address: m.address}
	err := x.send(ctx, r, body)
	if err != nil {
		m.observe(x, err)
		h.refuse(w, m, err)
		return
	}
	defer x.response.Body.Close()
	h.respond(w, m, x)
}

func (h *Home) respond(w http.ResponseWriter, m *member, x *exchange) {
	header := w.Header()
	forward.CopyHeaders(header, x.response.Header)
	header.Set(forward.HeaderOutcome, errkind.Answered.String())
	header.Set(forward.HeaderState, m.state(h.draining.Load()))
	header.Set(forward.HeaderServiceTime, strconv.FormatInt(x.serviceTime.Microseconds(), 10))
	forward.DeclareTrailers(header)
	w.WriteHeader(x.response.StatusCode)
	err := x.copyBody(w)
	m.observe(x, err)
	if err != nil {
		// The entry must see a broken stream, never a clean end.
		panic(http.ErrAbortHandler)
	}
}

// BeginDrain refuses new requests from now on.
func (h *Home) BeginDrain() {
	h.draining.Store(true)
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, m := range h.members {
		m.slots.refuseWaiters(errkind.New(errkind.Draining, "the VM is leaving"))
	}
}

// WaitIdle waits until no request is in flight or ctx ends.
func (h *Home) WaitIdle(ctx context.Context) error {
	h.mu.RLock()
	members := make([]*member, 0, len(h.members))
	for _, m := range h.members {
		members = append(members, m)
	}
	h.mu.RUnlock()
	for _, m := range members {
		select {
		case <-m.slots.whenIdle():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
