package catalog

import (
	"math"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Locality says where a VM is.
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
	Slots   int
	VM      *VM
}

// Service is a service with defaults filled in.
type Service struct {
	Name string
	// Revision is the platform's revision of the value that holds the service. Reservations compare it.
	Revision uint64
	// Floor is the number of backend servers that ejection must leave in service.
	Floor          int
	Preset         string
	Detector       map[string]float64
	HealthPath     string
	BackendServers []*BackendServer
}

// Customer is a contract with defaults filled in.
type Customer struct {
	Name               string
	Generation         uint64
	Routes             []Route
	Limits             contract.Limits
	Deadline           time.Duration
	RetryBudgetPercent int
	Priority           int
	SpillToOtherRegion bool
}

// Route is a route of a customer with defaults filled in.
type Route struct {
	PathPrefix   string
	Methods      []string
	Service      string
	AtMostOnce   bool
	SafeToRepeat *bool
	Deadline     time.Duration
}

// FloorCount returns the number of backend servers, of total, that percent requires, rounded up.
func FloorCount(total, percent int) int {
	return int(math.Ceil(float64(total) * float64(percent) / 100))
}
