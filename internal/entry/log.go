package entry

import (
	"context"
	"errors"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
)

// logFailure writes why a try got no whole response. Failures that a home reports are in the log of the home, and a caller that
// left is no failure.
func (e *Entry) logFailure(ctx context.Context, t *try, err error) {
	kind := errkind.Of(err)
	if t.reported || errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	switch kind {
	case errkind.PathBroken, errkind.HomeUnreachable, errkind.BackendBroken:
		e.logCause(t, kind, err)
	}
}

// logCut writes why a response broke after its header had been passed to the caller.
func (e *Entry) logCut(t *try, err error) {
	if !errors.Is(err, forward.ErrWrite) && !errors.Is(err, context.Canceled) {
		e.logCause(t, errkind.PathBroken, err)
	}
}

// logCause names the VM first, so that the limit of repeats counts for each VM.
func (e *Entry) logCause(t *try, kind errkind.Kind, err error) {
	receiver := "owner"
	if t.backend != nil {
		receiver = t.backend.ID
	}
	e.log.Warn("A try got no whole response.", "vm", t.vm, "backend", receiver, "service", t.call.service.Name,
		"request", t.call.id, "try", t.number, "kind", kind, "cause", forward.Cause(err))
}
