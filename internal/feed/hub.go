package feed

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// maxPending bounds the changes that wait for one follower. A follower that falls further behind
// gets the full state instead.
const maxPending = 256

// hub sends the changes that this daemon receives to its followers. It is safe for concurrent use.
type hub struct {
	// fullState returns the full state and the store revision up to which it is complete.
	fullState func() ([]registry.Change, uint64)
	// statusFrame returns a frame without changes.
	statusFrame func() frame

	// closed is closed to end all streams.
	closed chan struct{}

	mu        sync.Mutex
	followers map[*follower]struct{}
}

// follower is the stream to one follower. hub.mu guards pending and needsFull.
type follower struct {
	pending   []registry.Change
	needsFull bool
	wake      chan struct{}
}

// count returns the number of followers.
func (h *hub) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.followers)
}

// send queues changes for all followers. It never blocks on a follower.
func (h *hub) send(changes []registry.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		if len(f.pending)+len(changes) > maxPending {
			f.pending, f.needsFull = nil, true
		} else if !f.needsFull {
			f.pending = append(f.pending, changes...)
		}
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// sendFull makes the next frame to each follower carry the full state.
func (h *hub) sendFull() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		f.pending, f.needsFull = nil, true
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

func (h *hub) add() *follower {
	f := &follower{needsFull: true, wake: make(chan struct{}, 1)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followers[f] = struct{}{}
	return f
}

func (h *hub) remove(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, f)
}

// next returns the next frame for a follower and empties its queue.
func (h *hub) next(f *follower) frame {
	out := h.statusFrame()
	h.mu.Lock()
	out.Full, out.Changes = f.needsFull, f.pending
	f.needsFull, f.pending = false, nil
	h.mu.Unlock()
	if out.Full {
		out.Changes, out.Revision = h.fullState()
	}
	return out
}

// ServeHTTP streams frames until the follower disconnects or the hub is closed, after which it
// responds with 503.
func (h *hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-h.closed:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	f := h.add()
	defer h.remove(f)
	compressed := gzip.NewWriter(w)
	encoder := json.NewEncoder(compressed)
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if encoder.Encode(h.next(f)) != nil || compressed.Flush() != nil || controller.Flush() != nil {
			return // the follower has disconnected, and will follow another daemon
		}
		select {
		case <-r.Context().Done():
			return
		case <-h.closed:
			return
		case <-f.wake:
		case <-ticker.C:
		}
	}
}
