package feed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/recovery"
)

// errSilent ends a stream that has brought no frame for too long.
var errSilent = errors.New("no frame arrived in time")

// errSlowFrame ends a stream whose frame takes longer than frameTimeout.
var errSlowFrame = errors.New("a frame took too long to arrive")

// stream follows one daemon.
type stream struct {
	peer Peer
	// reader is set if the peer is followed because it reads the store.
	reader bool
	// remote is set if the peer is of another region and followed for what it knows. It is not relied on to
	// hear of the store.
	remote bool
	// lastFrame is the time of the last frame in nanoseconds since the start of the Source. 0 means
	// never.
	lastFrame atomic.Int64
	// configuration is the version of the latest configuration that the peer has announced.
	configuration atomic.Uint64
	// status is the latest status since the daemon has the peer's full state, nil before.
	status atomic.Pointer[receivedStatus]
	// complete is set once this daemon has the peer's full state, from this stream or before it.
	// Only the goroutine of the stream uses it.
	complete bool
	cancel   context.CancelFunc

	// clock identifies the peer's clock, 0 until it has said that. Only the goroutine of the stream
	// uses it.
	clock uint64
	pings keylease.Pings
	// confirmation is the peer's latest one, nil before.
	confirmation atomic.Pointer[peerConfirmation]
}

// hearsOfStore reports whether the peer has lately said that a reader reaches the store. elapsed is
// the time since the start of the Source.
func (s *stream) hearsOfStore(elapsed time.Duration) bool {
	r := s.status.Load()
	return r != nil && r.Complete && elapsed-time.Duration(r.at)+r.storeAge() < storeTimeout
}

// reachesStore reports whether the peer has lately said that it reaches the store itself.
func (s *stream) reachesStore(elapsed time.Duration) bool {
	return s.hearsOfStore(elapsed) && s.status.Load().Reading
}

// describe returns the VM of the peer and what it has said last, for the log.
func (s *stream) describe(vm string, elapsed time.Duration) string {
	r, last := s.status.Load(), s.lastFrame.Load()
	switch {
	case last == 0:
		return vm + "(no frame)"
	case r == nil:
		return fmt.Sprintf("%s(no status, last frame %v ago)", vm, (elapsed - time.Duration(last)).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s(reading=%v, store age %v, last frame %v ago)", vm, r.Reading, r.storeAge(), (elapsed - time.Duration(last)).Round(time.Millisecond))
}

// url returns the URL of the stream. after is the revision up to which the daemon has the full
// state, if complete is set.
func (s *stream) url(after uint64) string {
	query := url.Values{}
	if s.complete {
		query.Set(afterParam, strconv.FormatUint(after, 10))
	}
	if s.reader {
		query.Set(readerParam, "1")
	}
	u := url.URL{Scheme: "http", Host: s.peer.Address, Path: Path, RawQuery: query.Encode()}
	return u.String()
}

// follow reads frames and passes them to handleFrame until ctx ends, the stream breaks or nothing
// arrives for streamTimeout. It always returns an error.
func (s *stream) follow(ctx context.Context, transport http.RoundTripper, after uint64, handleFrame func(*stream, frame)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	var begin time.Time // of the frame that is being read
	body := &frameReader{progress: func() {
		watchdog.Reset(streamTimeout)
		if time.Since(begin) > frameTimeout {
			cancel(errSlowFrame)
		}
	}}
	err := s.readFrames(ctx, transport, after, body, func() { begin = time.Now() }, handleFrame)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("%w (%d bytes of a frame had arrived)", err, body.received.Load())
}

// readFrames does the work of follow. It calls begun before each frame.
func (s *stream) readFrames(
	ctx context.Context, transport http.RoundTripper, after uint64, body *frameReader, begun func(), handleFrame func(*stream, frame),
) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(after), nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("stream of registrations: got HTTP status %d, want 200", resp.StatusCode)
	}
	body.source = resp.Body
	begun()
	for {
		body.received.Store(0)
		f, err := readFrame(body, begun)
		if err != nil {
			return err
		}
		begun()
		err = recovery.Call(func() error {
			handleFrame(s, f)
			return nil
		})
		if err != nil {
			return err
		}
	}
}
