package ring

import (
	"slices"
	"testing"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

// Guards against items that are lost or repeated, for example when the ring wraps around its end,
// and against a wrong count of dropped items. A slice is the model of the ring.
func TestRingMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := New[int](capacity)
		var model []int
		var dropped uint64
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				if fits := len(model) < capacity; r.Offer(next) != fits {
					t.Fatalf("Offer reported %v", !fits)
				} else if fits {
					model = append(model, next)
				} else {
					dropped++
				}
			},
			"push": func(t *rapid.T) {
				next++
				if len(model) == capacity {
					model = model[1:]
					dropped++
				}
				r.Push(next)
				model = append(model, next)
			},
			"drain": func(t *rapid.T) {
				if got := r.Drain(); !slices.Equal(got, model) {
					t.Fatalf("Drain = %v, want %v", got, model)
				}
				model = nil
			},
			"": func(t *rapid.T) {
				if got := r.Snapshot(); !slices.Equal(got, model) || r.Dropped() != dropped {
					t.Fatalf("Snapshot = %v, dropped %d; want %v, %d", got, r.Dropped(), model, dropped)
				}
			},
		})
	})
}
