package catalog

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Defaults for settings that a document leaves out.
const (
	DefaultDeadline           = 10 * time.Second
	DefaultRetryBudgetPercent = 10
	DefaultPriority           = 5
	DefaultMaxRequestBytes    = 1 << 20
	DefaultSlots              = 5
	DefaultFloorPercent       = 70
	DefaultPreset             = "few-false-ejections"
	DefaultHealthPath         = "/healthz"
)

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(apiKey string) KeyDigest { return sha256.Sum256([]byte(apiKey)) }

// Hex returns the digest in lower-case hex, as contracts list it.
func (d KeyDigest) Hex() string { return hex.EncodeToString(d[:]) }

// errDigestText is returned for a text that is not the digest of a key.
var errDigestText = errors.New("not the base64 text of a SHA-256 digest")

// MarshalText implements encoding.TextMarshaler. Daemons send each other many digests, and base64 is
// shorter than hex.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	// Decode writes up to 2 bytes more than a digest has for a text of the right length.
	var decoded [sha256.Size + 2]byte
	if len(text) != base64.RawStdEncoding.EncodedLen(len(d)) {
		return errDigestText
	}
	n, err := base64.RawStdEncoding.Decode(decoded[:], text)
	if err != nil || n != len(d) {
		return errDigestText
	}
	copy(d[:], decoded[:])
	return nil
}

// Locality is where a VM is. Both fields are empty for an unknown VM. Region is empty if the data
// centre is unknown.
type Locality struct {
	DataCentre string
	Region     string
}

// VM is a VM with its locality resolved.
type VM struct {
	ID           string
	Locality     Locality
	PeerAddress  string
	AdminAddress string
}

// BackendServer is a backend server with its VM resolved.
type BackendServer struct {
	ID      string
	Service string
	Address string
	// Slots is the number of requests that it serves at the same time.
	Slots int
	VM    *VM
	// Started is the start time of the backend server in Unix milliseconds, or 0 if unknown. It
	// tells incarnations apart.
	Started int64
}

// Service is a service with its defaults filled in.
type Service struct {
	Name string
	// Revision is the platform's revision of the value that contains the service. Reservations
	// compare it.
	Revision uint64
	// Floor is the number of backend servers that ejection must leave in service.
	Floor int
	// Preset names the settings of the ejection detector, and Detector overrides some of them.
	Preset         string
	Detector       map[string]float64
	HealthPath     string
	BackendServers []*BackendServer
}

// Customer is a customer's contract with its defaults filled in. Routes are sorted by descending
// length of their prefix.
type Customer struct {
	Name               string
	Generation         uint64
	Routes             []Route
	Limits             contract.Limits
	Deadline           time.Duration
	RetryBudgetPercent int
	// Priority decides which requests are refused first when a backend server is full: those with
	// the lowest priority.
	Priority int
	// SpillToOtherRegion allows requests to go to the other region when their own has no capacity.
	SpillToOtherRegion bool
	// Organisation is true for an organisation of a resolved configuration. Its limits are those of the
	// organisation, and all organisations share Routes.
	Organisation bool
	// Rank is the urgency of an organisation, which takes precedence over the priority of the route. 0
	// is the most urgent.
	Rank int
	// LimitsUnknown means that the limits of the organisation cannot be read. Its requests are refused.
	LimitsUnknown bool

	keys []KeyDigest
}

func (c *Customer) hasKey(digest *KeyDigest) bool {
	for i := range c.keys {
		if c.keys[i] == *digest {
			return true
		}
	}
	return false
}

// Route is a route of a customer with its defaults filled in.
type Route struct {
	PathPrefix   string
	Methods      []string
	Service      string
	AtMostOnce   bool
	SafeToRepeat *bool
	Deadline     time.Duration
	// Host is the host name that the route applies to. It is empty for a route of all hosts.
	Host string
	// Split are the destinations of a route with several services. Service is empty then.
	Split []WeightedService
	// MaxBackends limits the number of backend servers that one request may reach. 0 leaves it to
	// the retry rules.
	MaxBackends int
	// Priority replaces that of the customer unless it is nil. A higher priority is more urgent.
	Priority *int
	// LargeResponses means that responses are large, such as downloads.
	LargeResponses bool
	// Goal is the time within which a response has its full value for the caller. 0 means unknown.
	Goal time.Duration
	// Anonymous means that a request belongs to no organisation, whatever key it carries.
	Anonymous bool
}

// FloorCount returns percent of total, rounded up to whole backend servers.
func FloorCount(total, percent int) int {
	return int(math.Ceil(float64(total) * float64(percent) / 100))
}

// Route returns the customer's route with the longest prefix that matches path, or nil. Routes of a
// host do not match.
func (c *Customer) Route(path string) *Route { return c.RouteOf("", path) }

// matches reports whether path begins with the route's prefix. Only whole path segments match.
func (r *Route) matches(path string) bool {
	if r.Host != "" {
		// Prefixes of a host's routes end with a slash, so only whole segments match.
		return strings.HasPrefix(path, r.PathPrefix)
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// Allows reports whether the route accepts the HTTP method. A route without methods accepts all.
func (r *Route) Allows(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// Repeatable reports whether a request may be retried although the first try may have run. Unless
// the route says otherwise, GET, HEAD and OPTIONS are repeatable.
func (r *Route) Repeatable(method string) bool {
	if r.AtMostOnce {
		return false
	}
	if r.SafeToRepeat != nil {
		return *r.SafeToRepeat
	}
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
