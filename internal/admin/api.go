package admin

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Conventions for all types of the admin API: field names in JSON are lowerCamel, durations are
// text such as "2.5s", and times are RFC 3339.

// Status is the response to GET /v1/status.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Version    string `json:"version"`
	// Incarnation identifies one run of the daemon process. It is text in JSON, because many JSON
	// readers round numbers above 2^53.
	Incarnation uint64 `json:"incarnation,string"`
	// Started is when the process started.
	Started time.Time `json:"started"`
	// Ready is false while the daemon refuses requests because it has no complete configuration
	// yet. Reason then says why, and is empty otherwise.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Leaving is true once the daemon drains. It stays true until the process exits.
	Leaving bool `json:"leaving"`
	// Configuration describes how far the configuration has reached this daemon. Findings are
	// documents that were rejected. Conflicts are API keys and backend servers that two documents
	// claim.
	Configuration Configuration      `json:"configuration"`
	Findings      []contract.Finding `json:"findings"`
	Conflicts     []catalog.Conflict `json:"conflicts"`
	// Customers, Services and VMs count those of the configuration in force.
	Customers int `json:"customers"`
	Services  int `json:"services"`
	VMs       int `json:"vms"`
	// BackendServers are those that run on this VM.
	BackendServers []BackendServer `json:"backendServers"`
	// Operations counts the operation keys (idempotency keys) that this daemon remembers.
	Operations int `json:"operations"`
	// LimitedCustomers counts the customers for whose limits this daemon keeps state.
	LimitedCustomers int `json:"limitedCustomers"`
	// PlatformCalls counts the calls to the configuration service since the process started.
	PlatformCalls uint64 `json:"platformCalls"`
}

// Configuration describes which configuration values a daemon holds, and from where it gets them.
type Configuration struct {
	// IndexRevision is the revision of the index in force, and IndexValues the number of values
	// that it lists. Held counts the listed values that this daemon has a copy of.
	IndexRevision uint64 `json:"indexRevision"`
	IndexValues   int    `json:"indexValues"`
	Held          int    `json:"held"`
	// HighestRevision is the highest revision of all values that this daemon has a copy of, except
	// the list of VMs.
	HighestRevision uint64 `json:"highestRevision"`
	// Refused are values that are held but could not be applied. Conflicts are the names of values
	// that were received with two different contents at the same revision.
	Refused   []RefusedValue `json:"refused"`
	Conflicts []string       `json:"conflicts"`
	Platform  Platform       `json:"platform"`
	Members   Members        `json:"members"`
	// BytesSent and BytesReceived are the totals of messages to and from peers, without headers.
	BytesSent     uint64 `json:"bytesSent"`
	BytesReceived uint64 `json:"bytesReceived"`
}

// RefusedValue is a value that is held but could not be applied.
type RefusedValue struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	// InForce is the revision that stays in force, 0 for none.
	InForce uint64 `json:"inForce"`
	Reason  string `json:"reason"`
}

// Platform is what a daemon knows about the configuration service, called the platform. Heard and
// Age also count responses that other daemons reported. Revision and the fields after it come from
// this daemon's own calls, and are out of date while it makes none.
type Platform struct {
	// Heard is false when neither this daemon nor any that it exchanged messages with has ever got
	// a response. Age is the time since the latest response, 0 when Heard is false.
	Heard bool              `json:"heard"`
	Age   contract.Duration `json:"age"`
	// Reader is true while this daemon is one of those elected to poll the platform.
	Reader bool `json:"reader"`
	// Revision is the one that the platform reported last to this daemon.
	Revision uint64 `json:"revision"`
	// Down is true while the platform does not respond to this daemon. LastError is the error of
	// the last failed call, and stays after the platform responds again.
	Down bool `json:"down"`
	// Behind is true when the platform serves older revisions than the fleet holds.
	Behind    bool   `json:"behind"`
	LastError string `json:"lastError,omitempty"`
	// Unread counts the values that the platform lists at a higher revision than this daemon holds.
	Unread int `json:"unread"`
}

// Members is a daemon's view of the other daemons.
type Members struct {
	// Known counts the VMs of the configuration. ListedLive and ListedLeaving count, by state, the
	// VMs of the list that the platform serves.
	Known         int `json:"known"`
	ListedLive    int `json:"listedLive"`
	ListedLeaving int `json:"listedLeaving"`
	// Peers are the VMs that this daemon exchanges configuration with. A seed peer, whose VM is not
	// known yet, is listed by its address. Failing are the peers that don't respond.
	Peers   []string `json:"peers"`
	Failing []string `json:"failing"`
	// Readers are the daemons of this data centre that this daemon takes for elected readers of the
	// platform.
	Readers []string `json:"readers"`
}

// Revision is the response to GET /v1/revision?value=NAME.
type Revision struct {
	VM    string `json:"vm"`
	Value string `json:"value"`
	// Revision is the revision in force, 0 for none.
	Revision uint64 `json:"revision"`
}

// Revisions is the response to GET /v1/revisions: the revision in force of each value, including
// the index.
type Revisions struct {
	VM     string            `json:"vm"`
	Values map[string]uint64 `json:"values"`
}

// VM is one item of the response to GET /v1/vms, which lists the VMs of the configuration in force,
// sorted by name.
type VM struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is empty when other hosts cannot reach the admin listener.
	AdminAddress string `json:"adminAddress,omitempty"`
}

// Placement is the response to GET /v1/backends/{id}: where a backend server of the configuration
// in force runs. Every daemon knows the placement. Only the daemon of that VM decides, and reports
// in its status, the mode of the backend server.
type Placement struct {
	BackendServer string `json:"backendServer"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	VM            VM     `json:"vm"`
}

// Documents is the response to GET /v1/documents?value=NAME: the documents in force of one value.
type Documents struct {
	Contracts   []contract.Contract   `json:"contracts,omitempty"`
	Services    []contract.Service    `json:"services,omitempty"`
	VMs         []contract.VM         `json:"vms,omitempty"`
	DataCentres []contract.DataCentre `json:"dataCentres,omitempty"`
}

// AuditPage is the response to GET /v1/audit?from=N&wait=DURATION: the kept entries with a sequence
// of at least N. Without any, the daemon waits up to DURATION, at most 30 s, for a new one.
type AuditPage struct {
	VM string `json:"vm"`
	// Incarnation changes when the daemon restarts. Sequences then start at 0 again.
	Incarnation uint64        `json:"incarnation,string"`
	Entries     []audit.Entry `json:"entries"`
	// Next is the value of "from" for the request of the next page.
	Next uint64 `json:"next"`
}

// OverrideRequest is the body of PUT /v1/backends/{id}/override.
type OverrideRequest struct {
	// Override is "none", "pin-in-service" or "force-out".
	Override string `json:"override"`
	// Operator is the name of the requesting operator, for the audit trail.
	Operator string `json:"operator"`
}

// DrainRequest is the body of POST /v1/drain.
type DrainRequest struct {
	// Operator is the name of the requesting operator, for the audit trail.
	Operator string `json:"operator"`
}
