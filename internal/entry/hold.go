package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Limits of responses that are held back until they have arrived, so that one that breaks off can be
// fetched again from another backend server.
const (
	// maxHeldResponseBytes bounds the held part of one response. The rest is streamed.
	maxHeldResponseBytes = 1 << 20
	// maxHeldBytes bounds the held parts of all responses of an entry. Without room, a response is
	// streamed.
	maxHeldBytes = 16 << 20
	// holdGoalDivisor gives the fraction of the latency goal, or of the remaining time if the route
	// has no goal, after which a response that is still arriving is streamed, so that holding does
	// not make it late.
	holdGoalDivisor = 2
)

// holdBudget is the memory budget for held responses. It is safe for concurrent use.
type holdBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes and reports whether there was room.
func (b *holdBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n reserved bytes.
func (b *holdBudget) release(n int64) { b.used.Add(-n) }

// holdsResponse reports whether the response is held, and if so reserves memory for it. A response
// is held if the request can be sent again when it breaks off.
func (t *try) holdsResponse() bool {
	c := t.call
	if t.toOwner || !c.route.LargeResponses || !c.repeatable || !hasBody(t.response) {
		return false
	}
	size := int64(maxHeldResponseBytes)
	if length := t.response.ContentLength; length >= 0 {
		size = min(size, length)
	}
	if !t.entry.heldResponses.reserve(size) {
		return false
	}
	t.releaseHeld = func() { t.entry.heldResponses.release(size) }
	return true
}

// errHeldEnough ends the reading of a held response that is streamed from then on.
var errHeldEnough = errors.New("the response has been held long enough")

// holdResponse reads the response until it is complete, or until its limits of size and time are
// reached. What was read comes first in t.body.
func (t *try) holdResponse(ctx context.Context) error {
	rest := t.body
	held := &bytes.Buffer{}
	if length := t.response.ContentLength; length > 0 {
		held.Grow(int(min(length, maxHeldResponseBytes)))
	}
	_, err := io.Copy(held, &timedReader{Reader: io.LimitReader(rest, maxHeldResponseBytes), until: t.holdUntil(ctx)})
	switch {
	case errors.Is(err, errHeldEnough), err == nil && held.Len() == maxHeldResponseBytes:
		t.body = io.MultiReader(held, rest)
	case err != nil:
		return t.brokenResponseError(ctx, err)
	default:
		t.body = held
	}
	return nil
}

// holdUntil returns the end of the time for which the response may be held.
func (t *try) holdUntil(ctx context.Context) time.Time {
	now := time.Now()
	if goal := t.call.route.Goal; goal > 0 {
		return now.Add(goal / holdGoalDivisor)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return now
	}
	return now.Add(deadline.Sub(now) / holdGoalDivisor)
}

// timedReader returns errHeldEnough in place of the first read after its time.
type timedReader struct {
	io.Reader
	until time.Time
}

func (r *timedReader) Read(p []byte) (int, error) {
	if time.Now().After(r.until) {
		return 0, errHeldEnough
	}
	return r.Reader.Read(p)
}
