package admin

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// BackendServer is the state of a backend server at its home, the daemon of the VM where it runs.
type BackendServer struct {
	BackendServer string `json:"backendServer"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	// InFlight counts the requests that the backend server is processing, and Waiting those queued
	// at its home. Slots is the configured maximum of requests in flight.
	InFlight int      `json:"inFlight"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	Ejection Ejection `json:"ejection"`
	// HeldInServiceUntil is the end of the reservations granted to siblings, the other backend
	// servers of the service. Such a reservation promises to stay in service, so that a sibling can
	// go out without breaking the floor. The backend server can't be ejected before.
	HeldInServiceUntil time.Time `json:"heldInServiceUntil,omitzero"`
}

// Mode is the name of a mode: "warming", "active", "suspect", "ejected", "probing", "ramping" or
// "draining".
type Mode string

// The modes in which a backend server gets no requests of callers.
const (
	ModeEjected  Mode = "ejected"
	ModeProbing  Mode = "probing"
	ModeDraining Mode = "draining"
)

func (m Mode) String() string { return string(m) }

// IsOut reports whether a backend server gets no requests of callers in this mode.
func (m Mode) IsOut() bool { return m == ModeEjected || m == ModeProbing || m == ModeDraining }

// Ejection is the state of outlier ejection for one backend server, and the evidence for its mode.
type Ejection struct {
	State State `json:"state"`
	// Since is the time when the mode began.
	Since time.Time `json:"since"`
	// Override is "none", "pin-in-service" or "force-out".
	Override string `json:"override"`
	// Latency and Errors are the evidence against the backend server, by kind.
	Latency Evidence `json:"latency"`
	Errors  Evidence `json:"errors"`
	// SlowRatio is the recent typical service time divided by the baseline.
	SlowRatio float64 `json:"slowRatio"`
	// ErrorShare is the recent share of requests that failed, from 0 to 1. NormalErrorShare is the
	// share that counts as normal.
	ErrorShare       float64 `json:"errorShare"`
	NormalErrorShare float64 `json:"normalErrorShare"`
	// BaselineMedian is the baseline service time that the last evaluated window was compared with.
	// It is a median over the baselines that BaselineEntries entries reported. An entry is a daemon
	// that takes requests from callers and forwards them.
	BaselineMedian  contract.Duration `json:"baselineMedian"`
	BaselineEntries int               `json:"baselineEntries"`
	// NextHoldOff is the hold-off (the minimum time out of service) of the next ejection.
	NextHoldOff contract.Duration `json:"nextHoldOff"`
	// ProbesPassed is the number of consecutive probes that passed. ProbesNeeded of them end the
	// ejection.
	ProbesPassed int `json:"probesPassed"`
	ProbesNeeded int `json:"probesNeeded"`
	// Ejections counts ejections. Pauses counts interruptions of the daemon process, detected by a
	// late timer or a jump of the clock. Measurements that span a pause are dropped, and so is the
	// permit to be out. Both count since the daemon started.
	Ejections int `json:"ejections"`
	Pauses    int `json:"pauses"`
	// Reason explains the mode in one sentence.
	Reason string `json:"reason"`
}

// State is the mode of a backend server and the limits that its home enforces.
type State struct {
	Mode Mode `json:"mode"`
	// Allowed is the current maximum of requests in flight. It can be lower than Slots.
	Allowed int `json:"allowed"`
	// Remaining is the time until the mode can end by itself. It is 0 when the end depends on
	// evidence, probes or reservations.
	Remaining contract.Duration `json:"remaining"`
	// Permit is the remaining time for which the reservations granted by siblings allow the backend
	// server to be out of service.
	Permit contract.Duration `json:"permit"`
}

// Evidence is a cumulative sum (CUSUM) of deviations from normal behaviour. At Threshold, the
// backend server counts as an outlier.
type Evidence struct {
	Value     float64 `json:"value"`
	Threshold float64 `json:"threshold"`
	// Since is the time when Value was last 0, and Samples the number of requests evaluated since
	// then. Since is the zero time while Value is 0.
	Since   time.Time `json:"since,omitzero"`
	Samples int       `json:"samples"`
}
