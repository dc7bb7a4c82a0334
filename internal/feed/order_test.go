package feed

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

func newUnconnectedSource(apply func(registry.Update) bool, state func() []registry.Change) *Source {
	return New(Options{Self: "vm", Apply: apply, State: state, RemovalHold: func() time.Duration { return 0 }, Log: telemetry.Discard()})
}

// Guards against a heartbeat with a revision whose changes the follower has not got. If the stream
// breaks then, the follower reads the store from that revision and never gets them.
func TestRevisionIsSentOnlyWithItsChanges(t *testing.T) {
	const revisions = 50_000
	var appliedRevision atomic.Uint64
	s := newUnconnectedSource(
		func(u registry.Update) bool {
			for _, c := range u.Changes {
				appliedRevision.Store(c.Revision)
			}
			return true
		},
		func() []registry.Change { return []registry.Change{{Key: "k", Revision: appliedRevision.Load()}} },
	)
	f := s.hub.add(false, 0, false)
	take(t, s.hub, f) // the full state, which is empty
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r := uint64(1); r <= revisions; r++ {
			s.handleFrame(&stream{}, frame{Changes: []registry.Change{{Key: "k", Revision: r}}})
			s.handleFrame(&stream{complete: true}, frame{Status: &status{Revision: r}})
		}
	}()
	got := uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		for _, out := range take(t, s.hub, f) {
			for _, c := range out.Changes {
				got = max(got, c.Revision)
			}
			if out.Status != nil && out.Status.Revision > got {
				t.Fatalf("a status has revision %d, but changes only up to %d were sent", out.Status.Revision, got)
			}
		}
	}
}

// Guards against a change that a daemon lacks for good: it came to the sender on two ways, and the
// second one made the sender state its revision before the first one had queued it for the followers.
// Those took it for known when it came.
func TestRevisionIsNotSentBeforeAChangeOnAnotherWayIsQueued(t *testing.T) {
	const yields = 100_000 // enough for the other way to end, unless it waits
	change := []registry.Change{{Key: "k", Revision: 5}}
	var applied, queueing atomic.Bool
	var s *Source
	var f *follower
	done := make(chan struct{})
	s = New(Options{
		Self: "vm", State: func() []registry.Change { return nil }, Log: telemetry.Discard(),
		Apply: func(u registry.Update) bool { return len(u.Changes) > 0 && applied.CompareAndSwap(false, true) },
		RemovalHold: func() time.Duration {
			if !queueing.CompareAndSwap(true, false) {
				return 0
			}
			// The change is applied, and not queued.
			go func() {
				defer close(done)
				s.applyFromStore(registry.Update{Changes: change, Revision: 5})
			}()
			for range yields {
				runtime.Gosched()
			}
			for _, out := range take(t, s.hub, f) {
				if out.Status.Revision >= 5 {
					t.Errorf("a status has revision %d before the change was sent", out.Status.Revision)
				}
			}
			return 0
		},
	})
	f = s.hub.add(true, 4, false)
	queueing.Store(true)
	s.handleFrame(&stream{}, frame{Changes: change})
	<-done
	out := take(t, s.hub, f)
	if len(out) != 2 || len(out[0].Changes) != 1 || out[1].Status.Revision != 5 {
		t.Errorf("sent in the end: %+v", out)
	}
}

// Guards against a state that counts as fresh before it is applied, or before the sender says that
// it is new. An update from another stream could then put an old state in force.
func TestFreshOnlyAfterFullStateIsApplied(t *testing.T) {
	var s *Source
	s = newUnconnectedSource(func(registry.Update) bool {
		if s.Fresh() {
			t.Error("fresh before the state was applied")
		}
		return true
	}, func() []registry.Change { return nil })
	st := &stream{}
	s.handleFrame(st, frame{Full: true, Complete: true, Revision: 7})
	if s.Fresh() {
		t.Error("fresh without a status of the sender")
	}
	s.handleFrame(st, frame{Status: &status{Complete: true, Revision: 7}})
	if !s.Fresh() {
		t.Error("not fresh after the full state of a reader was applied")
	}
}

// Guards against a daemon that serves what was never as new as the store, or is too old. It also
// guards against a backend server that only this daemon still knows: the full frame must be one of
// a sender that was complete.
func TestFreshOnceTheReaderIsFresh(t *testing.T) {
	for _, c := range []struct {
		name   string
		frames []frame
		fresh  bool
	}{
		{"full once the store has answered", []frame{{Full: true}, {Status: &status{}}, {Full: true, Complete: true}, {Status: &status{Complete: true, Reading: true}}}, true},
		{"full only before the store answered", []frame{{Full: true}, {Status: &status{Complete: true, Reading: true}}}, false},
		{"full from a relay", []frame{{Full: true, Complete: true}, {Status: &status{Complete: true, AgeMs: 30}}}, true},
		{"full from a reader that is not complete", []frame{{Full: true}, {Status: &status{Reading: true}}}, false},
		{"full from a daemon that has lost the store", []frame{{Full: true, Complete: true}, {Status: &status{Complete: true, AgeMs: streamTimeout.Milliseconds()}}}, false},
		{"never full", []frame{{Status: &status{Complete: true, Reading: true}}}, false},
	} {
		s := newUnconnectedSource(func(registry.Update) bool { return false }, func() []registry.Change { return nil })
		st := &stream{}
		for _, f := range c.frames {
			s.handleFrame(st, f)
		}
		if s.Fresh() != c.fresh {
			t.Errorf("%s: fresh is %v", c.name, s.Fresh())
		}
	}
}

// Guards against a frame without end, or one that cannot be handled, that takes the whole daemon
// down. Only its stream may end.
func TestBadFramesEndOnlyTheirStream(t *testing.T) {
	for name, c := range map[string]struct {
		begin, repeated string
		handle          func(*stream, frame)
	}{
		"too long":              {"\x00\xff\xff\xff\xff{", strings.Repeat("x", 1<<16), func(*stream, frame) {}},
		"too long uncompressed": {wireFrame(1, compress.Pack(make([]byte, maxFrameBytes+1))), "", func(*stream, frame) {}},
		"not compressed":        {wireFrame(1, []byte("{}")), "", func(*stream, frame) {}},
		"malformed":             {wireFrame(0, []byte(`{"changes":7}`)), "", func(*stream, frame) {}},
		"panic":                 {wireFrame(0, []byte(`{"revision":1}`)), "", func(*stream, frame) { panic("fault") }},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.WriteString(w, c.begin)
				for err == nil && c.repeated != "" {
					_, err = io.WriteString(w, c.repeated)
				}
			}))
			defer server.Close()
			st := &stream{peer: Peer{VM: "vm1", Address: server.Listener.Addr().String()}}
			if err := st.follow(t.Context(), http.DefaultTransport, 0, c.handle); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("the stream ended with %v", err)
			}
		})
	}
}

// wireFrame returns a frame with a given body as it is sent.
func wireFrame(flag byte, body []byte) string {
	return string(binary.BigEndian.AppendUint32([]byte{flag}, uint32(len(body)))) + string(body)
}

// Guards against an endless trickle of bytes that keeps a stream open without a frame.
func TestTricklingFrameEndsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, err := w.Write([]byte("\x00\x00\xff\xff\xff"))
			for ; err == nil; _, err = w.Write([]byte(" ")) {
				time.Sleep(100 * time.Millisecond)
			}
		}()
		transport := roundTripFunc(func(req *http.Request) (*http.Response, error) {
			context.AfterFunc(req.Context(), func() { r.CloseWithError(req.Context().Err()) })
			return &http.Response{StatusCode: http.StatusOK, Body: r}, nil
		})
		begin := time.Now()
		st := &stream{peer: Peer{VM: "vm1", Address: "10.0.0.1:1"}}
		if err := st.follow(t.Context(), transport, 0, func(*stream, frame) {}); err == nil {
			t.Error("the stream ended without an error")
		}
		if took := time.Since(begin); took > frameTimeout+streamTimeout {
			t.Errorf("the stream ended after %v", took)
		}
		r.Close()
		<-written
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// countingWriter is a response writer that counts the messages, as flushed, and the bytes.
type countingWriter struct {
	httptest.ResponseRecorder
	messages int
}

func (w *countingWriter) Flush() { w.messages++ }

// Guards against a message to each follower for each of many changes, as in a release. The load is
// 500 changes in 5 s. Also guards against a change that is held back for longer than that needs.
func TestQuickChangesTravelTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		h.fullState = func() []registry.Change { return nil }
		h.currentStatus = func() status { return status{Revision: 1, Complete: true} }
		h.removalHold = func() time.Duration { return 0 }
		w := &countingWriter{ResponseRecorder: *httptest.NewRecorder()}
		go h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, Path+"?after=1", nil))
		synctest.Wait()
		const changes = 500
		for i := range uint64(changes) {
			time.Sleep(10 * time.Millisecond)
			h.send([]registry.Change{{Key: "k", Revision: i + 2}})
		}
		time.Sleep(flushInterval)
		synctest.Wait()
		if most := int(changes*10*time.Millisecond/flushInterval) + 2; w.messages > most {
			t.Errorf("%d messages for %d changes, want at most %d", w.messages, changes, most)
		}
		got := uint64(0)
		for {
			f, err := readFrame(w.Body, func() {})
			if err != nil {
				break
			}
			for _, c := range f.Changes {
				got = max(got, c.Revision)
			}
		}
		if got != changes+1 {
			t.Errorf("the follower has the changes up to revision %d, want %d", got, changes+1)
		}
		close(h.closed)
	})
}
