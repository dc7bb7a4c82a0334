package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// maxBufferedUploadBytes is the size of the largest request body that is kept in memory for another
// try.
const maxBufferedUploadBytes = 64 << 10

// largeBodyBytes is the size above which sending a body to another region costs more than waiting
// in the own one.
const largeBodyBytes = 16 << 10

// upload is the request body of a caller. A small body is held in memory, so that it can be sent
// again. A larger one is streamed, and can be sent again only if no byte of it was read.
type upload struct {
	// content holds the whole body if buffered is true. Otherwise stream is read.
	content  []byte
	buffered bool
	stream   io.ReadCloser
	// length is the declared length in bytes, -1 if it is unknown.
	length int64
	// limit is maxRequestBytes of the customer's contract.
	limit    int64
	customer string
	// readStarted and readError are set by the transport's goroutine, which may still run after a
	// try has ended.
	readStarted atomic.Bool
	readError   atomic.Pointer[error]
}

// readUpload sets the body of the call and reads a small one into memory, within the deadline of
// ctx.
func (c *call) readUpload(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	return readInTime(ctx, w, func() (err error) {
		c.body, err = newUpload(r, c.customer)
		return err
	})
}

// readInTime calls read, which reads from the caller, and ends it at the deadline of ctx. A caller
// may send slowly and without end, which no stall timeout notices.
func readInTime(ctx context.Context, w http.ResponseWriter, read func() error) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return read()
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(deadline) //nolint:errcheck // a connection without deadlines cannot miss one
	err := read()
	control.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline) {
		return errkind.Wrap(errkind.DeadlineBeforeRun, err, "the deadline passed before the request body had arrived")
	}
	return err
}

// newUpload returns the body of the request. It reads a small one into memory. It returns an error
// if the body exceeds the customer's limit, or if reading it fails.
func newUpload(r *http.Request, customer *catalog.Customer) (*upload, error) {
	u := &upload{length: r.ContentLength, limit: customer.Limits.MaxRequestBytes, customer: customer.Name}
	if err := checkDeclaredLength(r, customer); err != nil {
		return nil, err
	}
	if r.ContentLength > maxBufferedUploadBytes {
		u.stream = r.Body
		return u, nil
	}
	if r.ContentLength == 0 || r.Body == nil {
		u.buffered, u.length = true, 0
		return u, nil
	}
	return u, u.buffer(r.Body)
}

// buffer reads a small body into memory. A chunked body that turns out to be larger becomes a
// stream that starts with the bytes already read.
func (u *upload) buffer(body io.ReadCloser) error {
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedUploadBytes+1))
	if err != nil {
		return errkind.Wrap(errkind.RequestBroken, err, "reading the caller's request body failed")
	}
	if int64(len(head)) > u.limit {
		return u.tooLargeError()
	}
	if len(head) <= maxBufferedUploadBytes {
		u.content, u.buffered, u.length = head, true, int64(len(head))
		return nil
	}
	u.stream = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), body), body}
	return nil
}

func (u *upload) tooLargeError() error { return tooLargeError(u.customer, u.limit) }

func tooLargeError(customer string, limit int64) error {
	return errkind.New(errkind.RequestTooLarge, fmt.Sprintf("the request body exceeds maxRequestBytes of the contract of %s, which is %d bytes", customer, limit))
}

// checkDeclaredLength returns an error if the request declares a body above the customer's limit.
func checkDeclaredLength(r *http.Request, customer *catalog.Customer) error {
	if r.ContentLength > customer.Limits.MaxRequestBytes {
		return tooLargeError(customer.Name, customer.Limits.MaxRequestBytes)
	}
	return nil
}

// answerBeforeBody has the response sent without the request body. Over HTTP/1, net/http otherwise
// reads up to 256 KB of it first. The connection ends with the response, because the rest of the body
// would be taken for the next request.
func answerBeforeBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// isLarge reports whether the body is larger than largeBodyBytes. A streamed body counts as large.
func (u *upload) isLarge() bool { return !u.buffered || u.length > largeBodyBytes }

// canResend reports whether the body can be sent from its start.
func (u *upload) canResend() bool {
	return u.buffered || !u.readStarted.Load()
}

// callerError returns the error with which reading the caller's body failed, or nil.
func (u *upload) callerError() error {
	if cause := u.readError.Load(); cause != nil {
		return *cause
	}
	return nil
}

// reader returns the body for one try.
func (u *upload) reader() io.ReadCloser {
	if u.buffered {
		return io.NopCloser(bytes.NewReader(u.content))
	}
	return &streamReader{upload: u, remaining: u.limit}
}

// errTooLarge is the read error of a streamed body that exceeds the contract's limit.
var errTooLarge = errors.New("request body exceeds the limit of the contract")

// streamReader reads a streamed body for one try, and enforces the size limit on bodies without a
// declared length. A second try gets a reader only if the first one has read nothing and is closed.
// So two readers never read the stream at once.
type streamReader struct {
	upload    *upload
	remaining int64
	closed    atomic.Bool
}

func (s *streamReader) Read(p []byte) (int, error) {
	if s.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	u := s.upload
	u.readStarted.Store(true)
	n, err := u.stream.Read(p)
	s.remaining -= int64(n)
	if s.remaining < 0 {
		err = errTooLarge
		n = 0
	}
	if err != nil && err != io.EOF {
		u.readError.Store(&err)
	}
	return n, err
}

// Close ends reading for this try. The caller's body stays open, because another try may follow.
// net/http closes it.
func (s *streamReader) Close() error {
	s.closed.Store(true)
	return nil
}
