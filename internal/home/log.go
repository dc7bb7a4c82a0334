package home

import (
	"context"
	"errors"
	"math"
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// logFailure logs why a backend server gave no complete response, or none that may be passed on. A request that the entry
// abandoned is not logged. The backend server is the first key, because the logger limits repeated
// lines by message and first value.
func (h *Home) logFailure(ctx context.Context, m *member, r *http.Request, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	sentence := "A backend server gave no complete response."
	kind := errkind.Of(err)
	switch kind {
	case errkind.BackendUnreachable, errkind.BackendBroken, errkind.AnswerInvalid, errkind.PathBroken:
	case errkind.UnconfirmedRefusal:
		sentence = "A backend server failed a request with the status of a refusal."
	default:
		return
	}
	h.log.Warn(sentence, "backend", m.id, "service", m.service, "vm", h.vm, "request", r.Header.Get(forward.HeaderRequestID), "kind", kind, "cause", forward.Cause(err))
}

// logSuspicion logs that a backend server became suspect, so that requests that cannot be repeated
// are held back from it, or that it is trusted again. gray is the probability, from 0 to 1, that it
// is gray.
func (h *Home) logSuspicion(m *member, suspect bool, gray float64) {
	sentence := "A backend server is trusted again."
	if suspect {
		sentence = "A backend server is suspect."
	}
	h.log.Info(sentence, "backend", m.id, "service", m.service, "gray", math.Round(gray*100)/100)
}
