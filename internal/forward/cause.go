package forward

import (
	"errors"
	"net/textproto"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Cause returns the cause of a failed request for logs. Text that net/http quotes from received
// bytes is left out, because it may contain part of a body that was taken for a header.
func Cause(err error) string {
	var failure *errkind.Error
	if errors.As(err, &failure) {
		if failure.Cause == nil {
			return failure.Detail
		}
		err = failure.Cause
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return "malformed header" // the error contains the whole received line
	}
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimRight(text, " :=")
}
