package contract

import "time"

// APIVersion is the only document format that this version reads.
const APIVersion = "cowsliprun/v1"

// The kinds of document.
const (
	KindContract   = "Contract"
	KindService    = "Service"
	KindVM         = "VM"
	KindDataCentre = "DataCentre"
)

// Duration is a time span written with a unit in documents, such as "250ms" or "2s".
type Duration time.Duration

// Contract is what a customer may do. Generation must grow with every change of the document.
type Contract struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	// Customer is the name of the customer, unique in the fleet.
	Customer string `yaml:"customer" json:"customer"`
	// Generation orders the versions of this contract.
	Generation uint64 `yaml:"generation" json:"generation"`
	// APIKeySHA256 lists the SHA-256 digests, in hex, of the API keys that identify the customer.
	APIKeySHA256 []string `yaml:"apiKeySHA256" json:"apiKeySHA256"`
	// Routes map path prefixes to services. The longest matching prefix wins.
	Routes []Route `yaml:"routes" json:"routes"`
	// Limits bound the customer's traffic across the fleet.
	Limits Limits `yaml:"limits" json:"limits"`
	// Deadline bounds each request from its arrival. Default: 10s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitzero"`
	// RetryBudgetPercent bounds retries as a share of requests. Default: 10. Range: 0 to 100.
	RetryBudgetPercent *int `yaml:"retryBudgetPercent,omitempty" json:"retryBudgetPercent,omitzero"`
	// Priority decides who is refused first when a backend server is full: lower priorities go first. Default: 5. Range: 0 to 9.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitzero"`
	// OtherRegion is "never" or "spill": whether requests may cross to the other region when their own has no capacity. Default: never.
	OtherRegion string `yaml:"otherRegion,omitempty" json:"otherRegion,omitempty"`
}

// Route maps requests to a service.
type Route struct {
	// PathPrefix matches whole path segments: "/orders" matches "/orders" and "/orders/7" but not "/orders2".
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	// Methods lists the allowed HTTP methods. Default: all.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// Service is the name of the service.
	Service string `yaml:"service" json:"service"`
	// AtMostOnce requires an operation key; the operation runs at most once. Default: false.
	AtMostOnce bool `yaml:"atMostOnce,omitempty" json:"atMostOnce,omitzero"`
	// SafeToRepeat allows a retry although the first try may have run. Default: true for GET, HEAD and OPTIONS, else false.
	SafeToRepeat *bool `yaml:"safeToRepeat,omitempty" json:"safeToRepeat,omitzero"`
	// Deadline replaces the deadline of the contract on this route.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitzero"`
}

// Limits bound a customer's traffic.
type Limits struct {
	// RatePerSecond is the number of requests a second for the whole fleet. It must be positive.
	RatePerSecond float64 `yaml:"ratePerSecond" json:"ratePerSecond"`
	// Burst is the number of requests that may arrive at once. Default: one second of RatePerSecond.
	Burst int `yaml:"burst,omitempty" json:"burst,omitzero"`
	// Concurrency is the number of requests in flight for the whole fleet. It must be positive.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// MaxRequestBytes bounds the body of one request. Default: 1048576 (1 MiB).
	MaxRequestBytes int64 `yaml:"maxRequestBytes,omitempty" json:"maxRequestBytes,omitzero"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	Service    string `yaml:"service" json:"service"`
	Generation uint64 `yaml:"generation" json:"generation"`
	// FloorPercent is the share of the backend servers that ejection must leave in service, rounded up to whole backend
	// servers. Default: 70. Range: 1 to 100; 100 switches ejection off.
	FloorPercent int `yaml:"floorPercent,omitempty" json:"floorPercent,omitzero"`
	// Preset names the settings of the detector: "fast-detection" or "few-false-ejections". Default: few-false-ejections.
	Preset string `yaml:"preset,omitempty" json:"preset,omitempty"`
	// Detector overrides single numbers of the preset, by name. docs/ejection.md lists the names, units and ranges.
	Detector map[string]float64 `yaml:"detector,omitempty" json:"detector,omitempty"`
	// HealthPath is requested on a backend server by probes. Default: /healthz.
	HealthPath string `yaml:"healthPath,omitempty" json:"healthPath,omitempty"`
	// BackendServers lists the members.
	BackendServers []BackendServer `yaml:"backendServers" json:"backendServers"`
}

// BackendServer is one member of a service.
type BackendServer struct {
	// ID is unique in the fleet.
	ID string `yaml:"id" json:"id"`
	// VM is the VM that runs it.
	VM string `yaml:"vm" json:"vm"`
	// Address is the host:port that the daemon on the same VM connects to.
	Address string `yaml:"address" json:"address"`
	// Slots is the number of requests that it serves at the same time. Default: 5.
	Slots int `yaml:"slots,omitempty" json:"slots,omitzero"`
}

// VM is a virtual machine that runs a daemon.
type VM struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	VM         string `yaml:"vm" json:"vm"`
	Generation uint64 `yaml:"generation" json:"generation"`
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	// PeerAddress is the host:port of the daemon's listener for other daemons.
	PeerAddress string `yaml:"peerAddress" json:"peerAddress"`
	// AdminAddress is the host:port of the daemon's listener for operators. It may be empty.
	AdminAddress string `yaml:"adminAddress,omitempty" json:"adminAddress,omitempty"`
}

// DataCentre names the region of a data centre.
type DataCentre struct {
	APIVersion string `yaml:"apiVersion" json:"apiVersion"`
	Kind       string `yaml:"kind" json:"kind"`
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	Generation uint64 `yaml:"generation" json:"generation"`
	Region     string `yaml:"region" json:"region"`
}

// Documents is the content of one value of the platform's configuration service, and of one YAML file of an operator.
type Documents struct {
	Contracts   []Contract
	Services    []Service
	VMs         []VM
	DataCentres []DataCentre
}
