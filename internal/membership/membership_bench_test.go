package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAt1200VMs measures the two calls that each daemon makes about once a second.
func BenchmarkAt1200VMs(b *testing.B) {
	f := newFleet(rand.New(rand.NewPCG(1, 1)), 1200, 0, 0.05)
	m := f.nodes["vm0007"]
	b.Run("Peers", func(b *testing.B) {
		for i := range b.N {
			m.Peers(start.Add(time.Duration(i) * 2 * time.Second))
		}
	})
	b.Run("IsReader", func(b *testing.B) {
		for i := range b.N {
			m.IsReader(start.Add(time.Duration(i) * time.Second))
		}
	})
}
