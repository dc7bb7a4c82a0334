package entry

import (
	"net/http"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// keysRetryAfter is the time after which a caller with a key may come back while the keys are not
// confirmed: a daemon that can be reached again hears of a confirmation with the next status of
// another one.
const keysRetryAfter = 600 * time.Millisecond

// errKeysUnconfirmed returns the error for a request with a key while the keys are not confirmed.
func errKeysUnconfirmed() *errkind.Error {
	return &errkind.Error{
		Kind: errkind.KeysUnconfirmed, RetryAfter: keysRetryAfter,
		Detail: "it is not known whether the API key of the request is still valid, because this daemon has not heard of the newest configuration lately",
	}
}

// checkKeyAtAdmission returns the error for a request that was matched with a contract or not. While
// the keys are not confirmed, an unknown key may be a new one.
func (e *Entry) checkKeyAtAdmission(r *http.Request, c *call, matchError error) error {
	switch {
	case matchError == nil:
		return e.checkKey(c)
	case e.keysTrusted != nil && errkind.Of(matchError) == errkind.Unauthenticated && apiKey(r) != "" && !e.keysTrusted():
		return errKeysUnconfirmed()
	default:
		return matchError
	}
}

// checkKey returns an error unless the key of the call is valid in the configuration in force and that
// is known to be the newest one. The snapshot is taken last, so that it is at least as new as the one
// that is trusted.
func (e *Entry) checkKey(c *call) error {
	if e.keysTrusted == nil || !c.identifiedByKey {
		return nil
	}
	if !e.keysTrusted() {
		return errKeysUnconfirmed()
	}
	if owner := e.snapshot().CustomerByKey(c.key); owner == nil || owner.Name != c.customer.Name {
		return errkind.New(errkind.Unauthenticated, "the API key of the request is no longer valid")
	}
	return nil
}
