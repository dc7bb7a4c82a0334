package home

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/runstate"
)

// bufferedResponseBytes is the largest response body that is read completely before its header is
// passed on. If a backend server truncates such a response, the entry gets a clear error, which it
// may retry, in place of a broken stream.
const bufferedResponseBytes = 64 << 10

// exchange is one request to a backend server and its response. One goroutine runs it; only the
// atomic fields may be read from others.
type exchange struct {
	transport http.RoundTripper
	dialect   dialect.Dialect
	// backend is the id of the backend server.
	backend string
	address string
	// removeCredentials is set if callers are identified by keys, which backend servers must not get.
	removeCredentials bool
	// gotConnection is set once a connection was obtained. From then on bytes may have reached the
	// backend server, and the request counts as handed over.
	gotConnection atomic.Bool
	// startedAt is when the request was passed to the transport, uploadedAt when its body had been
	// read to the end. Both are nanoseconds since processStart, and 0 before that. member.tick
	// reads them from another goroutine.
	startedAt, uploadedAt atomic.Int64
	// serviceTime is the backend server's own time: from the end of the upload to the response
	// header, or to the end of a buffered body. A slow upload counts as the caller's time.
	serviceTime time.Duration
	// abandoned is true if the entry gave up before the deadline.
	abandoned bool
	response  *http.Response
	// bufferedBody is the body of a buffered response, or nil.
	bufferedBody []byte
	// requestErr is the error of reading the request body, if that failed. The transport's
	// goroutine sets it.
	requestErr atomic.Pointer[error]
}

// distruster is a transport that can stop reusing connections to a backend server.
type distruster interface {
	// Distrust keeps connections to the address from being reused for a time.
	Distrust(address string)
}

// processStart is the origin of monotonic offsets. They fit into an atomic integer, which a
// time.Time does not.
var processStart = time.Now()

// sinceProcessStart returns nanoseconds since processStart, at least 1, because 0 means unset.
func sinceProcessStart() int64 { return int64(max(time.Since(processStart), 1)) }

// requestBody records errors of the caller's side, so that they are not taken for a fault of the
// backend server, and the end of the upload.
type requestBody struct {
	io.ReadCloser
	exchange *exchange
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.exchange.uploadedAt.CompareAndSwap(0, sinceProcessStart())
	default:
		b.exchange.requestErr.Store(&err)
	}
	return n, err
}

// uploadEnd returns when the request body had been read to the end, and false while the upload
// lasts.
func (x *exchange) uploadEnd() (time.Time, bool) {
	at := x.uploadedAt.Load()
	return processStart.Add(time.Duration(at)), at != 0
}

// recordServiceTime sets the service time to the time from the end of the upload until now.
func (x *exchange) recordServiceTime() {
	start, ok := x.uploadEnd()
	if !ok {
		// The backend server responded, or failed, before it had read the whole request.
		start = processStart.Add(time.Duration(x.startedAt.Load()))
	}
	x.serviceTime = max(time.Since(start), 0)
}

// send sends r to the backend server and waits for the response header, and for the whole body if
// that is small. The kind of the error tells whether the request was handed over. On success
// x.response is set, and the caller closes its body.
func (x *exchange) send(ctx context.Context, r *http.Request) error {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.gotConnection.Store(true) }}
	ctxWithID := forward.WithExchangeID(ctx, r.Header.Get(forward.HeaderRequestID))
	out := x.backendRequest(httptrace.WithClientTrace(ctxWithID, trace), r)
	x.startedAt.Store(sinceProcessStart())
	if r.ContentLength == 0 {
		x.uploadedAt.Store(x.startedAt.Load())
	}
	resp, err := x.transport.RoundTrip(out)
	x.recordServiceTime()
	if err != nil {
		return x.classify(ctx, err)
	}
	x.response = resp
	if err := x.checkResponse(resp, r.Header.Get(forward.HeaderRequestID)); err != nil {
		resp.Body.Close() // without reading the body, which may have no end
		if t, ok := x.transport.(distruster); ok && err.Kind == errkind.AnswerInvalid {
			t.Distrust(x.address)
		}
		return err
	}
	if err := x.checkFraming(); err != nil {
		resp.Body.Close()
		return err
	}
	return x.bufferSmallBody(ctx)
}

// checkResponse returns nil if the response is the backend server's own one to the request with the
// id, and may be passed on.
func (x *exchange) checkResponse(resp *http.Response, id string) *errkind.Error {
	head := x.dialect.ReadResponse(resp, id)
	head.Reused = forward.Reused(resp)
	if head.Names != runstate.NamesThis {
		// A late copy of this response could not be told from the response to the next request.
		forward.CloseAfter(resp)
	}
	err := x.dialect.Convention().Check(head)
	if err != nil && err.Kind.Answer().Outcome == errkind.NotRun {
		forward.NoteRefusal(resp)
	}
	return err
}

// backendRequest returns the request for the backend server. The daemons' own headers are dropped;
// the dialect adds those that its backend servers get, such as deadline, request id and customer.
func (x *exchange) backendRequest(ctx context.Context, r *http.Request) *http.Request {
	target := &url.URL{Scheme: "http", Host: x.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out := (&http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: http.Header{}, ContentLength: r.ContentLength,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	forward.CopyHeaders(out.Header, r.Header)
	info := dialect.Request{
		ID: r.Header.Get(forward.HeaderRequestID), Customer: r.Header.Get(forward.HeaderCustomer), Backend: x.backend,
		OriginService: r.Header.Get(forward.HeaderOrigin), Organisation: r.Header.Get(forward.HeaderOrganisation),
	}
	if x.removeCredentials || info.Organisation != "" {
		// The entry did so unless its configuration is an older one without organisations.
		x.dialect.RemoveCredentials(out.Header)
	}
	if deadline, ok := ctx.Deadline(); ok {
		info.Remaining = max(time.Until(deadline), time.Millisecond)
	}
	x.dialect.SetRequestHeaders(out.Header, info)
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // an empty value keeps net/http from adding its own
	}
	// A body without GetBody keeps net/http from repeating the request after a broken connection.
	// Retries are decided by the entry, within the budget of the contract.
	out.Body = &requestBody{ReadCloser: r.Body, exchange: x}
	if r.ContentLength == 0 {
		out.ContentLength = 0
		out.Body = &requestBody{ReadCloser: io.NopCloser(bytes.NewReader(nil)), exchange: x}
	}
	return out
}

// classify wraps the error of a failed exchange with its kind.
func (x *exchange) classify(ctx context.Context, err error) error {
	x.abandoned = errors.Is(ctx.Err(), context.Canceled)
	if !x.gotConnection.Load() {
		if ctx.Err() != nil {
			return errkind.Wrap(errkind.DeadlineBeforeRun, err, "the deadline passed before a connection to the backend server was ready")
		}
		return errkind.Wrap(errkind.BackendUnreachable, err, "could not connect to the backend server")
	}
	if cause := x.requestErr.Load(); cause != nil {
		return errkind.Wrap(errkind.RequestBroken, *cause, "the request body was truncated")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the backend server did not respond before the deadline")
	}
	return errkind.Wrap(errkind.BackendBroken, err, "the connection to the backend server failed before the response was complete")
}

// checkFraming rejects a response whose end cannot be told from a truncation: HTTP/1.0 style bodies
// that end with the connection. It also rejects a switch of protocols.
func (x *exchange) checkFraming() error {
	resp := x.response
	if resp.StatusCode < http.StatusOK {
		// net/http passes status 101 on. HTTP/2 has no such status, so the entry would get an empty
		// response with status 200.
		return errkind.New(errkind.AnswerInvalid, "the backend server switched protocols without being asked")
	}
	bodyless := resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if bodyless || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || x.dialect.AllowsCloseDelimited() {
		return nil
	}
	return errkind.New(errkind.AnswerInvalid, "the response has neither Content-Length nor chunked encoding, so a truncation cannot be detected")
}

// bufferSmallBody reads a body of known, small length completely, so that a truncation becomes an
// error in place of a broken stream.
func (x *exchange) bufferSmallBody(ctx context.Context) error {
	resp := x.response
	if resp.ContentLength < 0 || resp.ContentLength > bufferedResponseBytes || resp.Request.Method == http.MethodHead {
		return nil
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	resp.Body.Close()
	x.recordServiceTime()
	if err != nil {
		if ctx.Err() != nil {
			return x.classify(ctx, err)
		}
		return errkind.Wrap(errkind.AnswerInvalid, err, "the response of the backend server was truncated")
	}
	x.bufferedBody = body
	digest := newContentDigest(resp.Header)
	digest.write(body)
	return digest.check()
}

// contentDigest checks the sha-256 value of the Content-Digest header (RFC 9530), if a backend
// server sends one.
type contentDigest struct {
	want string
	hash hash.Hash
}

// newContentDigest returns the check for a response header. Without a sha-256 value the check
// always passes.
func newContentDigest(h http.Header) *contentDigest {
	for _, line := range h["Content-Digest"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if name == "sha-256" {
				return &contentDigest{want: strings.Trim(value, ":"), hash: sha256.New()}
			}
		}
	}
	return &contentDigest{}
}

func (d *contentDigest) write(p []byte) {
	if d.hash != nil {
		d.hash.Write(p) //nolint:errcheck // hash.Hash never returns an error
	}
}

func (d *contentDigest) check() error {
	if d.hash == nil {
		return nil
	}
	if got := base64.StdEncoding.EncodeToString(d.hash.Sum(nil)); got != d.want {
		return errkind.New(errkind.AnswerInvalid, fmt.Sprintf("the response body has sha-256 %s, Content-Digest says %s", got, d.want))
	}
	return nil
}

// copyBody sends the response body to the entry, followed by the trailers of package forward. The
// kind of the error is PathBroken if the entry or the deadline ended the copy, and AnswerInvalid if
// the backend server did.
func (x *exchange) copyBody(ctx context.Context, w http.ResponseWriter) error {
	if x.bufferedBody != nil {
		_, err := forward.CopyResponse(w, bytes.NewReader(x.bufferedBody))
		return err
	}
	digest := newContentDigest(x.response.Header)
	body := io.TeeReader(x.response.Body, writerFunc(digest.write))
	if _, err := forward.CopyResponse(w, &checkedBody{body, digest}); err != nil {
		// The response header came in time. Neither a lost entry daemon nor the deadline of a long
		// body is the fault of the backend server.
		if errors.Is(err, forward.ErrWrite) || ctx.Err() != nil {
			return errkind.Wrap(errkind.PathBroken, err, "the entry daemon disconnected or the deadline passed during the response")
		}
		return errkind.Wrap(errkind.AnswerInvalid, err, "the response of the backend server was truncated")
	}
	return nil
}

// checkedBody returns an error in place of io.EOF if the digest does not match.
type checkedBody struct {
	io.Reader
	digest *contentDigest
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		if mismatch := b.digest.check(); mismatch != nil {
			return n, mismatch
		}
	}
	return n, err
}

type writerFunc func([]byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}
