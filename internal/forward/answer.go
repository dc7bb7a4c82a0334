package forward

import (
	"maps"
	"net/http"
)

// Answer is the response of a handler that may send interim responses. While the stream of a request
// ends, net/http returns from an interim response although a goroutine of the server still reads the
// header map of the handler. A write to that map then ends the whole process. An Answer therefore keeps
// the header of the final response in a map of its own until that is sent, and interim responses have
// none. The underlying writer must have no header yet.
//
// It is an http.ResponseWriter. Whoever has it cannot reach the map that the server reads before the
// final response, which the server copies before it returns from WriteHeader.
type Answer struct {
	w      http.ResponseWriter
	header http.Header
	// begun is set once the final status was sent. Only trailers are set after that.
	begun bool
}

// NewAnswer returns the answer that is sent through w.
func NewAnswer(w http.ResponseWriter) *Answer { return &Answer{w: w, header: http.Header{}} }

// Interim sends an interim response with a status from 100 to 199. It must not be called after the
// final status.
func (a *Answer) Interim(status int) { a.w.WriteHeader(status) }

// Header implements http.ResponseWriter.
func (a *Answer) Header() http.Header {
	if a.begun {
		return a.w.Header()
	}
	return a.header
}

// WriteHeader implements http.ResponseWriter. It sends the final status.
func (a *Answer) WriteHeader(status int) {
	if !a.begun {
		a.begun = true
		maps.Copy(a.w.Header(), a.header)
	}
	a.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *Answer) Write(p []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.w.Write(p)
}

// Flush implements http.Flusher.
func (a *Answer) Flush() {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap returns the underlying writer for http.ResponseController.
func (a *Answer) Unwrap() http.ResponseWriter { return a.w }
