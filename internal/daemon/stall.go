package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// stallGuard ends requests whose caller stops sending its body or stops taking the response. The time restarts with each
// piece of data, so that a slow but steady upload of a large file is not cut.
func stallGuard(limits settings.Limits, next http.Handler) http.Handler {
	read, write := time.Duration(limits.BodyStallTimeout), time.Duration(limits.WriteStallTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ContentLength != 0 {
			r.Body = &stallReader{ReadCloser: r.Body, control: control, timeout: read}
		}
		next.ServeHTTP(&stallWriter{ResponseWriter: w, control: control, timeout: write}, r)
	})
}

type stallReader struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

func (s *stallReader) Read(p []byte) (int, error) {
	s.control.SetReadDeadline(time.Now().Add(s.timeout)) //nolint:errcheck // connections without deadlines have none to miss
	n, err := s.ReadCloser.Read(p)
	if err == io.EOF {
		s.control.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	}
	return n, err
}

type stallWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func (s *stallWriter) Write(p []byte) (int, error) {
	s.control.SetWriteDeadline(time.Now().Add(s.timeout)) //nolint:errcheck // as above
	return s.ResponseWriter.Write(p)
}

// Flush sends what is buffered. It keeps streamed responses flowing through the wrapper.
func (s *stallWriter) Flush() {
	s.control.SetWriteDeadline(time.Now().Add(s.timeout)) //nolint:errcheck // as above
	s.control.Flush()                                     //nolint:errcheck // the next write reports a lost caller
}

// Unwrap lets http.ResponseController reach the connection.
func (s *stallWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
