package measure

import "time"

// Shape is the size of a service and the preset that its deployment uses.
type Shape struct {
	Name    string
	Preset  string
	Members int
	Slots   int
}

// Fault is what happens to one backend server from a random moment on. The zero value is a healthy stream.
type Fault struct {
	// Slow multiplies the service time; 0 means 1.
	Slow float64
	// Errors and Invalid are the shares of failed and of wrong or truncated answers.
	Errors, Invalid float64
	// Period makes the fault come and go: it is present in the first half of each period. Zero is a lasting fault.
	Period time.Duration
}

// Cut is what entry 0 of three supplies behind a one-way cut.
type Cut int

// Kinds of a one-way cut.
const (
	NoCut    Cut = iota
	Silent       // no baselines
	TooLow       // a tenth of the true median
	TooHigh      // ten times the true median
	AllCut       // no entry supplies baselines
	StaleCut     // the first baseline again and again
)

var cutNames = [...]string{"no cut", "no baselines", "baselines a tenth", "baselines ten times", "no entry has baselines", "stale baselines"}

// String returns the words used in the table.
func (c Cut) String() string { return cutNames[c] }

// Scenario is one row of the table.
type Scenario struct {
	Name  string
	Shape Shape
	// Rate is the number of requests a second to each backend server.
	Rate float64
	// Spread is the standard deviation of the natural log of the service time.
	Spread float64
	Fault  Fault
	Cut    Cut
	// PauseEvery is the mean time between pauses of the observer (the home); zero is none.
	PauseEvery time.Duration
	// Restart makes backend server 0 start cold at the random moment: slow and failing at first, with a new home.
	Restart bool
	// Steady leaves out load swings and bursts of errors of the whole service.
	Steady bool
}

// The environment of every stream. The numbers are assumptions about ordinary services, not measurements of one.
const (
	entries          = 3
	baseMedian       = 10 * time.Millisecond
	memberSpread     = 0.1   // standard deviation of the log of each member's own factor
	tailShare        = 0.02  // requests that do more work
	tailFactor       = 10    // how much more
	backgroundErrors = 0.001 // share of failed answers of a healthy backend server
	swingEvery       = 60 * time.Second
	swingRange       = 1.1 // log of the largest load swing: a factor of 3 either way
	swingRamp        = 2 * time.Second
	gcEvery          = 20 * time.Second
	gcMedian         = 100 * time.Millisecond
	gcSpread         = 0.8
	gcMax            = 2 * time.Second
	burstEvery       = 600 * time.Second // failures of a dependency of the whole service
	burstLength      = 10 * time.Second
	burstErrors      = 0.2
	queueWait        = 50 * time.Millisecond
	observerPauseMax = 10 * time.Second
	coldTime         = 15 * time.Second
	coldSlow         = 10.0
	coldErrors       = 0.2
	baselineEvery    = time.Second
	recent           = 2 * time.Second
	recentErrors     = 5 * time.Second
	tick             = 100 * time.Millisecond
)
