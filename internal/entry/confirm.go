package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// With Options.Confirm, a home daemon confirms a request as soon as it has it, before it waits for
// a slot. If there is no confirmation within these times, the path counts as broken. A round trip
// takes less than 2 ms within a region and 40 ms between regions, and a lost packet is sent again
// after 200 ms.
const (
	confirmTimeoutOwnRegion   = 150 * time.Millisecond
	confirmTimeoutOtherRegion = 260 * time.Millisecond
)

// errUnconfirmed is the cancellation cause of a try that the home daemon did not confirm in time.
var errUnconfirmed = errors.New("the home daemon did not confirm the request in time")

// errBodyWithdrawn is the error that a transport reads from the body of a try that has ended.
var errBodyWithdrawn = errors.New("the try has ended and its body was withdrawn")

// withheldBody is the body of a try that the transport reads only after the home daemon asks for
// it. After withdraw nothing more can be read. If nothing was read before, no home daemon can have
// received it.
type withheldBody struct {
	io.ReadCloser
	// check returns an error if the request must not be handed over any more. It is called before the
	// first read, which is after the wait for a slot at the home daemon.
	check func() error

	mu          sync.Mutex
	readStarted bool
	withdrawn   bool
	// refusal is the error of check.
	refusal error
}

// Read reads from the body until it is withdrawn. Then it returns errBodyWithdrawn.
func (b *withheldBody) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, errBodyWithdrawn
	}
	return b.ReadCloser.Read(p)
}

// begin reports whether the body may be read, and withdraws it if check fails before the first read.
func (b *withheldBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted && !b.withdrawn {
		b.refusal = b.check()
		b.withdrawn = b.refusal != nil
	}
	b.readStarted = b.readStarted || !b.withdrawn
	return !b.withdrawn
}

// refused returns the error of check, or nil.
func (b *withheldBody) refused() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusal
}

// withdraw ends reading, and reports whether nothing was read.
func (b *withheldBody) withdraw() (unread bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn = true
	return !b.readStarted
}

// withdrawUnread ends reading if nothing was read yet, and reports whether it did.
func (b *withheldBody) withdrawUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn = b.withdrawn || !b.readStarted
	return !b.readStarted
}

// confirmTimeout returns how long the home daemon of the try may take to confirm the request.
func (t *try) confirmTimeout() time.Duration {
	if t.countCrossRegion != nil {
		return confirmTimeoutOtherRegion
	}
	return confirmTimeoutOwnRegion
}

// isConfirmation reports whether the status of an interim response confirms the request.
func isConfirmation(code int) bool {
	return code == http.StatusProcessing || code == http.StatusContinue
}
