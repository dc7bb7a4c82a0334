package admin

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/home"
)

// Status is the answer of GET /v1/status.
type Status struct {
	VM          string
	DataCentre  string
	Region      string
	Version     string
	Incarnation uint64
	// Started is when the process started.
	Started time.Time
	// Ready is false while the daemon refuses requests because it has no configuration; Reason says what it waits for.
	Ready   bool
	Reason  string
	Leaving bool
	// Configuration describes the propagation; Findings are documents that were not taken.
	Configuration configsync.Status
	Findings      []contract.Finding
	Customers     int
	Services      int
	VMs           int
	// BackendServers are those of this VM.
	BackendServers []home.Explanation
	// Operations counts the operation keys that this daemon remembers.
	Operations int
	// LimitedCustomers counts the customers whose limits hold state at this daemon.
	LimitedCustomers int
	// PlatformCalls counts calls to the configuration service.
	PlatformCalls uint64
}

// Revision is the answer of GET /v1/revision?value=NAME.
type Revision struct {
	VM    string
	Value string
	// Revision is the one in force, 0 for none.
	Revision uint64
}

// Decision is the answer of GET /v1/explain: what would happen to a request now.
type Decision struct {
	VM       string
	Customer string
	// Refusal is the error kind that the request would get, empty when it would be served.
	Refusal string
	Detail  string
	// Route is the path prefix of the contract that matches.
	Route      string
	Service    string
	AtMostOnce bool
	Repeatable bool
	Deadline   contract.Duration
	Limits     contract.Limits
	Floor      int
	// Candidates are the backend servers of the service as this entry sees them, best locality first.
	Candidates []Candidate
}

// Candidate is one backend server in a Decision.
type Candidate struct {
	BackendServer string
	VM            string
	DataCentre    string
	Region        string
	// Tier is the distance from this entry: own data centre, own region or other region.
	Tier string
	// Mode is the last mode that its home reported, empty when this entry has not heard of it.
	Mode string
	// Usable is false when the entry would not choose it now; Reason says why.
	Usable bool
	Reason string
	// InFlight and Allowed are the last known requests in flight and their limit.
	InFlight int
	Allowed  int
	// Latency is the average that this entry has measured, 0 for unknown.
	Latency time.Duration
	// Score orders the candidates: the lower one of two random candidates is chosen.
	Score float64
}

// AuditPage is the answer of GET /v1/audit?from=N&wait=DURATION.
type AuditPage struct {
	VM      string
	Entries []audit.Entry
	// Next is the sequence to ask for next.
	Next uint64
}

// OverrideRequest is the body of PUT /v1/backends/{id}/override.
type OverrideRequest struct {
	// Override is "none", "pin-in-service" or "force-out".
	Override string
	// Operator names who asks, for the audit trail.
	Operator string
}

// DrainRequest is the body of POST /v1/drain.
type DrainRequest struct {
	// Operator names who asks, for the audit trail.
	Operator string
}
