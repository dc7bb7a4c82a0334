package forward

import (
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// sharedHeaderWriter is an http.ResponseWriter whose server goes on reading the header map that the
// handler had when it sent an interim response, as that of HTTP/2 does when the stream ends.
type sharedHeaderWriter struct {
	header http.Header
	// shared is the map that the server reads, and read its content at that time.
	shared, read http.Header
	statuses     []int
	sent         http.Header
	body         strings.Builder
}

func (w *sharedHeaderWriter) Header() http.Header {
	if w.header == nil {
		w.header = http.Header{}
	}
	return w.header
}

func (w *sharedHeaderWriter) WriteHeader(status int) {
	w.statuses = append(w.statuses, status)
	if status < http.StatusOK {
		w.shared, w.read = w.header, w.header.Clone()
		return
	}
	w.sent = w.header.Clone()
}

func (w *sharedHeaderWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// Guards against a header map that changes while the server sends an interim response with it, which
// ends the process, and against headers or trailers that are lost on that account.
func TestAnswerKeepsItsHeaderFromInterimResponses(t *testing.T) {
	w := &sharedHeaderWriter{}
	a := NewAnswer(w)
	a.Header().Set(HeaderVM, "vm1")
	a.Interim(http.StatusProcessing)
	a.Header().Set(HeaderState, "s")
	a.Interim(http.StatusContinue)
	DeclareTrailers(a.Header())
	if w.header != nil {
		t.Errorf("the server's map has %v before the final status", w.header)
	}
	WriteError(a, errkind.New(errkind.NotHome, "elsewhere"))
	a.Header().Set(TrailerLength, "7")
	if w.shared != nil && !maps.EqualFunc(w.shared, w.read, func(x, y []string) bool { return strings.Join(x, ",") == strings.Join(y, ",") }) {
		t.Errorf("the map that the server reads has changed from %v to %v", w.read, w.shared)
	}
	if w.sent.Get(HeaderVM) != "vm1" || w.sent.Get(HeaderState) != "s" || w.sent.Get(HeaderErrorKind) == "" || len(w.sent["Trailer"]) != 2 {
		t.Errorf("sent: %v", w.sent)
	}
	if w.sent.Get(TrailerLength) != "" || w.header.Get(TrailerLength) != "7" {
		t.Errorf("the trailer is in the head, or not where the server looks for it: %v", w.header)
	}
	if len(w.statuses) != 3 || !strings.Contains(w.body.String(), "elsewhere") {
		t.Errorf("statuses %v, body %q", w.statuses, w.body.String())
	}
}
