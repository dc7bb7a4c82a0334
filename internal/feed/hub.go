package feed

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// Bounds of the recent changes that a hub keeps. A follower that falls further behind gets the full
// state instead.
const (
	maxRecentPackets = 1024
	maxRecentBytes   = 2 << 20
)

// flushInterval is the shortest time between two messages to a follower. Changes that follow each
// other faster travel together, which saves work at all daemons.
const flushInterval = 50 * time.Millisecond

const (
	// fullStateShare is the share of the VM's link that full states may use.
	fullStateShare = 0.8
	// admissionInterval is the time between two tries to send a full state while there are too many.
	admissionInterval = 100 * time.Millisecond
)

// hub sends the changes that this daemon receives to its followers. Each frame is encoded once for
// all of them. It is safe for concurrent use.
type hub struct {
	// fullState returns the full state but for the configuration.
	fullState func() []registry.Change
	// currentStatus returns the present status. It also holds for a state that is read after the
	// call.
	currentStatus func() status
	// removalHold returns the remaining time for which removals are held.
	removalHold func() time.Duration
	// report is told why a frame could not be encoded.
	report func(error)
	// clock identifies the clock of confirmations, 0 if there are none.
	clock uint64

	// closed is closed to end all streams.
	closed chan struct{}

	// pacer spreads the full states over time. After a list of the store all followers need one.
	pacer pacer
	// sentBytes counts the bytes sent to followers, fullStates the full states among them.
	sentBytes, fullStates atomic.Uint64

	mu        sync.Mutex
	followers map[*follower]struct{}
	// recent are the encoded changes of late. The number of the first one is firstNumber.
	recent      []packet
	recentBytes int
	firstNumber int
	// resumeFrom is the lowest revision from which recent has all changes.
	resumeFrom uint64
	// lastRevision is the highest revision of a change that was sent.
	lastRevision uint64
	// completeRevision is the revision up to which the latest full update was complete. complete is
	// set once an update made the state complete.
	completeRevision uint64
	complete         bool
	// changed is closed when recent changes, and replaced.
	changed chan struct{}

	// fullMu guards full, the latest encoded full state, and is taken before mu.
	fullMu sync.Mutex
	full   encodedState
}

// packet is an encoded frame with changes.
type packet struct {
	data []byte
	// lastRevision is the highest revision among its changes.
	lastRevision uint64
}

// encodedState is an encoded frame with the full state.
type encodedState struct {
	data []byte
	// next is the number of the first packet that the state may lack.
	next int
	// revision and complete are those of the frame.
	revision uint64
	complete bool
}

// follower is the stream to one follower. hub.mu guards next.
type follower struct {
	// next is the number of the next packet for this follower. needsFull is set while the follower
	// needs the full state first.
	next      int
	needsFull bool
	// reader is set if the follower relies on this daemon to read the store.
	reader bool
	// knowsClock is set once the follower was sent the clock, and confirmedMs is the confirmation that it
	// was sent last. Only the goroutine of the stream uses them.
	knowsClock  bool
	confirmedMs int64
}

func newHub() *hub {
	return &hub{closed: make(chan struct{}), changed: make(chan struct{}), followers: map[*follower]struct{}{}}
}

// count returns the number of followers, and of those that rely on this daemon to read the store.
func (h *hub) count() (all, reader int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for f := range h.followers {
		if f.reader {
			reader++
		}
	}
	return len(h.followers), reader
}

// send passes changes on to all followers. It never blocks on a follower.
func (h *hub) send(changes []registry.Change) {
	f := frame{Changes: changes, RemovalHoldMs: h.removalHold().Milliseconds()}
	data, err := f.encode()
	if err != nil {
		h.report(err)
		h.sendFull(registry.Update{Changes: changes})
		return
	}
	p := packet{data: data}
	for i := range changes {
		p.lastRevision = max(p.lastRevision, changes[i].Revision)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recent = append(h.recent, p)
	h.recentBytes += len(data)
	h.lastRevision = max(h.lastRevision, p.lastRevision)
	for len(h.recent) > maxRecentPackets || h.recentBytes > maxRecentBytes {
		h.dropOldest()
	}
	h.wakeFollowers()
}

// wake makes all followers get a new status.
func (h *hub) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeFollowers()
}

// dropOldest forgets the oldest packet. The caller holds mu.
func (h *hub) dropOldest() {
	oldest := h.recent[0]
	h.recent[0] = packet{}
	h.recent = h.recent[1:]
	h.recentBytes -= len(oldest.data)
	h.firstNumber++
	h.resumeFrom = max(h.resumeFrom, oldest.lastRevision)
}

// sendFull makes all followers get the full state, which an update has changed in a way that the
// packets do not tell.
func (h *hub) sendFull(u registry.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = h.complete || u.Fresh
	if u.Full {
		h.completeRevision = max(h.completeRevision, u.Revision)
	}
	// The number that is left out makes each follower miss a packet.
	h.firstNumber += len(h.recent) + 1
	h.recent, h.recentBytes = nil, 0
	h.lastRevision = max(h.lastRevision, u.Revision)
	for i := range u.Changes {
		h.lastRevision = max(h.lastRevision, u.Changes[i].Revision)
	}
	h.resumeFrom = h.lastRevision
	h.wakeFollowers()
}

// wakeFollowers wakes the streams. The caller holds mu.
func (h *hub) wakeFollowers() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// add registers a follower. complete says that it has the full state up to the revision after; then
// it gets only what is newer, if that is still known.
func (h *hub) add(complete bool, after uint64, reader bool) *follower {
	f := &follower{reader: reader}
	h.mu.Lock()
	defer h.mu.Unlock()
	f.next = h.firstNumber
	f.needsFull = !complete || after < h.resumeFrom
	for _, p := range h.recent {
		if f.needsFull || p.lastRevision > after {
			break
		}
		f.next++
	}
	h.followers[f] = struct{}{}
	return f
}

func (h *hub) remove(f *follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.followers, f)
}

// take returns the encoded frames that the follower lacks, and a channel that is closed when there
// are further ones. Its status is as of before, so it never tells of a change that is not sent.
func (h *hub) take(f *follower) (frames [][]byte, changed <-chan struct{}) {
	statusNow := h.currentStatus()
	f.confirmationFor(&statusNow, h.clock)
	statusFrame := frame{Status: &statusNow, RemovalHoldMs: h.removalHold().Milliseconds()}
	statusData, err := statusFrame.encode()
	if err != nil {
		h.report(err)
	}
	if h.fallenBehind(f) {
		state := h.encodedFullState()
		frames = append(frames, state.data)
		h.fullStates.Add(1)
		h.mu.Lock()
		f.needsFull, f.next = false, state.next
		h.mu.Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.next >= h.firstNumber { // otherwise the next call brings the full state
		for _, p := range h.recent[f.next-h.firstNumber:] {
			frames = append(frames, p.data)
		}
		f.next = h.firstNumber + len(h.recent)
		frames = append(frames, statusData)
		f.knowsClock, f.confirmedMs = true, max(f.confirmedMs, statusNow.ConfirmedMs)
	}
	return frames, h.changed
}

// fallenBehind reports whether the follower needs the full state.
func (h *hub) fallenBehind(f *follower) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f.needsFull || f.next < h.firstNumber
}

// encodedFullState returns the encoded full state, which is encoded anew only after changes.
func (h *hub) encodedFullState() encodedState {
	h.fullMu.Lock()
	defer h.fullMu.Unlock()
	now := h.currentStatus()
	h.mu.Lock()
	state := encodedState{
		next: h.firstNumber + len(h.recent), revision: max(now.Revision, h.completeRevision), complete: now.Complete || h.complete,
	}
	h.mu.Unlock()
	if before := h.full; before.data != nil && before.next == state.next && before.revision == state.revision && before.complete == state.complete {
		return before
	}
	f := frame{Full: true, Revision: state.revision, Complete: state.complete, Changes: h.fullState(), RemovalHoldMs: h.removalHold().Milliseconds()}
	data, err := f.encode()
	if err != nil {
		h.report(err)
	}
	state.data = data
	h.full = state
	return state
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
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(afterParam), 10, 64)
	f := h.add(err == nil, after, query.Get(readerParam) != "")
	defer h.remove(f)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		if !h.admitFullState(r.Context(), w, f) {
			return
		}
		frames, changed := h.take(f)
		if !h.write(w, frames...) {
			return // the follower has disconnected, and will follow another daemon
		}
		flushed := time.Now()
		heartbeat.Reset(heartbeatInterval)
		select {
		case <-r.Context().Done():
			return
		case <-h.closed:
			return
		case <-changed:
			if !pause.For(r.Context(), flushInterval-time.Since(flushed)) {
				return
			}
		case <-heartbeat.C:
		}
	}
}

// write sends frames to a follower, and reports whether that was possible.
func (h *hub) write(w http.ResponseWriter, frames ...[]byte) bool {
	for _, data := range frames {
		if _, err := w.Write(data); err != nil {
			return false
		}
		h.sentBytes.Add(uint64(len(data)))
	}
	return http.NewResponseController(w).Flush() == nil
}

// admitFullState returns once a follower that needs the full state may get it; others need not wait.
// It reports whether the stream goes on. Meanwhile empty frames tell the follower that this daemon is
// there, without a status, as the follower lacks what that would speak of.
func (h *hub) admitFullState(ctx context.Context, w http.ResponseWriter, f *follower) bool {
	for h.fallenBehind(f) {
		wait, ok := h.pacer.reserve(time.Now(), len(h.encodedFullState().data))
		if ok {
			return pause.For(ctx, wait)
		}
		if empty, err := (&frame{}).encode(); err != nil || !h.write(w, empty) || !pause.For(ctx, admissionInterval) {
			return false
		}
		select {
		case <-h.closed:
			return false
		default:
		}
	}
	return true
}
