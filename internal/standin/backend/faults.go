package backend

import (
	"encoding/json"
	"fmt"
	"time"
)

// Faults says how the server misbehaves. The zero value is a healthy server.
type Faults struct {
	// LatencyMs is added to each answer, in milliseconds.
	LatencyMs float64 `json:"latencyMs"`
	// ErrorShare is the share of requests answered with status 500, from 0 to 1.
	ErrorShare float64 `json:"errorShare"`
	// CutShare is the share of answers whose connection ends in the middle of the body, from 0 to 1.
	CutShare float64 `json:"cutShare"`
	// WrongShare is the share of answers whose body does not match their Content-Digest, from 0 to 1.
	WrongShare float64 `json:"wrongShare"`
	// ShedShare is the share of requests answered with status 503 and Retry-After, from 0 to 1.
	ShedShare float64 `json:"shedShare"`
	// HangShare is the share of requests that get no answer until the client gives up, from 0 to 1.
	HangShare float64 `json:"hangShare"`
	// FlapMs makes the faults alternate: this many milliseconds on, as many off. 0 keeps them on.
	FlapMs float64 `json:"flapMs"`
	// HealthFails makes the health endpoint answer 503. It is independent of all other faults.
	HealthFails bool `json:"healthFails"`
}

// ParseFaults reads faults from JSON and checks them.
func ParseFaults(data []byte) (Faults, error) {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return f, fmt.Errorf("faults are not valid JSON: %w", err)
	}
	for name, share := range map[string]float64{
		"errorShare": f.ErrorShare, "cutShare": f.CutShare, "wrongShare": f.WrongShare, "shedShare": f.ShedShare, "hangShare": f.HangShare,
	} {
		if share < 0 || share > 1 {
			return f, fmt.Errorf("%s is %v, want 0 to 1", name, share)
		}
	}
	if f.LatencyMs < 0 || f.FlapMs < 0 {
		return f, fmt.Errorf("latencyMs and flapMs must not be negative")
	}
	return f, nil
}

// active reports whether the faults apply at now, for a server whose faults were set at since.
func (f Faults) active(since, now time.Time) bool {
	if f.FlapMs == 0 {
		return true
	}
	period := time.Duration(f.FlapMs * float64(time.Millisecond))
	return (now.Sub(since)/period)%2 == 0
}
