package admin

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// BackendServer is what the home of a backend server knows about it.
type BackendServer struct {
	BackendServer string `json:"backendServer"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	// InFlight, Waiting and Slots count requests.
	InFlight int      `json:"inFlight"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	Ejection Ejection `json:"ejection"`
	// HeldInServiceUntil is the end of the reservations granted to siblings; before it the backend server cannot be ejected.
	HeldInServiceUntil time.Time `json:"heldInServiceUntil,omitzero"`
}

// Mode is the name of a mode, such as "active" or "ejected".
type Mode string

// The modes in which callers' work is kept from a backend server.
const (
	ModeEjected  Mode = "ejected"
	ModeProbing  Mode = "probing"
	ModeDraining Mode = "draining"
)

// String returns the name.
func (m Mode) String() string { return string(m) }

// IsOut reports whether callers' work is kept from a backend server in this mode.
func (m Mode) IsOut() bool { return m == ModeEjected || m == ModeProbing || m == ModeDraining }

// Ejection tells why a backend server is in its mode.
type Ejection struct {
	State State `json:"state"`
	// Since is the start of the mode.
	Since    time.Time `json:"since"`
	Override string    `json:"override"`
	Latency  Evidence  `json:"latency"`
	Errors   Evidence  `json:"errors"`
	// SlowRatio is the recent typical service time over the baseline.
	SlowRatio float64 `json:"slowRatio"`
	// ErrorShare is the recent error share, NormalErrorShare the one taken as normal.
	ErrorShare       float64 `json:"errorShare"`
	NormalErrorShare float64 `json:"normalErrorShare"`
	// BaselineMedian is the baseline of the last window judged, from BaselineEntries entries.
	BaselineMedian  contract.Duration `json:"baselineMedian"`
	BaselineEntries int               `json:"baselineEntries"`
	// NextHoldOff is the hold-off of the next ejection.
	NextHoldOff contract.Duration `json:"nextHoldOff"`
	// ProbesPassed is the number of probes passed in a row, of ProbesNeeded.
	ProbesPassed int `json:"probesPassed"`
	ProbesNeeded int `json:"probesNeeded"`
	// Ejections and Pauses are counts since the start of the home.
	Ejections int `json:"ejections"`
	Pauses    int `json:"pauses"`
	// Reason says in one sentence why the mode holds.
	Reason string `json:"reason"`
}

// State is what the home enforces.
type State struct {
	Mode Mode `json:"mode"`
	// Allowed is the number of requests that the backend server may serve at the same time.
	Allowed int `json:"allowed"`
	// Remaining is the time until the mode can end by itself, or zero when that depends on evidence, probes or reservations.
	Remaining contract.Duration `json:"remaining"`
	// Permit is the time for which the reservations held let the backend server be out.
	Permit contract.Duration `json:"permit"`
}

// Evidence is one cumulative sum against its threshold.
type Evidence struct {
	Value     float64 `json:"value"`
	Threshold float64 `json:"threshold"`
	// Since is when the value was last zero, and Samples the number of requests judged since then.
	Since   time.Time `json:"since,omitzero"`
	Samples int       `json:"samples"`
}
