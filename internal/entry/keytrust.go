package entry

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/dialect"
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
func (e *Entry) checkKeyAtAdmission(c *call, caller dialect.Caller, matchError error) error {
	switch {
	case matchError == nil:
		return e.confirmKey(c)
	case e.keysTrusted != nil && errkind.Of(matchError) == errkind.Unauthenticated && caller.APIKey != "" && !e.keysTrusted():
		return errKeysUnconfirmed()
	default:
		return matchError
	}
}

// trustKey returns an error if the request belongs to an organisation and the keys are not confirmed.
func (e *Entry) trustKey(id identity) error {
	if e.keysTrusted != nil && id.customer.Organisation && !e.keysTrusted() {
		return errKeysUnconfirmed()
	}
	return nil
}
