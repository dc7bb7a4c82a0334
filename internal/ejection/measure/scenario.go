package measure

import "time"

// ServiceProfile is the size of a service and the detector preset that its deployment uses.
type ServiceProfile struct {
	Name           string
	Preset         string
	BackendServers int
	Slots          int // requests that each backend server runs at the same time
}

// Fault is what happens to one backend server from a random moment on. The zero value is no fault.
type Fault struct {
	// SlowFactor multiplies the service time. 0 means 1.
	SlowFactor float64
	// ErrorShare is the share of failed responses, InvalidShare that of wrong or truncated ones,
	// both from 0 to 1.
	ErrorShare, InvalidShare float64
	// FlapPeriod makes the fault come and go: it is present in the first half of each period.
	// Zero makes it last.
	FlapPeriod time.Duration
}

// BaselineFault is what happens to the baselines that entries report, as after a one-way network
// partition. Unless a value says otherwise, it affects entry 0 of three.
type BaselineFault int

// Kinds of baseline faults.
const (
	BaselinesIntact     BaselineFault = iota
	BaselinesMissing                  // entry 0 reports no baselines
	BaselinesTooLow                   // entry 0 reports a tenth of the true median
	BaselinesTooHigh                  // entry 0 reports ten times the true median
	AllBaselinesMissing               // no entry reports baselines
	BaselinesStale                    // entry 0 repeats its first baseline
)

var baselineFaultNames = [...]string{"baselines intact", "no baselines", "baselines a tenth", "baselines ten times", "no entry has baselines", "stale baselines"}

// String returns the text used in the report.
func (f BaselineFault) String() string { return baselineFaultNames[f] }

// Scenario describes a simulated service. Each is one row of the report.
type Scenario struct {
	Name    string
	Service ServiceProfile
	// Rate is the mean number of requests per second to each backend server.
	Rate float64
	// Spread is the standard deviation of the natural log of the service time.
	Spread        float64
	Fault         Fault
	BaselineFault BaselineFault
	// ObserverPauseInterval is the mean time between pauses of the observer, which is the home of
	// the backend server. Zero means no pauses.
	ObserverPauseInterval time.Duration
	// ColdStart restarts backend server 0 at the random moment. It is slow and failing at first,
	// and its home has lost its state.
	ColdStart bool
	// Steady leaves out the load swings and error bursts of the whole service.
	Steady bool
}

// Conditions that all scenarios have in common. The values are assumptions about ordinary services,
// not measurements of one. Intervals are means of exponential distributions, except
// baselineInterval and tickInterval, which are fixed.
const (
	entryCount           = 3
	baseMedian           = 10 * time.Millisecond // median service time of a healthy backend server
	backendSpread        = 0.1                   // standard deviation of backendServer.logFactor
	tailShare            = 0.02                  // share of requests that do more work
	tailFactor           = 10                    // factor on the service time of those requests
	backgroundErrorShare = 0.001                 // share of failed responses of a healthy backend server
	swingInterval        = 60 * time.Second      // between changes of the load level
	maxLogSwing          = 1.1                   // natural log of the largest load swing: a factor of 3 either way
	swingRampTime        = 2 * time.Second
	gcInterval           = 20 * time.Second // between garbage collections of a backend server
	gcPauseMedian        = 100 * time.Millisecond
	gcPauseSpread        = 0.8 // standard deviation of the log of the pause
	maxGCPause           = 2 * time.Second
	burstInterval        = 600 * time.Second // between failures of a dependency of the whole service
	burstDuration        = 10 * time.Second
	burstErrorShare      = 0.2
	maxQueueWait         = 50 * time.Millisecond
	maxObserverPause     = 10 * time.Second
	warmUpTime           = 15 * time.Second // until a cold backend server has its normal service time
	coldSlowFactor       = 10.0             // on the service time at a cold start
	coldErrorShare       = 0.2              // at a cold start; back to normal after a third of warmUpTime
	baselineInterval     = time.Second      // between two baselines of an entry
	shortWindow          = 2 * time.Second  // of the median and error share in a baseline
	longWindow           = 5 * time.Second  // of the error share at low request rates
	tickInterval         = 100 * time.Millisecond
)
