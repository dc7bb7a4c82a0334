package operation

import (
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// MaxBodyBytes bounds the body of an at-most-once operation. The owner holds it in memory until the
// operation has run.
const MaxBodyBytes = 1 << 20

// Digest is the SHA-256 of a request or response body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// UploadBudget is the memory budget for bodies of operations that are being read or run. It is safe
// for concurrent use.
type UploadBudget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewUploadBudget returns a budget of limit bytes.
func NewUploadBudget(limit int64) *UploadBudget { return &UploadBudget{limit: limit} }

// Reserve takes n more bytes of the budget for a body that holds held bytes so far. It returns the
// error of BodyTooLarge or UploadsFull, and then reserves nothing.
func (b *UploadBudget) Reserve(held, n int64) *errkind.Error {
	if held+n > MaxBodyBytes {
		return BodyTooLarge.Error(fmt.Sprintf("body of the at-most-once operation is larger than %d bytes", MaxBodyBytes))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return UploadsFull.Error(fmt.Sprintf("memory budget of %d bytes for bodies of at-most-once operations is used up", b.limit))
	}
	b.used += n
	return nil
}

// Release returns n reserved bytes to the budget.
func (b *UploadBudget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}
