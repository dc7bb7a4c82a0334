package settings

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Settings is the content of the settings file of a daemon.
type Settings struct {
	// VM is the id of the VM that the daemon runs on, as in the VM document.
	VM string `yaml:"vm"`
	// DataCentre is the data centre of the VM.
	DataCentre string `yaml:"dataCentre"`
	// Region is the region of the data centre.
	Region   string   `yaml:"region"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Registry replaces Platform in deployments where backend servers register themselves and the
	// operator publishes routes.
	Registry Registry `yaml:"registry"`
	// Application is the backend server of this VM. Used with Registry only.
	Application Application `yaml:"application"`
	// DataCentres are all data centres with their regions. Used with Registry only.
	DataCentres []DataCentre `yaml:"dataCentres"`
	// SeedPeers are the daemons that a starting daemon knows. Default: none.
	SeedPeers []SeedPeer `yaml:"seedPeers"`
	// PeerNetworks are networks in CIDR notation whose addresses may use the peer listener, in
	// addition to VMs of the configuration and seed peers. Default: none.
	PeerNetworks []string `yaml:"peerNetworks"`
	// TrustedProxies are the networks, in CIDR notation, of proxies in front of the callers'
	// listener. Their X-Forwarded-For and X-Forwarded-Proto headers are passed on to the backend
	// servers. Default: none.
	TrustedProxies []string `yaml:"trustedProxies"`
	Limits         Limits   `yaml:"limits"`
	Log            Log      `yaml:"log"`
}

// Listen holds the addresses of the daemon's listeners, as host:port.
type Listen struct {
	// Callers is the listener for callers, which send the requests of customers.
	Callers string `yaml:"callers"`
	// Peer is the listener for other daemons.
	Peer string `yaml:"peer"`
	// Admin is the listener for operators. Default: 127.0.0.1:7002, because it has no
	// authentication.
	Admin string `yaml:"admin"`
	// Ready is the listener for health checks, with Registry only. It responds to GET /ready with
	// status 200 while the daemon accepts requests, and with 503 otherwise. Default: none.
	Ready string `yaml:"ready"`
}

// Registry configures the registry of backend servers and the limits of a fleet that uses one.
type Registry struct {
	// URL is the address of the registry. Default: none, and Platform is used instead.
	URL string `yaml:"url"`
	// FloorShare is the minimum share of a service's backend servers that must stay in service.
	// Default: 0.7. Range: 0 to 1.
	FloorShare float64 `yaml:"floorShare"`
	// RetryRatio is the highest ratio of retries to requests of a service, over all daemons.
	// Default: 0.2. Range: 0 to 1.
	RetryRatio float64 `yaml:"retryRatio"`
	// RetryWindow is the time over which RetryRatio is counted. Default: 10s. Range: 1s to 10m.
	RetryWindow contract.Duration `yaml:"retryWindow"`
	// RetrySlack is the number of retries that each window allows in addition, over all daemons. It
	// may have a fraction. Default: 0. Range: 0 to 1000000.
	RetrySlack float64 `yaml:"retrySlack"`
	// StrictRevocation refuses requests with an API key while the configuration has not been confirmed
	// within RevocationLimit, because the key may have been revoked. Default: false.
	StrictRevocation bool `yaml:"strictRevocation"`
	// RevocationLimit is the time from the acknowledgement of a configuration without an API key until
	// requests with the key must be refused. Default: 5s. Range: 1s to 10m.
	RevocationLimit contract.Duration `yaml:"revocationLimit"`
	// QuotaWindow is the time over which the quota of an organisation is counted. Default: 5s. Range: 1s
	// to 10m.
	QuotaWindow contract.Duration `yaml:"quotaWindow"`
	// QuotaExcess is the share by which the requests of a window may exceed the quota, over all
	// daemons, and QuotaSlack the number of requests that they may exceed it by in addition. Default: 0.
	// Range: 0 to 10 and 0 to 1000000.
	QuotaExcess float64 `yaml:"quotaExcess"`
	QuotaSlack  float64 `yaml:"quotaSlack"`
	// Admission selects how requests wait for a busy service: AdmissionQueue, or empty for asking
	// again, each by itself. Default: empty.
	Admission string `yaml:"admission"`
}

// AdmissionQueue is the value of Registry.Admission with which requests wait in the queues of homes.
const AdmissionQueue = "queue"

// Application is the backend server of the VM.
type Application struct {
	// Service is the service that it belongs to. It is stated as the origin of requests that enter
	// the fleet on this VM.
	Service string `yaml:"service"`
	// Address is the backend server's host:port.
	Address string `yaml:"address"`
}

// DataCentre is a data centre with its region.
type DataCentre struct {
	DataCentre string `yaml:"dataCentre"`
	Region     string `yaml:"region"`
}

// Platform configures the client of the platform's configuration service.
type Platform struct {
	// URLs are the addresses of the service, all of which serve the same values. The daemon uses
	// one until it fails, then the next. Required unless Registry is used.
	URLs []string `yaml:"urls"`
	// RequestTimeout bounds one call, not counting the time that a watch waits for changes.
	// Default: 5s. Range: 100ms to 1m.
	RequestTimeout contract.Duration `yaml:"requestTimeout"`
}

// SeedPeer is a daemon that a starting daemon asks for the configuration.
type SeedPeer struct {
	// Address is the host:port of the peer listener.
	Address string `yaml:"address"`
	// DataCentre is the data centre that it runs in. A starting daemon asks peers in at least two
	// data centres.
	DataCentre string `yaml:"dataCentre"`
}

// Limits bound the resources that the daemon uses.
type Limits struct {
	// MaxHeaderBytes bounds the header of one request, in bytes. Default: 32768. Range: 4096 to
	// 1048576.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// MaxConnections bounds the open connections of callers. Default: 4096, or what Descriptors
	// leaves room for. Range: 1 to 1000000.
	MaxConnections int `yaml:"maxConnections"`
	// Descriptors is the number of files and sockets that the process may have open. Default: 0,
	// which means unknown. Range: 0 to 10000000.
	Descriptors int `yaml:"descriptors"`
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s. Default: 0, which means unknown. Range: 0
	// to 1000000.
	LinkMbps float64 `yaml:"linkMbps"`
	// HeaderTimeout bounds the time to read a request's header. Default: 5s. Range: 100ms to 5m.
	HeaderTimeout contract.Duration `yaml:"headerTimeout"`
	// BodyStallTimeout bounds the wait for the next bytes of a request's body.
	// Default: 15s. Range: 100ms to 5m.
	BodyStallTimeout contract.Duration `yaml:"bodyStallTimeout"`
	// WriteStallTimeout bounds the wait until a caller accepts the next bytes of a response.
	// Default: 15s. Range: 100ms to 5m.
	WriteStallTimeout contract.Duration `yaml:"writeStallTimeout"`
	// IdleTimeout is the time without a request after which a caller's connection is closed.
	// Default: 2m. Range: 1s to 1h.
	IdleTimeout contract.Duration `yaml:"idleTimeout"`
	// DrainStopLimit bounds the wait for requests in flight during a graceful stop.
	// Default: 60s. Range: 1s to 1h.
	DrainStopLimit contract.Duration `yaml:"drainStopLimit"`
	// ControlMemoryBytes bounds the heap of control state: catalog, values kept for peers, limits.
	// Default: 67108864 (64 MiB). Range: 16777216 to 1073741824.
	ControlMemoryBytes int64 `yaml:"controlMemoryBytes"`
}

// Log configures the log on standard error.
type Log struct {
	// Level is the lowest level that is written: debug, info, warn or error. Default: info.
	Level string `yaml:"level"`
	// Format is logfmt or json. Default: logfmt.
	Format string `yaml:"format"`
}

// Default returns the default values of all optional fields. Required fields are empty.
func Default() Settings {
	return Settings{
		Listen:   Listen{Admin: "127.0.0.1:7002"},
		Platform: Platform{RequestTimeout: contract.Duration(5 * time.Second)},
		Registry: Registry{
			FloorShare: 0.7, RetryRatio: 0.2, RetryWindow: contract.Duration(10 * time.Second),
			RevocationLimit: contract.Duration(5 * time.Second), QuotaWindow: contract.Duration(5 * time.Second),
		},
		Limits: Limits{
			MaxHeaderBytes:     32 << 10,
			MaxConnections:     4096,
			HeaderTimeout:      contract.Duration(5 * time.Second),
			BodyStallTimeout:   contract.Duration(15 * time.Second),
			WriteStallTimeout:  contract.Duration(15 * time.Second),
			IdleTimeout:        contract.Duration(2 * time.Minute),
			DrainStopLimit:     contract.Duration(time.Minute),
			ControlMemoryBytes: 64 << 20,
		},
		Log: Log{Level: "info", Format: "logfmt"},
	}
}
