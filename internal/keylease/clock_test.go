package keylease

import "testing"

// A request with a key reads the clock once or twice.
func BenchmarkFresh(b *testing.B) {
	l := New(BootClock, 1<<62, func() uint64 { return 1 })
	l.Offer(Confirmation{At: BootClock(), Configuration: 1})
	for b.Loop() {
		if !l.Fresh() {
			b.Fatal("not fresh")
		}
	}
}
