package listener

import (
	"testing"
	"time"
)

// Guards against a request whose deadline counts from an earlier request on its connection, or from
// the end of one that it waited for.
func TestArrivals(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		play func(a *arrivals)
		// want is the arrival of the request that begins last, -1 if it did not wait.
		want int
	}{
		{"first request", func(a *arrivals) { a.noteRead(at(1)) }, -1},
		{"after an answer", func(a *arrivals) { a.noteRead(at(1)); a.begin(); a.end(at(9), false); a.noteRead(at(20)) }, -1},
		{"while one is served", func(a *arrivals) { a.noteRead(at(1)); a.begin(); a.noteRead(at(5)); a.end(at(9), false) }, 5},
		{"rest comes later", func(a *arrivals) {
			a.noteRead(at(1))
			a.begin()
			a.noteRead(at(5))
			a.end(at(9), false)
			a.noteRead(at(12))
		}, 5},
		{"in the same read", func(a *arrivals) { a.noteRead(at(1)); a.begin(); a.end(at(9), false) }, 1},
		{"behind a body", func(a *arrivals) {
			a.noteRead(at(1))
			a.begin()
			a.noteRead(at(3))
			a.noteRead(at(5))
			a.end(at(9), true)
		}, 5},
		{"long after a body", func(a *arrivals) {
			a.noteRead(at(1))
			a.begin()
			a.noteRead(at(3))
			a.end(at(9), true)
			a.noteRead(at(5000))
		}, -1},
		{"third in the same read", func(a *arrivals) {
			a.noteRead(at(1))
			a.begin()
			a.end(at(9), false)
			a.begin()
			a.end(at(19), false)
		}, 1},
	} {
		a := &arrivals{}
		c.play(a)
		got, waited := a.begin()
		if waited != (c.want >= 0) || waited && !got.Equal(at(c.want)) {
			t.Errorf("%s: arrived after %v, waited %v, want %d ms", c.name, got.Sub(start), waited, c.want)
		}
	}
}
