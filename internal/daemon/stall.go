package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// withStallTimeouts aborts requests whose caller stops sending the body or stops accepting the
// response. The timeout restarts with each read or write, so that a slow but steady upload of a
// large file is not aborted.
func withStallTimeouts(limits settings.Limits, next http.Handler) http.Handler {
	read, write := time.Duration(limits.BodyStallTimeout), time.Duration(limits.WriteStallTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ContentLength != 0 {
			r.Body = &stallReader{ReadCloser: r.Body, control: control, timeout: read}
		}
		next.ServeHTTP(&stallWriter{ResponseWriter: w, control: control, timeout: write}, r)
	})
}

// stallReader sets a new read deadline before each read of a request body.
type stallReader struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

func (s *stallReader) Read(p []byte) (int, error) {
	s.control.SetReadDeadline(time.Now().Add(s.timeout)) //nolint:errcheck // a connection without deadlines cannot miss one
	n, err := s.ReadCloser.Read(p)
	if err == io.EOF {
		s.control.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	}
	return n, err
}

// stallWriter sets a new write deadline before each write of a response.
type stallWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func (s *stallWriter) Write(p []byte) (int, error) {
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
