package daemon

import (
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// withStallTimeouts aborts requests whose caller stops sending the body or stops accepting the
// response. The timeout restarts with each read or write, so that a slow but steady upload of a
// large file is not aborted.
func withStallTimeouts(limits settings.Limits, next http.Handler) http.Handler {
	read, write := time.Duration(limits.BodyStallTimeout), time.Duration(limits.WriteStallTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		out := &stallWriter{ResponseWriter: w, control: control, timeout: write}
		if r.ContentLength != 0 {
			r.Body = &stallReader{ReadCloser: r.Body, control: control, timeout: read, limit: &out.readLimit}
		}
		defer answerPanic(out, r)
		next.ServeHTTP(out, r)
	})
}

// answerPanic responds to a request whose handler panicked, if the response has not begun. Without
// it net/http closes the connection, and the caller learns nothing. http.ErrAbortHandler and other
// panics after the beginning of a response still end the connection, so that the response does not
// look complete.
func answerPanic(w *stallWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler || w.wroteHeader {
		if w.wroteHeader && r.ProtoMajor == 1 && r.ProtoMinor == 0 {
			w.reset()
		}
		panic(v)
	}
	if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok && server.ErrorLog != nil {
		server.ErrorLog.Printf("http: panic serving %v: %v; %s", r.RemoteAddr, v, debug.Stack())
	}
	w.Header().Set("Connection", "close")
	forward.WriteError(w, errkind.New(errkind.Internal, "the daemon failed while it served the request"))
}

// reset ends the connection with a reset. For a caller with HTTP/1.0 the proper end of the connection
// is the end of a response without a length.
func (s *stallWriter) reset() {
	conn, _, err := s.control.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		tcp.SetLinger(0) //nolint:errcheck // it fails only if the connection has ended
	}
	conn.Close() //nolint:errcheck // as above
}

// stallReader sets a new read deadline before each read of a request body.
type stallReader struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
	// limit is the deadline that the handler has set, nil for none. No read outlasts it.
	limit *atomic.Pointer[time.Time]
}

func (s *stallReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(s.timeout)
	if limit := s.limit.Load(); limit != nil && limit.Before(deadline) {
		deadline = *limit
	}
	s.control.SetReadDeadline(deadline) //nolint:errcheck // a connection without deadlines cannot miss one
	n, err := s.ReadCloser.Read(p)
	if err == io.EOF {
		s.control.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	}
	return n, err
}

// stallWriter sets a new write deadline before each write of a response.
type stallWriter struct {
	http.ResponseWriter
	control   *http.ResponseController
	timeout   time.Duration
	readLimit atomic.Pointer[time.Time]
	// wroteHeader is true once the response has begun.
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (s *stallWriter) WriteHeader(status int) {
	s.wroteHeader = s.wroteHeader || status >= http.StatusOK
	s.ResponseWriter.WriteHeader(status)
}

// SetReadDeadline bounds the reads of the request body in addition to the stall timeout. The zero
// time removes the bound. http.ResponseController calls it.
func (s *stallWriter) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		s.readLimit.Store(nil)
		return nil
	}
	s.readLimit.Store(&deadline)
	return nil
}

func (s *stallWriter) Write(p []byte) (int, error) {
	s.wroteHeader = true
	s.control.SetWriteDeadline(time.Now().Add(s.timeout)) //nolint:errcheck // as above
	return s.ResponseWriter.Write(p)
}

// Flush implements http.Flusher, so that streamed responses reach the caller through the wrapper.
func (s *stallWriter) Flush() {
	s.control.SetWriteDeadline(time.Now().Add(s.timeout)) //nolint:errcheck // as above
	s.control.Flush()                                     //nolint:errcheck // the next write reports a lost caller
}

// Unwrap gives http.ResponseController access to the connection.
func (s *stallWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
