package runstate

import "github.com/cowsliprun/cowsliprun/internal/errkind"

// Tries holds how the failed tries of one request ended. The zero value is a request without tries.
type Tries struct {
	// last is the error of the last failed try, mayHaveRun the last error after which the request may
	// have run.
	last, mayHaveRun error
}

// Record records the error of a failed try.
func (t *Tries) Record(err error) {
	t.last = err
	if errkind.Of(err).Answer().Outcome != errkind.NotRun {
		t.mayHaveRun = err
	}
}

// Error returns the error for the caller of a request that ends with err. Its outcome is NotRun only if
// that of all tries was. The failure of a try tells more than err, which may only say that there is no
// other backend server.
func (t *Tries) Error(err error) error {
	switch {
	case t.mayHaveRun != nil:
		return t.mayHaveRun
	case err != nil && errkind.Of(err).Answer().Outcome != errkind.NotRun:
		return err
	case t.last != nil:
		return t.last
	default:
		return err
	}
}
