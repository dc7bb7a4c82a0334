package registry

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// Kind says whether a request of a route may run more than once.
type Kind uint8

const (
	// NonIdempotent requests may run at most once. It is the zero value, so that a request of
	// unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests are non-idempotent ones with a large body.
	Upload
	// Download requests are idempotent ones with a large response.
	Download
)

// Repeatable reports whether a request of the kind may run more than once. A kind that a newer
// daemon knows and this one does not may not.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Route sends the requests for one host and path prefix to one or more services.
type Route struct {
	Name string
	// Host is the host name in lower case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// UnknownKind is the kind that the operator gave, if this version does not know it. Kind is
	// then NonIdempotent. Otherwise it is empty.
	UnknownKind string
	// Timeout bounds the time until a caller gets its response. 0 means the default.
	Timeout time.Duration
	// Goal is the response time up to which a response has its full value for the caller. 0 means
	// unknown.
	Goal time.Duration
	// Rank is the importance of the route. 0 is the most important.
	Rank int
	// Parts are the destination services with their weights. There is at least one.
	Parts []catalog.WeightedService
	// MaxBackends bounds the number of backend servers that one request is sent to. 0 leaves it to
	// the retry rules.
	MaxBackends int
	// Anonymous means that requests belong to no organisation, whatever key they carry.
	Anonymous bool `json:",omitempty"`
}

// Service holds the operator's settings of one service.
type Service struct {
	Name       string
	HealthPath string
}

// Organisation is one organisation of callers.
type Organisation struct {
	Name string
	// Keys are the digests of the keys that identify the organisation.
	Keys []catalog.KeyDigest `json:",omitempty"`
	// Rank is the urgency of the organisation. 0 is the most urgent.
	Rank int `json:",omitempty"`
	// RatePerSecond is the allowed number of requests per second. 0 means that there is no limit. Burst
	// is the number of requests that may arrive at once.
	RatePerSecond float64 `json:",omitempty"`
	Burst         float64 `json:",omitempty"`
	// LimitsUnknown means that the operator's limits cannot be read. The requests are refused.
	LimitsUnknown bool `json:",omitempty"`
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// MaxBodyBytes bounds a request body. 0 means the default.
	MaxBodyBytes int64
	// Organisations is ordered by name, so that a delta between two configurations is small.
	Organisations []Organisation `json:",omitempty"`
	// KeysRequired means that the operator's configuration has organisations, also if none of them can
	// be used.
	KeysRequired bool `json:",omitempty"`
	// Faults say what of the organisations cannot be used, at most MaxFaults of them. They hold no key.
	// FaultCount counts all.
	Faults     []string `json:",omitempty"`
	FaultCount int      `json:",omitempty"`
}

// MaxFaults bounds Configuration.Faults, which each daemon logs.
const MaxFaults = 16

// HasOrganisations reports whether callers are identified by the keys of organisations.
func (c *Configuration) HasOrganisations() bool { return c.KeysRequired || len(c.Organisations) > 0 }

// Registration is what a backend server publishes about itself.
type Registration struct {
	ID      string
	Service string
	// Address is the host:port at which the backend server accepts requests. The host is the IP
	// address of its VM.
	Address    string
	DataCentre string
	Slots      int
	// Draining means that the backend server is stopping and takes no new requests.
	Draining bool
	// Started is the start time of the process in Unix milliseconds, which identifies the
	// incarnation. 0 means unknown.
	Started int64
}

// Change is the value of one key at a revision, or its removal.
type Change struct {
	Key      string
	Revision uint64
	Removed  bool
	// Configuration or Registration is set if the value holds one.
	Configuration *Configuration
	Registration  *Registration
	// Fault says why a value cannot be decoded; it is empty otherwise. An unreadable registration
	// ends the previous one under its key, an unreadable configuration leaves the previous one in
	// force.
	Fault string
}
