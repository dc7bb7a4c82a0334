package backend

import (
	"encoding/json"
	"fmt"
	"time"
)

// Faults configures the faults that a server injects. The zero value injects none. Each share is a
// probability per request from 0 to 1; the shares are drawn independently of each other.
type Faults struct {
	// LatencyMs is the latency added to each response, in milliseconds.
	LatencyMs float64 `json:"latencyMs"`
	// ErrorShare is the share of requests answered with status 500.
	ErrorShare float64 `json:"errorShare"`
	// CutShare is the share of responses whose connection is closed half-way through the body.
	CutShare float64 `json:"cutShare"`
	// WrongShare is the share of responses whose body does not match their Content-Digest.
	WrongShare float64 `json:"wrongShare"`
	// ShedShare is the share of requests answered with status 503 and Retry-After, without running.
	ShedShare float64 `json:"shedShare"`
	// HangShare is the share of requests that get no response before the client gives up.
	HangShare float64 `json:"hangShare"`
	// FlapMs is half the period of flapping, in milliseconds: the faults are on for this long, then
	// off for this long. 0 keeps them on.
	FlapMs float64 `json:"flapMs"`
	// HealthFails makes the health endpoint answer 503. No other field affects that endpoint.
	HealthFails bool `json:"healthFails"`
}

// ParseFaults decodes faults from JSON. It returns an error for invalid JSON, for a share outside 0
// to 1 and for a negative duration. Unknown fields are ignored.
func ParseFaults(data []byte) (Faults, error) {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return f, fmt.Errorf("faults cannot be decoded from JSON: %w", err)
	}
	for name, share := range map[string]float64{
		"errorShare": f.ErrorShare, "cutShare": f.CutShare, "wrongShare": f.WrongShare, "shedShare": f.ShedShare, "hangShare": f.HangShare,
	} {
		if share < 0 || share > 1 {
			return f, fmt.Errorf("faults: %s is %v, want a share from 0 to 1", name, share)
		}
	}
	if f.LatencyMs < 0 || f.FlapMs < 0 {
		return f, fmt.Errorf("faults: latencyMs and flapMs must not be negative")
	}
	return f, nil
}

// activeAt reports whether the faults apply at now, given that they were set at setAt. Flapping
// faults are on in the first half-period.
func (f Faults) activeAt(setAt, now time.Time) bool {
	if f.FlapMs == 0 {
		return true
	}
	period := time.Duration(f.FlapMs * float64(time.Millisecond))
	return (now.Sub(setAt)/period)%2 == 0
}
