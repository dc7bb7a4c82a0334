package limits

// Sender is the process that sends a request for shares.
type Sender struct {
	VM          string
	Incarnation uint64
}

// Demand is what an entry needs for one customer. All rates are in thousandths of a request a second.
type Demand struct {
	Customer string
	// RateMilli and Concurrency are wanted. Both are 0 when the entry returns its share.
	RateMilli   uint64
	Concurrency uint32
	// InFlight is the number of requests in flight at the entry.
	InFlight uint32
	// HeldRateMilli and HeldConcurrency are the share from this holder that the entry can use until the response arrives.
	HeldRateMilli   uint64
	HeldConcurrency uint32
}

// Request asks one holder for shares.
type Request struct {
	Sender Sender
	// Sequence grows with each request of the sender to any holder.
	Sequence uint64
	Demands  []Demand
}

// Grant is a share for one lease, counted by the entry from when it sent the request.
type Grant struct {
	Customer    string
	RateMilli   uint64
	Concurrency uint32
}

// Response answers a Request. Customers for which the receiver is not the holder are in NotHolder.
type Response struct {
	Grants    []Grant
	NotHolder []string
}
