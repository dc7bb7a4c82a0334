package admin

import "github.com/cowsliprun/cowsliprun/internal/contract"

// Decision is the response to GET /v1/explain: how the daemon would route a request now. The
// request is not sent and uses up none of the customer's limits.
type Decision struct {
	VM       string `json:"vm"`
	Customer string `json:"customer"`
	// Refusal is the error kind of the response that the caller would get, such as "no_route". It
	// is empty when the request would be served. Detail explains it.
	Refusal string `json:"refusal,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// Route is the path prefix of the matching route in the contract.
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// AtMostOnce is true when the contract demands that the request runs at most once.
	AtMostOnce bool `json:"atMostOnce"`
	// Repeatable is true when the request may be retried although the first try may have run.
	Repeatable bool              `json:"repeatable"`
	Deadline   contract.Duration `json:"deadline"`
	Limits     contract.Limits   `json:"limits"`
	// Floor is the number of backend servers of the service that ejection must leave in service.
	Floor int `json:"floor"`
	// Candidates are the backend servers of the service as this daemon sees them, nearest first. A
	// service without recent traffic through this daemon has none.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is one backend server in a Decision.
type Candidate struct {
	BackendServer string `json:"backendServer"`
	VM            string `json:"vm"`
	DataCentre    string `json:"dataCentre"`
	Region        string `json:"region"`
	// Tier is the distance from this daemon: own data centre, own region or other region.
	Tier string `json:"tier"`
	// Mode is the mode that its home, the daemon of its VM, reported last. It is empty when this
	// daemon has no report.
	Mode string `json:"mode,omitempty"`
	// Usable is false when this daemon would not choose the backend server now. Reason says why.
	Usable bool   `json:"usable"`
	Reason string `json:"reason,omitempty"`
	// InFlight is the last known number of requests in flight, and Allowed their limit.
	InFlight int `json:"inFlight"`
	Allowed  int `json:"allowed"`
	// Latency is the average that this daemon has measured, 0 when unknown.
	Latency contract.Duration `json:"latency"`
	// Score ranks the candidates. Of two randomly picked candidates, the one with the lower score
	// is chosen (power of two choices).
	Score float64 `json:"score"`
}
