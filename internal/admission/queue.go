package admission

import (
	"math"
	"time"
)

// Request is what the order of a queue depends on.
type Request struct {
	// Priority is higher for more urgent requests.
	Priority int
	// Inner is set for a request that a running request waits for. It goes before others of the
	// same priority.
	Inner bool
	// First is set when the request comes to its first backend server.
	First bool
	// Goal is until when a response is in time, Deadline until when it is of use.
	Goal, Deadline time.Time

	// class is the index of the statistics of its kind, set by the queue.
	class uint8
}

// Verdict says why a request got no place in a queue.
type Verdict uint8

// The verdicts.
const (
	// Queued: the request has a place.
	Queued Verdict = iota
	// TooLong: it would wait longer than it may wait here.
	TooLong
	// TooLate: it would get its slot too late for its deadline.
	TooLate
	// QueueFull: all places are taken by requests that go before it.
	QueueFull
)

const (
	// placesPerSlot bounds the waiting requests of a backend server. Their order, and not the bound,
	// normally decides who is served.
	placesPerSlot = 8
	// classCount bounds the kinds of requests, by priority and Inner, that have statistics. A further
	// one takes those of the kind with the fewest recent requests.
	classCount = 32
	// holdWeight is the weight of the newest request in the mean times of a class.
	holdWeight = 0.1
	// spreadFactor is the number of mean deviations by which a request may take longer than the mean
	// and still be in time.
	spreadFactor = 1
	// loadWindow is the time constant with which the counts of a class decay.
	loadWindow = 4 * time.Second
	// maxOvertaking bounds the share of the slots that requests which arrive later and go before a
	// waiting one are expected to take.
	maxOvertaking = 0.9
	// overtakingTime is for how long requests are expected to arrive as in the last seconds. Bursts
	// last about that long.
	overtakingTime = 5 * time.Second
	// fairShare is the share of its requests that a kind gets served in any case, as a part of the
	// share of all kinds together. The requirement is a quarter.
	fairShare = 0.28
	// minOffered is the number of recent requests of a kind from which its share is judged.
	minOffered = 8
)

// class holds the statistics of the requests of one kind.
type class struct {
	priority int
	inner    bool
	// hold is the mean time in seconds that a request holds a slot, spread its mean deviation.
	hold, spread float64
	// offered and granted count recent requests and those of them that got a slot. work is the time
	// in seconds that the requests which got a slot or a place hold slots.
	offered, granted, work float64
}

// waiter is a request in the queue.
type waiter[T comparable] struct {
	Request
	value T
}

// Queue holds the requests that wait for a slot of one backend server. Requests that can be in time
// go before those of the same priority that cannot, the earliest goal first. It is not safe for
// concurrent use. Times must not go back by more than clocks do.
type Queue[T comparable] struct {
	slots   int
	waiting []waiter[T]
	classes [classCount]class
	// used is the number of classes in use.
	used int
	// hold is the mean time in seconds that any request holds a slot, 0 before the first.
	hold      float64
	decayedAt time.Time
}

// NewQueue returns an empty queue for a backend server with the number of slots.
func NewQueue[T comparable](slots int) *Queue[T] {
	return &Queue[T]{slots: slots, waiting: make([]waiter[T], 0, placesPerSlot*max(1, slots))}
}

// SetSlots changes the number of slots. Requests that wait stay.
func (q *Queue[T]) SetSlots(slots int) { q.slots = slots }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// classOf returns the statistics of the kind of a request, and notes where they are in the request.
func (q *Queue[T]) classOf(r *Request) *class {
	rarest := 0
	for i := range q.used {
		c := &q.classes[i]
		if c.priority == r.Priority && c.inner == r.Inner {
			r.class = uint8(i)
			return c
		}
		if c.offered < q.classes[rarest].offered {
			rarest = i
		}
	}
	if q.used < classCount {
		rarest = q.used
		q.used++
	}
	r.class = uint8(rarest)
	q.classes[rarest] = class{priority: r.Priority, inner: r.Inner}
	return &q.classes[rarest]
}

// goesBefore reports whether all requests of a class go before those of another one.
func (c *class) goesBefore(other *class) bool {
	return c.priority > other.priority || c.priority == other.priority && c.inner && !other.inner
}

// decay ages the counts of all classes.
func (q *Queue[T]) decay(now time.Time) {
	elapsed := now.Sub(q.decayedAt)
	if elapsed < loadWindow/64 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / loadWindow.Seconds())
	if q.decayedAt.IsZero() {
		keep = 0
	}
	q.decayedAt = now
	for i := range q.used {
		c := &q.classes[i]
		c.offered, c.granted, c.work = c.offered*keep, c.granted*keep, c.work*keep
	}
}

// Started records a request that got a slot without waiting.
func (q *Queue[T]) Started(now time.Time, r *Request) {
	q.decay(now)
	c := q.classOf(r)
	if r.First {
		c.offered++
	}
	c.granted++
	c.work += q.holdOf(r)
}

// Ended records for how long a request that was served held its slot.
func (q *Queue[T]) Ended(r *Request, held time.Duration) {
	seconds := held.Seconds()
	c := q.classOf(r)
	if c.hold == 0 {
		c.hold, c.spread = seconds, seconds/4
	}
	c.spread += holdWeight * (math.Abs(seconds-c.hold) - c.spread)
	c.hold += holdWeight * (seconds - c.hold)
	if q.hold == 0 {
		q.hold = seconds
	}
	q.hold += holdWeight * (seconds - q.hold)
}

// holdOf returns the time in seconds that the request is expected to hold a slot.
func (q *Queue[T]) holdOf(r *Request) float64 {
	if c := &q.classes[r.class]; c.hold > 0 {
		return c.hold
	}
	return q.hold
}

// inTime reports whether a request that starts now is likely to meet its goal.
func (q *Queue[T]) inTime(now time.Time, r *Request) bool {
	return r.Goal.Sub(now).Seconds() >= q.holdOf(r)+spreadFactor*q.classes[r.class].spread
}

// before reports whether a goes before b.
func (q *Queue[T]) before(now time.Time, a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Inner != b.Inner {
		return a.Inner
	}
	if inTimeA, inTimeB := q.inTime(now, a), q.inTime(now, b); inTimeA != inTimeB {
		return inTimeA
	} else if inTimeA {
		return a.Goal.Before(b.Goal)
	}
	return a.Deadline.Before(b.Deadline)
}

// Wait returns the time until the request would get a slot if it joined the queue now while all slots
// are in use. It is 0 while nothing is known about the backend server.
func (q *Queue[T]) Wait(now time.Time, r *Request) time.Duration {
	q.classOf(r)
	slots := float64(max(1, q.slots))
	ahead, overtaking := q.hold, q.overtaking(r)
	neglected := q.neglected(r, q.grantedShare())
	if neglected {
		overtaking = 0
	}
	for i := range q.waiting {
		w := &q.waiting[i].Request
		if q.before(now, w, r) && (!neglected || w.class == r.class) {
			ahead += q.holdOf(w)
		}
	}
	wait := ahead / slots / (1 - overtaking)
	if horizon := overtakingTime.Seconds(); wait > horizon {
		wait = horizon*overtaking + ahead/slots
	}
	return seconds(wait)
}

// overtaking returns the share of the slots that requests of more urgent classes take, which arrive
// after r and go before it.
func (q *Queue[T]) overtaking(r *Request) float64 {
	work := 0.0
	own := &q.classes[r.class]
	for i := range q.used {
		if c := &q.classes[i]; c.goesBefore(own) {
			work += c.work
		}
	}
	return min(maxOvertaking, work/loadWindow.Seconds()/float64(max(1, q.slots)))
}

// Add gives the request a place if it can get a slot within patience and before its deadline. wait
// is the expected time until then. A full queue gives up its last waiter for one that goes before it;
// displaced is set if value is that one. The value of each waiter must be unique.
func (q *Queue[T]) Add(now time.Time, r Request, patience time.Duration, value T) (v Verdict, wait time.Duration, last T, displaced bool) {
	q.decay(now)
	c := q.classOf(&r)
	if r.First {
		c.offered++
	}
	wait = q.Wait(now, &r)
	switch {
	case now.Add(wait + seconds(q.holdOf(&r))).After(r.Deadline):
		return TooLate, wait, last, false
	case wait > patience:
		return TooLong, wait, last, false
	}
	if len(q.waiting) >= placesPerSlot*max(1, q.slots) {
		share := q.grantedShare()
		i := q.lastWaiter(now, share)
		if !q.goesFirst(now, &r, &q.waiting[i].Request, share) {
			return QueueFull, wait, last, false
		}
		last, displaced = q.waiting[i].value, true
		q.removeAt(i)
	}
	c.work += q.holdOf(&r)
	q.waiting = append(q.waiting, waiter[T]{r, value})
	return Queued, wait, last, displaced
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// goesFirst reports whether a gets a slot before b. Requests of neglected kinds go before all others.
// share is grantedShare.
func (q *Queue[T]) goesFirst(now time.Time, a, b *Request, share float64) bool {
	if neglectedA, neglectedB := q.neglected(a, share), q.neglected(b, share); neglectedA != neglectedB {
		return neglectedA
	}
	return q.before(now, a, b)
}

// lastWaiter returns the index of the waiter that goes after all others. The queue is not empty.
func (q *Queue[T]) lastWaiter(now time.Time, share float64) int {
	last := 0
	for i := range q.waiting {
		if q.goesFirst(now, &q.waiting[last].Request, &q.waiting[i].Request, share) {
			last = i
		}
	}
	return last
}

// Next removes the waiter that gets a free slot. It is expired if it can no longer be served before
// its deadline; it must then be refused, and Next called again.
func (q *Queue[T]) Next(now time.Time) (value T, expired, ok bool) {
	if len(q.waiting) == 0 {
		return value, false, false
	}
	q.decay(now)
	first, share := 0, q.grantedShare()
	for i := range q.waiting {
		if q.goesFirst(now, &q.waiting[i].Request, &q.waiting[first].Request, share) {
			first = i
		}
	}
	w := q.waiting[first]
	q.removeAt(first)
	if now.Add(seconds(q.holdOf(&w.Request))).After(w.Deadline) {
		return w.value, true, true
	}
	q.classes[w.class].granted++
	return w.value, false, true
}

// grantedShare returns the share of all recent requests that got a slot.
func (q *Queue[T]) grantedShare() float64 {
	offered, granted := 0.0, 0.0
	for i := range q.used {
		offered += q.classes[i].offered
		granted += q.classes[i].granted
	}
	return granted / max(1, offered)
}

// neglected reports whether far fewer requests of the class of r get slots than the share of all.
func (q *Queue[T]) neglected(r *Request, share float64) bool {
	own := &q.classes[r.class]
	return own.offered >= minOffered && own.granted < fairShare*share*own.offered
}

// Remove takes a waiter out, and reports whether it was there.
func (q *Queue[T]) Remove(value T) bool {
	for i := range q.waiting {
		if q.waiting[i].value == value {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Clear takes all waiters out, and returns them.
func (q *Queue[T]) Clear() []T {
	var values []T
	for i := range q.waiting {
		values = append(values, q.waiting[i].value)
	}
	clear(q.waiting)
	q.waiting = q.waiting[:0]
	return values
}

func (q *Queue[T]) removeAt(i int) {
	end := len(q.waiting) - 1
	q.waiting[i] = q.waiting[end]
	q.waiting[end] = waiter[T]{}
	q.waiting = q.waiting[:end]
}
