package contract

import "time"

// APIVersion is the only document format that this release reads.
const APIVersion = "cowsliprun/v1"

// The kinds of document.
const (
	KindContract   = "Contract"
	KindService    = "Service"
	KindVM         = "VM"
	KindDataCentre = "DataCentre"
)

// Duration is a time span that documents write with a unit, such as "250ms" or "2s".
type Duration time.Duration

// Contract defines the routes, limits and API keys of one customer. The operator must raise
// Generation with each change of the document.
type Contract struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	// Customer is the name of the customer, unique in the fleet.
	Customer string `yaml:"customer" json:"customer"`
	// Generation orders the versions of this contract. It must be at least 1.
	Generation uint64 `yaml:"generation" json:"generation"`
	// APIKeySHA256 lists the SHA-256 digests, in hex, of the API keys that identify the customer.
	APIKeySHA256 []string `yaml:"apiKeySHA256" json:"apiKeySHA256"`
	// Routes map path prefixes to services. The longest matching prefix wins.
	Routes []Route `yaml:"routes" json:"routes"`
	// Limits apply to the customer's traffic across the whole fleet.
	Limits Limits `yaml:"limits" json:"limits"`
	// Deadline is the time that each request may take, counted from its arrival. Default: 10s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitzero"`
	// RetryBudgetPercent limits retries to this percentage of the requests. Default: 10. Range: 0
	// to 100.
	RetryBudgetPercent *int `yaml:"retryBudgetPercent,omitempty" json:"retryBudgetPercent,omitzero"`
	// Priority decides whose requests are refused first when a backend server is full: those with
	// the lowest priority. Default: 5. Range: 0 to 9.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitzero"`
	// OtherRegion decides about requests whose own region has no capacity: "spill" sends them to
	// the other region, "never" does not. Default: never.
	OtherRegion string `yaml:"otherRegion,omitempty" json:"otherRegion,omitempty"`
}

// Route maps requests to a service.
type Route struct {
	// PathPrefix matches whole path segments: "/orders" matches "/orders" and "/orders/7" but not
	// "/orders2".
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	// Methods lists the allowed HTTP methods. Default: all.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// Service is the name of the service.
	Service string `yaml:"service" json:"service"`
	// AtMostOnce makes an operation key mandatory. Requests with the same key run at most once.
	// Default: false.
	AtMostOnce bool `yaml:"atMostOnce,omitempty" json:"atMostOnce,omitzero"`
	// SafeToRepeat allows a retry even if an earlier try may have run. It cannot be combined with
	// AtMostOnce. Default: true for GET, HEAD and OPTIONS, false otherwise.
	SafeToRepeat *bool `yaml:"safeToRepeat,omitempty" json:"safeToRepeat,omitzero"`
	// LargeResponses says that responses are large, such as downloads. They are kept near the caller
	// and, on a repeatable route, held back until they have arrived. Default: false.
	LargeResponses bool `yaml:"largeResponses,omitempty" json:"largeResponses,omitzero"`
	// Deadline replaces the deadline of the contract for requests on this route.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitzero"`
}

// Limits are the limits on one customer's traffic.
type Limits struct {
	// RatePerSecond is the allowed number of requests per second across the whole fleet. It must be
	// at least 0.001.
	RatePerSecond float64 `yaml:"ratePerSecond" json:"ratePerSecond"`
	// Burst is the number of requests that may arrive at once. Default: the requests of one second
	// at RatePerSecond.
	Burst int `yaml:"burst,omitempty" json:"burst,omitzero"`
	// Concurrency is the allowed number of requests in flight across the whole fleet. It must be
	// positive.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// MaxRequestBytes is the size limit of one request body. Default: 1048576 (1 MiB).
	MaxRequestBytes int64 `yaml:"maxRequestBytes,omitempty" json:"maxRequestBytes,omitzero"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	Service    string `yaml:"service" json:"service"`
	Generation uint64 `yaml:"generation" json:"generation"`
	// FloorPercent is the percentage of the backend servers that ejection must leave in service,
	// rounded up to whole backend servers. Default: 70. Range: 1 to 100; 100 switches ejection off.
	FloorPercent int `yaml:"floorPercent,omitempty" json:"floorPercent,omitzero"`
	// Preset selects the settings of the outlier detector: "fast-detection" or
	// "few-false-ejections". Default: few-false-ejections.
	Preset string `yaml:"preset,omitempty" json:"preset,omitempty"`
	// Detector overrides single detector parameters of the preset, by name. The DetectorCheck
	// function knows their names, units and ranges.
	Detector map[string]float64 `yaml:"detector,omitempty" json:"detector,omitempty"`
	// HealthPath is the path that health probes request on a backend server. Default: /healthz.
	HealthPath string `yaml:"healthPath,omitempty" json:"healthPath,omitempty"`
	// BackendServers lists the members of the service.
	BackendServers []BackendServer `yaml:"backendServers" json:"backendServers"`
}

// BackendServer is one member of a service.
type BackendServer struct {
	// ID is unique in the fleet.
	ID string `yaml:"id" json:"id"`
	// VM is the name of the VM that runs the backend server.
	VM string `yaml:"vm" json:"vm"`
	// Address is the host:port at which the daemon on the same VM connects to the backend server.
	Address string `yaml:"address" json:"address"`
	// Slots is the number of requests that the backend server handles at the same time. Default: 5.
	Slots int `yaml:"slots,omitempty" json:"slots,omitzero"`
}

// VM is a virtual machine that runs one daemon.
type VM struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	VM         string `yaml:"vm" json:"vm"`
	Generation uint64 `yaml:"generation" json:"generation"`
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	// PeerAddress is the host:port of the daemon's listener for other daemons.
	PeerAddress string `yaml:"peerAddress" json:"peerAddress"`
	// AdminAddress is the host:port of the daemon's listener for operators, or empty if it has
	// none.
	AdminAddress string `yaml:"adminAddress,omitempty" json:"adminAddress,omitempty"`
}

// DataCentre assigns a data centre to a region.
type DataCentre struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	Generation uint64 `yaml:"generation" json:"generation"`
	Region     string `yaml:"region" json:"region"`
}

// Documents is a list of documents by kind: the content of one value, of one YAML file, or of
// several of them.
type Documents struct {
	Contracts   []Contract
	Services    []Service
	VMs         []VM
	DataCentres []DataCentre
}
