package admin

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Field names in JSON are lowerCamel, durations are text such as "2.5s", and times are RFC 3339.

// Status is the answer of GET /v1/status.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Version    string `json:"version"`
	// Incarnation is text in JSON, because many JSON readers round numbers above 2^53.
	Incarnation uint64 `json:"incarnation,string"`
	// Started is when the process started.
	Started time.Time `json:"started"`
	// Ready is false while the daemon refuses requests because it has no configuration; Reason says what it waits for.
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"`
	Leaving bool   `json:"leaving"`
	// Configuration describes the propagation; Findings are documents that were not taken, Conflicts are API keys and
	// backend servers that two documents claim.
	Configuration Configuration      `json:"configuration"`
	Findings      []contract.Finding `json:"findings"`
	Conflicts     []catalog.Conflict `json:"conflicts"`
	Customers     int                `json:"customers"`
	Services      int                `json:"services"`
	VMs           int                `json:"vms"`
	// BackendServers are those of this VM.
	BackendServers []BackendServer `json:"backendServers"`
	// Operations counts the operation keys that this daemon remembers.
	Operations int `json:"operations"`
	// LimitedCustomers counts the customers whose limits hold state at this daemon.
	LimitedCustomers int `json:"limitedCustomers"`
	// PlatformCalls counts calls to the configuration service.
	PlatformCalls uint64 `json:"platformCalls"`
}

// Configuration describes what a daemon holds of the configuration and whom it talks to about it.
type Configuration struct {
	// IndexRevision and IndexValues describe the index in force and the number of values that it lists; Held counts those held.
	IndexRevision   uint64 `json:"indexRevision"`
	IndexValues     int    `json:"indexValues"`
	Held            int    `json:"held"`
	HighestRevision uint64 `json:"highestRevision"`
	// Refused are values that are held but could not be applied, Conflicts the names of values with two contents at one revision.
	Refused   []RefusedValue `json:"refused"`
	Conflicts []string       `json:"conflicts"`
	Platform  Platform       `json:"platform"`
	Members   Members        `json:"members"`
	// BytesSent and BytesReceived are totals of peer messages, without headers.
	BytesSent     uint64 `json:"bytesSent"`
	BytesReceived uint64 `json:"bytesReceived"`
}

// RefusedValue is a value that is held but could not be applied.
type RefusedValue struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	// InForce is the revision that stays in force, or 0.
	InForce uint64 `json:"inForce"`
	Reason  string `json:"reason"`
}

// Platform is what a daemon knows about the configuration service.
type Platform struct {
	// Heard is false when neither this daemon nor one that it talked to ever got a response. Age is the time since the last.
	Heard bool              `json:"heard"`
	Age   contract.Duration `json:"age"`
	// Reader is true while this daemon watches the platform by election.
	Reader bool `json:"reader"`
	// Revision is the one that the platform named last to this daemon. Behind is true when the platform serves older
	// revisions than the fleet holds.
	Revision  uint64 `json:"revision"`
	Down      bool   `json:"down"`
	Behind    bool   `json:"behind"`
	LastError string `json:"lastError,omitempty"`
	// Unread counts the values listed by the platform at a higher revision than is held.
	Unread int `json:"unread"`
}

// Members is a daemon's view of the other daemons.
type Members struct {
	// Known counts the VMs of the configuration, ListedLive and ListedLeaving those of the platform's list by state.
	Known         int `json:"known"`
	ListedLive    int `json:"listedLive"`
	ListedLeaving int `json:"listedLeaving"`
	// Peers are the VMs, or for seeds the addresses, that it exchanges with; Failing are those that do not respond.
	Peers   []string `json:"peers"`
	Failing []string `json:"failing"`
	// Readers are the readers of the own data centre by this daemon's view.
	Readers []string `json:"readers"`
}

// Revision is the answer of GET /v1/revision?value=NAME.
type Revision struct {
	VM    string `json:"vm"`
	Value string `json:"value"`
	// Revision is the one in force, 0 for none.
	Revision uint64 `json:"revision"`
}

// Revisions is the answer of GET /v1/revisions: the revision in force of each value, the index included.
type Revisions struct {
	VM     string            `json:"vm"`
	Values map[string]uint64 `json:"values"`
}

// VM is one item of the answer of GET /v1/vms: the VMs of the configuration in force, by name.
type VM struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is empty when other hosts cannot reach the admin listener.
	AdminAddress string `json:"adminAddress,omitempty"`
}

// Placement is the answer of GET /v1/backends/{id}: where a backend server of the configuration in force runs. Any daemon
// knows it; only the daemon of that VM knows the backend server's mode.
type Placement struct {
	BackendServer string `json:"backendServer"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	VM            VM     `json:"vm"`
}

// Documents is the answer of GET /v1/documents?value=NAME: the documents in force of one value.
type Documents struct {
	Contracts   []contract.Contract   `json:"contracts,omitempty"`
	Services    []contract.Service    `json:"services,omitempty"`
	VMs         []contract.VM         `json:"vms,omitempty"`
	DataCentres []contract.DataCentre `json:"dataCentres,omitempty"`
}

// AuditPage is the answer of GET /v1/audit?from=N&wait=DURATION.
type AuditPage struct {
	VM string `json:"vm"`
	// Incarnation changes when the daemon is started again; sequences start at 0 then.
	Incarnation uint64        `json:"incarnation,string"`
	Entries     []audit.Entry `json:"entries"`
	// Next is the sequence to ask for next.
	Next uint64 `json:"next"`
}

// OverrideRequest is the body of PUT /v1/backends/{id}/override.
type OverrideRequest struct {
	// Override is "none", "pin-in-service" or "force-out".
	Override string `json:"override"`
	// Operator names who asks, for the audit trail.
	Operator string `json:"operator"`
}

// DrainRequest is the body of POST /v1/drain.
type DrainRequest struct {
	// Operator names who asks, for the audit trail.
	Operator string `json:"operator"`
}
