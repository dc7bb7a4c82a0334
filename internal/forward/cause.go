package forward

import (
	"errors"
	"net/textproto"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Cause returns why a request failed, for logs. The parts that net/http quotes from the other side are left out, since a body
// that is taken for a header may stand in them.
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
		return "malformed header" // the error holds the whole line
	}
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimRight(text, " :=")
}
