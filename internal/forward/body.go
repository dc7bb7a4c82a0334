package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ErrBroken reports that a body ended without the proof that it is whole.
var ErrBroken = errors.New("body is not whole")

// copyBufferBytes is the memory that one direction of a streamed body takes.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// sum counts and hashes the bytes of a body.
type sum struct {
	length int64
	hash   *xxhash.Digest
}

func newSum() sum { return sum{hash: xxhash.New()} }

func (s *sum) add(p []byte) {
	s.length += int64(len(p))
	s.hash.Write(p) //nolint:errcheck // a hash never fails
}

func (s *sum) set(h http.Header) {
	h.Set(TrailerLength, strconv.FormatInt(s.length, 10))
	h.Set(TrailerDigest, strconv.FormatUint(s.hash.Sum64(), 16))
}

func (s *sum) check(trailer http.Header) error {
	if got, want := trailer.Get(TrailerLength), strconv.FormatInt(s.length, 10); got != want {
		return fmt.Errorf("%w: received %s bytes, trailer states %q", ErrBroken, want, got)
	}
	if got, want := trailer.Get(TrailerDigest), strconv.FormatUint(s.hash.Sum64(), 16); got != want {
		return fmt.Errorf("%w: digest %s, trailer states %q", ErrBroken, want, got)
	}
	return nil
}

// Outgoing is a request body that sets the trailers of its request when it ends.
type Outgoing struct {
	body    io.ReadCloser
	sum     sum
	trailer http.Header
}

// AttachOutgoing makes req carry body followed by the trailers. It clears GetBody, so that no transport repeats the request.
func AttachOutgoing(req *http.Request, body io.ReadCloser) {
	req.Trailer = http.Header{TrailerLength: nil, TrailerDigest: nil}
	req.GetBody = nil
	req.Body = &Outgoing{body: body, sum: newSum(), trailer: req.Trailer}
}

// Read reads from the body and sets the trailers at its clean end only.
func (o *Outgoing) Read(p []byte) (int, error) {
	n, err := o.body.Read(p)
	o.sum.add(p[:n])
	if err == io.EOF {
		o.sum.set(o.trailer)
	}
	return n, err
}

// Close closes the body.
func (o *Outgoing) Close() error { return o.body.Close() }

// Incoming checks a received body against its trailers. It holds the last byte back until the check has passed, because a
// receiver that knows the length from Content-Length would otherwise take a body with a wrong digest for a whole one.
type Incoming struct {
	body    io.ReadCloser
	sum     sum
	trailer func() http.Header
	held    byte
	holding bool
	// end is io.EOF after a passed check, or the error that ended the body.
	end error
}

// NewIncoming returns a reader that ends with io.EOF only when the trailers match. The trailer function is called after the
// body has ended, because net/http fills the trailers then.
func NewIncoming(body io.ReadCloser, trailer func() http.Header) *Incoming {
	return &Incoming{body: body, sum: newSum(), trailer: trailer}
}

// Read reads from the body. It returns ErrBroken in place of io.EOF when the proof is missing or different.
func (i *Incoming) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for i.end == nil {
		n, err := i.body.Read(p)
		i.sum.add(p[:n])
		out := i.hold(p[:n])
		if err == io.EOF {
			if bad := i.sum.check(i.trailer()); bad != nil {
				err = bad
			}
		}
		i.end = err
		if out > 0 {
			return out, nil
		}
	}
	if i.end == io.EOF && i.holding {
		p[0] = i.held
		i.holding = false
		return 1, nil
	}
	return 0, i.end
}

// hold keeps the last byte of p and puts the byte held before in front of the rest. It returns how many bytes may pass.
func (i *Incoming) hold(p []byte) int {
	if len(p) == 0 {
		return 0
	}
	last := p[len(p)-1]
	pass := len(p) - 1
	if i.holding {
		copy(p[1:], p[:len(p)-1])
		p[0] = i.held
		pass = len(p)
	}
	i.held, i.holding = last, true
	return pass
}

// Close closes the body.
func (i *Incoming) Close() error { return i.body.Close() }

// DeclareTrailers announces the trailers of a response. It must be called before WriteHeader.
func DeclareTrailers(h http.Header) {
	h.Add("Trailer", TrailerLength)
	h.Add("Trailer", TrailerDigest)
}

// CopyResponse copies body to w and sets the declared trailers at the clean end. On an error nothing is set, and the caller must abort the response.
func CopyResponse(w http.ResponseWriter, body io.Reader) (int64, error) {
	s := newSum()
	err := Copy(w, body, s.add)
	if err != nil {
		return s.length, err
	}
	s.set(w.Header())
	return s.length, nil
}

// ErrWrite marks an error on the receiving side of a copy, as opposed to one of the source.
var ErrWrite = errors.New("receiver is gone")

// Copy copies body to w with one pooled buffer and shows each chunk to observe when it is not nil. A body that is not in memory
// is flushed after each chunk, so that callers see data as it comes. An error of w is marked with ErrWrite.
func Copy(w http.ResponseWriter, body io.Reader, observe func([]byte)) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	if _, inMemory := body.(interface{ Len() int }); inMemory {
		flusher = nil // one write reaches the connection at once when the handler returns
	}
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if observe != nil {
				observe((*buf)[:n])
			}
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return fmt.Errorf("%w: %w", ErrWrite, werr)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if flusher != nil {
			flusher.Flush()
		}
	}
}
