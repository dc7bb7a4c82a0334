package forward

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ErrBodyCorrupt means that a received body ended without a matching length or digest: it was
// truncated or changed.
var ErrBodyCorrupt = errors.New("body truncated or corrupted")

// copyBufferBytes is the buffer size for each direction of a streamed body.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// bodyDigest accumulates the length and the XXH64 hash of a body.
type bodyDigest struct {
	length int64
	hash   *xxhash.Digest
}

func newBodyDigest() bodyDigest { return bodyDigest{hash: xxhash.New()} }

func (d *bodyDigest) add(p []byte) {
	d.length += int64(len(p))
	d.hash.Write(p) //nolint:errcheck // xxhash.Digest never returns an error
}

// setTrailers sets the length and the hash as trailers.
func (d *bodyDigest) setTrailers(h http.Header) {
	h.Set(TrailerLength, strconv.FormatInt(d.length, 10))
	h.Set(TrailerDigest, strconv.FormatUint(d.hash.Sum64(), 16))
}

// checkTrailers returns ErrBodyCorrupt, wrapped, unless the trailers match.
func (d *bodyDigest) checkTrailers(trailer http.Header) error {
	if got, want := trailer.Get(TrailerLength), strconv.FormatInt(d.length, 10); got != want {
		return fmt.Errorf("%w: received %s bytes, length trailer says %q", ErrBodyCorrupt, want, got)
	}
	if got, want := trailer.Get(TrailerDigest), strconv.FormatUint(d.hash.Sum64(), 16); got != want {
		return fmt.Errorf("%w: computed digest %s, digest trailer says %q", ErrBodyCorrupt, want, got)
	}
	return nil
}

// RequestDigestBytes is the length in bytes of the digest that follows a request body.
const RequestDigestBytes = 8

// RequestBody is a request body followed by its XXH64 digest as 8 bytes, big-endian. Requests carry
// no trailers: when a receiver responds before it has read the body, trailers arrive on a closed
// stream. net/http then ends the whole connection with PROTOCOL_ERROR
// (http2serverConn.processHeaders). That broke requests of other callers whenever a home refused a
// request with a body.
type RequestBody struct {
	body   io.ReadCloser
	digest bodyDigest
	// unsentDigest is the part of the digest that is still to be sent. It is nil until the body has
	// ended.
	unsentDigest []byte
}

// SetRequestBody makes req carry body followed by its digest. If ContentLength of req is known, it
// must be the length of body; the digest is added to it. GetBody is cleared, so that no transport
// repeats the request.
func SetRequestBody(req *http.Request, body io.ReadCloser) {
	if req.ContentLength > 0 {
		req.ContentLength += RequestDigestBytes
	}
	req.GetBody = nil
	req.Body = &RequestBody{body: body, digest: newBodyDigest()}
}

// Read implements io.Reader. The digest follows only if the body ended with io.EOF; other errors
// are returned as they are.
func (b *RequestBody) Read(p []byte) (int, error) {
	if b.unsentDigest == nil {
		n, err := b.body.Read(p)
		b.digest.add(p[:n])
		if err != io.EOF {
			return n, err
		}
		b.unsentDigest = binary.BigEndian.AppendUint64(nil, b.digest.hash.Sum64())
		if n > 0 {
			return n, nil
		}
	}
	n := copy(p, b.unsentDigest)
	b.unsentDigest = b.unsentDigest[n:]
	if len(b.unsentDigest) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Close closes the underlying body.
func (b *RequestBody) Close() error { return b.body.Close() }

// ReceiveRequest makes the body of a request from another daemon end with io.EOF only if its digest
// matches, and with ErrBodyCorrupt otherwise. It reduces ContentLength to that of the content. A
// request without a body stays as it is.
func ReceiveRequest(r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// An empty body has no digest, so a declared length that leaves no content is wrong. It is
	// treated as unknown (-1), and reading the body ends with ErrBodyCorrupt.
	if r.ContentLength -= RequestDigestBytes; r.ContentLength <= 0 {
		r.ContentLength = -1
	}
	r.Body = &VerifiedBody{body: r.Body, digest: newBodyDigest(), holdBack: 1 + RequestDigestBytes, verify: checkRequestDigest}
}

// ReceiveBuffered reads the body of a request whose sender withholds the end of each request, empty
// bodies included, until the receiver asks for it. Up to limit bytes and their digest are read and
// checked before it returns; errors wrap ErrBodyCorrupt or are those of the connection. A longer
// body is left to be streamed, with the check at its end.
func ReceiveBuffered(r *http.Request, limit int64) error {
	if r.ContentLength == RequestDigestBytes {
		sent := make([]byte, RequestDigestBytes)
		if _, err := io.ReadFull(r.Body, sent); err != nil {
			return fmt.Errorf("%w: %w", ErrBodyCorrupt, err)
		}
		if got, want := xxhash.Sum64(nil), binary.BigEndian.Uint64(sent); got != want {
			return fmt.Errorf("%w: digest %x computed for an empty body, sender sent %x", ErrBodyCorrupt, got, want)
		}
		r.Body, r.ContentLength = http.NoBody, 0
		return nil
	}
	ReceiveRequest(r)
	if r.ContentLength == 0 || r.ContentLength > limit {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(content)) > limit {
		r.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(content), r.Body), r.Body}
		return nil
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(content)), int64(len(content))
	return nil
}

// checkRequestDigest splits the last bytes of a request into content and digest, and returns the
// content if the digest matches.
func checkRequestDigest(digest *bodyDigest, held []byte) ([]byte, error) {
	if len(held) <= RequestDigestBytes {
		return nil, fmt.Errorf("%w: the request body has no digest", ErrBodyCorrupt)
	}
	content := held[:len(held)-RequestDigestBytes]
	digest.add(content)
	if got, want := digest.hash.Sum64(), binary.BigEndian.Uint64(held[len(content):]); got != want {
		return nil, fmt.Errorf("%w: computed digest %x, sender sent %x", ErrBodyCorrupt, got, want)
	}
	return content, nil
}

// VerifiedBody checks a received body against the length and digest that its sender added: trailers
// of a response, the last 8 bytes of a request. It holds back the last byte of the content until
// the check has passed. A receiver that knows the length from Content-Length would otherwise take a
// body with a wrong digest for a complete one.
type VerifiedBody struct {
	body io.ReadCloser
	// digest covers the bytes that have passed.
	digest bodyDigest
	// verify gets the bytes held back at the end of the body and returns the content among them, or
	// an error if the check fails.
	verify func(digest *bodyDigest, held []byte) ([]byte, error)
	// holdBack is the number of bytes to hold back, at most maxHoldBack.
	holdBack   int
	heldBuffer [maxHoldBack]byte
	// held is the part of heldBuffer in use.
	held []byte
	// err is io.EOF after a passed check, or the error that ended the body. It is nil while the
	// body lasts.
	err error
}

// maxHoldBack is the last content byte and the digest of a request.
const maxHoldBack = 1 + RequestDigestBytes

// NewVerifiedBody returns a reader of a response body that ends with io.EOF only if the trailers
// match. It calls trailer after the body has ended, because net/http sets the trailers only then.
func NewVerifiedBody(body io.ReadCloser, trailer func() http.Header) *VerifiedBody {
	return &VerifiedBody{body: body, digest: newBodyDigest(), holdBack: 1, verify: func(digest *bodyDigest, held []byte) ([]byte, error) {
		digest.add(held)
		return held, digest.checkTrailers(trailer())
	}}
}

// Read implements io.Reader. It returns ErrBodyCorrupt, wrapped, in place of io.EOF if the digest
// or the length is missing or different.
func (b *VerifiedBody) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for b.err == nil {
		n, err := b.body.Read(p)
		out := b.holdBackTail(p[:n])
		b.digest.add(p[:out])
		if err == io.EOF {
			var verifyErr error
			if b.held, verifyErr = b.verify(&b.digest, b.held); verifyErr != nil {
				err = verifyErr
			}
		}
		b.err = err
		if out > 0 {
			return out, nil
		}
	}
	if b.err == io.EOF && len(b.held) > 0 {
		n := copy(p, b.held)
		b.held = b.held[n:]
		return n, nil
	}
	return 0, b.err
}

// holdBackTail inserts the bytes held so far before those of p and holds back the last ones. It
// returns the number of bytes at the start of p that may be passed on.
func (b *VerifiedBody) holdBackTail(p []byte) int {
	heldBefore := len(b.held)
	out := max(heldBefore+len(p)-b.holdBack, 0)
	if len(p) < b.holdBack {
		var all [2 * maxHoldBack]byte
		n := copy(all[:], b.held)
		n += copy(all[n:], p)
		copy(p, all[:out])
		b.held = b.heldBuffer[:copy(b.heldBuffer[:], all[out:n])]
		return out
	}
	var last [maxHoldBack]byte
	kept := copy(last[:], p[len(p)-b.holdBack:])
	copy(p[heldBefore:], p[:len(p)-b.holdBack])
	copy(p, b.held)
	b.held = b.heldBuffer[:copy(b.heldBuffer[:], last[:kept])]
	return out
}

// Close closes the underlying body.
func (b *VerifiedBody) Close() error { return b.body.Close() }

// DeclareTrailers announces the length and digest trailers of a response. Call it before
// WriteHeader.
func DeclareTrailers(h http.Header) {
	h.Add("Trailer", TrailerLength)
	h.Add("Trailer", TrailerDigest)
}

// CopyResponse copies body to w and then sets the declared trailers. It returns the number of bytes
// read. On an error no trailer is set, and the caller must abort the response.
func CopyResponse(w http.ResponseWriter, body io.Reader) (int64, error) {
	digest := newBodyDigest()
	err := Copy(w, body, digest.add)
	if err != nil {
		return digest.length, err
	}
	digest.setTrailers(w.Header())
	return digest.length, nil
}

// ErrWrite marks an error of the destination of a copy, as opposed to an error of the source.
var ErrWrite = errors.New("write to the receiver failed")

// Copy copies body to w through one pooled buffer, and passes each chunk to observe unless that is
// nil. Each chunk of a body that is not in memory is flushed, so that callers see data as it
// arrives. An error of w wraps ErrWrite; other errors are those of body.
func Copy(w http.ResponseWriter, body io.Reader, observe func([]byte)) error {
	buf := buffers.Get().(*[]byte)
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
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				// The server may still send the buffer of a stream that has ended, so it is not used again.
				return fmt.Errorf("%w: %w", ErrWrite, writeErr)
			}
		}
		if err != nil {
			buffers.Put(buf)
			if err == io.EOF {
				return nil
			}
			return err
		}
		if flusher != nil {
			flusher.Flush()
		}
	}
}
