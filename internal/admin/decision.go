package admin

import "github.com/cowsliprun/cowsliprun/internal/contract"

// Decision is the answer of GET /v1/explain: what would happen to a request now.
type Decision struct {
	VM       string `json:"vm"`
	Customer string `json:"customer"`
	// Refusal is the error kind that the request would get, empty when it would be served.
	Refusal string `json:"refusal,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// Route is the path prefix of the contract that matches.
	Route      string            `json:"route,omitempty"`
	Service    string            `json:"service,omitempty"`
	AtMostOnce bool              `json:"atMostOnce"`
	Repeatable bool              `json:"repeatable"`
	Deadline   contract.Duration `json:"deadline"`
	Limits     contract.Limits   `json:"limits"`
	// Floor is the number of backend servers that ejection leaves in service.
	Floor int `json:"floor"`
	// Candidates are the backend servers of the service as this entry sees them, best locality first.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is one backend server in a Decision.
type Candidate struct {
	BackendServer string `json:"backendServer"`
	VM            string `json:"vm"`
	DataCentre    string `json:"dataCentre"`
	Region        string `json:"region"`
	// Tier is the distance from this entry: own data centre, own region or other region.
	Tier string `json:"tier"`
	// Mode is the last mode that its home reported, empty when this entry has not heard of it.
	Mode string `json:"mode,omitempty"`
	// Usable is false when the entry would not choose it now; Reason says why.
	Usable bool   `json:"usable"`
	Reason string `json:"reason,omitempty"`
	// InFlight and Allowed are the last known requests in flight and their limit.
	InFlight int `json:"inFlight"`
	Allowed  int `json:"allowed"`
	// Latency is the average that this entry has measured, 0 for unknown.
	Latency contract.Duration `json:"latency"`
	// Score orders the candidates: the lower one of two random candidates is chosen.
	Score float64 `json:"score"`
}
