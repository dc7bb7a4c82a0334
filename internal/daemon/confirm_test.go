package daemon

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against requests that hang with entry.Options.Confirm, because the home never asks for
// their end: without a body, with a small one and with a streamed one.
func TestConfirmedRequestsAreServed(t *testing.T) {
	fleet := newTestFleetWith(t, 2, fleetOptions{confirm: true})
	for name, body := range map[string]string{"empty": "", "small": "pallet", "streamed": strings.Repeat("photo", 40<<10)} {
		method := "POST"
		if body == "" {
			method = "GET"
		}
		resp, answer, err := fleet.do(t, method, "/stock/7", strings.NewReader(body))
		if err != nil || resp.StatusCode != 200 {
			t.Errorf("%s: %v, %v, %s", name, err, resp, bytes.TrimSpace(answer))
		}
	}
}
