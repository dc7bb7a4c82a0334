package feed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/recovery"
)

// errSilent ends a stream that has brought no frame for too long.
var errSilent = errors.New("no frame arrived in time")

// countingReader counts the bytes of the frame that is being read.
type countingReader struct {
	source io.Reader
	unread atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.unread.Add(int64(n))
	return n, err
}

// stream follows one daemon.
type stream struct {
	peer Peer
	// reader is set if the peer is followed because it reads the store.
	reader bool
	// usual is set while the peer is one of the region's usual readers.
	usual atomic.Bool
	// lastFrame is the time of the last frame in nanoseconds since the start of the Source. 0 means
	// never.
	lastFrame atomic.Int64
	// complete is set once this daemon has the peer's full state, from this stream or before it.
	// Only the goroutine of the stream uses it.
	complete bool
	cancel   context.CancelFunc
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

// follow reads frames and passes them to handleFrame until ctx ends, the stream breaks or
// streamTimeout passes without a frame. It always returns an error.
func (s *stream) follow(ctx context.Context, transport http.RoundTripper, after uint64, handleFrame func(*stream, frame)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var received countingReader
	watchdog := time.AfterFunc(streamTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	err := s.readFrames(ctx, transport, after, &received, watchdog, handleFrame)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("%w (%d bytes of a frame had arrived)", err, received.unread.Load())
}

// readFrames does the work of follow.
func (s *stream) readFrames(
	ctx context.Context, transport http.RoundTripper, after uint64, received *countingReader, watchdog *time.Timer, handleFrame func(*stream, frame),
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
	received.source = resp.Body
	for {
		received.unread.Store(0)
		f, err := readFrame(received, func() { watchdog.Reset(frameTimeout) })
		if err != nil {
			return err
		}
		watchdog.Reset(streamTimeout)
		err = recovery.Call(func() error {
			handleFrame(s, f)
			return nil
		})
		if err != nil {
			return err
		}
	}
}
