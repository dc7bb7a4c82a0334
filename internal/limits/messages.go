package limits

// Sender identifies the process that requests shares.
type Sender struct {
	VM          string
	Incarnation uint64
}

// Demand is what an entry asks of a holder for one customer. Rates are in thousandths of a request
// per second.
type Demand struct {
	Customer string
	// RateMilli and Concurrency are what the entry wants. Both are 0 when it returns its share.
	RateMilli   uint64
	Concurrency uint32
	// InFlight is the number of the customer's requests in flight at the entry.
	InFlight uint32
	// HeldRateMilli and HeldConcurrency are the share from this holder that the entry may use until
	// the response arrives.
	HeldRateMilli   uint64
	HeldConcurrency uint32
}

// Request asks one holder for shares of one or more customers.
type Request struct {
	Sender Sender
	// Sequence grows with each request of the sender, to whichever holder it goes.
	Sequence uint64
	Demands  []Demand
}

// Grant is a share of a customer's limits for one lease, which the entry counts from when it sent
// the request. RateMilli is in thousandths of a request per second.
type Grant struct {
	Customer    string
	RateMilli   uint64
	Concurrency uint32
}

// Response answers a Request. NotHolder lists the customers for which the receiver grants nothing:
// it is not their holder, or still waits before its first grant. Customers without a contract are
// in neither list.
type Response struct {
	Grants    []Grant
	NotHolder []string
}
