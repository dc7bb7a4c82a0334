package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrivals tells when a request arrived on a connection. net/http reads a request that was sent ahead
// only once the one before it has its answer.
type arrivals struct {
	mu sync.Mutex
	// last is the time of the latest read, first that of the first read since the latest request began
	// or its body ended, and served the end of the latest request. Each is zero if there was none.
	last, first, served time.Time
}

// noteRead records that bytes have arrived.
func (a *arrivals) noteRead(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = now
	if a.first.IsZero() {
		a.first = now
	}
}

// lateRead is how long after the end of a request the rest of one that was sent ahead may be read.
// net/http reads one byte of it earlier, and the rest at once then. Bytes that come later belong to a
// request that did not wait, and what came before them is only a line end that net/http skips.
const lateRead = 10 * time.Millisecond

// begin returns when the request that begins had arrived, and true if another one was served then.
func (a *arrivals) begin() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.first
	if at.IsZero() {
		at = a.last // it came with the bytes of the request before
	}
	a.first = time.Time{}
	return at, at.Before(a.served) && a.last.Before(a.served.Add(lateRead))
}

// end records the end of a request. The reads of one with a body were not those of the next one.
func (a *arrivals) end(now time.Time, hadBody bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.served = now
	if hadBody {
		a.first = time.Time{}
	}
}

type arrivalsKey struct{}

type arrivalKey struct{}

// ConnContext serves as http.Server.ConnContext for the connections of a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, arrivalsKey{}, &c.arrivals)
	}
	return ctx
}

// WithArrival gives requests that were sent ahead the time of their arrival. The server needs
// ConnContext.
func WithArrival(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := r.Context().Value(arrivalsKey{}).(*arrivals)
		if !ok || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		hadBody := r.ContentLength != 0
		defer func() { a.end(time.Now(), hadBody) }()
		if at, waited := a.begin(); waited {
			r = r.WithContext(context.WithValue(r.Context(), arrivalKey{}, at))
		}
		next.ServeHTTP(w, r)
	})
}

// Arrival returns when a request had arrived that waited for another one on its connection, and false
// for other requests.
func Arrival(ctx context.Context) (time.Time, bool) {
	at, ok := ctx.Value(arrivalKey{}).(time.Time)
	return at, ok
}
