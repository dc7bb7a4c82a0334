package home

import (
	"context"
	"errors"
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// logFailure writes why a backend server gave no whole response. An entry that gave up is no failure. The backend server comes
// first, so that the limit of repeats counts for each of them.
func (h *Home) logFailure(ctx context.Context, m *member, r *http.Request, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	switch kind := errkind.Of(err); kind {
	case errkind.BackendUnreachable, errkind.BackendBroken, errkind.AnswerInvalid, errkind.PathBroken:
		h.log.Warn("A backend server gave no whole response.", "backend", m.id, "service", m.service, "vm", h.vm,
			"request", r.Header.Get(forward.HeaderRequestID), "kind", kind, "cause", forward.Cause(err))
	}
}
