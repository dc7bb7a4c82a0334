package limits

// ShedAction says what happens to a request that arrives at a bounded queue.
type ShedAction uint8

// The actions.
const (
	// ShedNone: the request is queued.
	ShedNone ShedAction = iota
	// ShedNew: the arriving request is refused as shed.
	ShedNew
	// ShedQueued: the request at ShedDecision.Index leaves the queue and is refused as shed; the arriving one is queued.
	ShedQueued
)

// ShedDecision is the decision of Shed.
type ShedDecision struct {
	Action ShedAction
	Index  int
}

// Shed decides about a request of the given priority (0 to 9, higher goes first) that arrives at a queue. queued holds the
// priorities of the waiting requests, oldest first. A full queue gives up its lowest priority; among equals the latest, which
// has waited least.
func Shed(queued []int, capacity, priority int) ShedDecision {
	if len(queued) < capacity {
		return ShedDecision{Action: ShedNone}
	}
	lowest := -1
	for i, p := range queued {
		if lowest < 0 || p <= queued[lowest] {
			lowest = i
		}
	}
	if lowest < 0 || priority <= queued[lowest] {
		return ShedDecision{Action: ShedNew}
	}
	return ShedDecision{Action: ShedQueued, Index: lowest}
}
