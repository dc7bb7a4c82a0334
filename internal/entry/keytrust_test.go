package entry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/retry"
)

// Guards against requests with a key that run although the key may have been revoked, against a
// refusal of a new key for good by a daemon that has yet to hear of it, and against a refusal without
// the promise that the request has not run.
func TestKeysAreRefusedWhileUnconfirmed(t *testing.T) {
	for _, c := range []struct {
		name, authorization string
		trusted             bool
		status, runs        int
		retryAfter          string
	}{
		{"valid key, confirmed", "Bearer " + apiKey, true, http.StatusOK, 1, ""},
		{"valid key, unconfirmed", "Bearer " + apiKey, false, http.StatusServiceUnavailable, 0, "0.6"},
		{"unknown key, confirmed", "Bearer other", true, http.StatusUnauthorized, 0, ""},
		{"unknown key, unconfirmed", "Bearer other", false, http.StatusServiceUnavailable, 0, "0.6"},
		{"no key, unconfirmed", "", false, http.StatusUnauthorized, 0, ""},
	} {
		runs := 0
		e := entry.New(entry.Options{
			VM: "vm0", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, Seed: 1, KeysTrusted: func() bool { return c.trusted },
			Snapshot: func() *catalog.Snapshot { return snapshotWith(organisation("acme", 0)) },
			Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
				runs++
				return homeResponse(r, "done"), nil
			}),
		})
		w := sendRequest(e, "POST", "/orders", "order", "Authorization", c.authorization)
		if w.Code != c.status || runs != c.runs || w.Header().Get("Retry-After") != c.retryAfter {
			t.Errorf("%s: status %d, %d runs, Retry-After %q, want %d, %d, %q", c.name, w.Code, runs, w.Header().Get("Retry-After"), c.status, c.runs, c.retryAfter)
		}
		if c.runs == 0 && w.Header().Get(forward.HeaderOutcome) != errkind.NotRun.String() {
			t.Errorf("%s: headers %v, want the promise that it has not run", c.name, w.Header())
		}
	}
}

// Guards against requests without a key that are refused while the keys are not confirmed.
func TestRequestsWithoutKeyNeedNoConfirmation(t *testing.T) {
	snapshot := snapshotWith(organisation("acme", 0))
	e := entry.New(entry.Options{
		VM: "10.0.0.2", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, KeysTrusted: func() bool { return false },
		Snapshot:  func() *catalog.Snapshot { return snapshot },
		Transport: homeFunc(func(r *http.Request) (*http.Response, error) { return homeResponse(r, "done"), nil }),
	})
	if w := sendRequest(e, "GET", "http://example.com/open/1", ""); w.Code != http.StatusOK {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}

// Guards against a request that waits for capacity and is handed over after its key was revoked, or
// after the keys are no longer confirmed. Uses virtual time.
func TestWaitingRequestIsHandedOverOnlyWithItsKey(t *testing.T) {
	const revokedAfter, freeAfter = 500 * time.Millisecond, 800 * time.Millisecond
	for _, c := range []struct {
		name            string
		revoked, lapsed bool
		status, runs    int
	}{
		{"key stays", false, false, http.StatusOK, 1},
		{"key is revoked", true, false, http.StatusUnauthorized, 0},
		{"keys are no longer confirmed", false, true, http.StatusServiceUnavailable, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			begin, runs := time.Now(), 0
			late := func() bool { return time.Since(begin) >= revokedAfter }
			with, without := snapshotWith(organisation("acme", 0)), snapshotWith(organisation("other", 0, "another key"))
			e := entry.New(entry.Options{
				VM: "vm0", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, Seed: 1, MaxWait: 2 * time.Second, Retry: retry.Options{Burst: 10, FreeRefusals: true},
				Snapshot: func() *catalog.Snapshot {
					if c.revoked && late() {
						return without
					}
					return with
				},
				KeysTrusted: func() bool { return !c.lapsed || !late() },
				Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
					reportConnected(r)
					if time.Since(begin) < freeAfter {
						resp := homeResponse(r, "")
						resp.StatusCode = http.StatusServiceUnavailable
						resp.Header.Set(forward.HeaderOutcome, errkind.NotRun.String())
						resp.Header.Set(forward.HeaderErrorKind, errkind.SlotsFull.Answer().Name)
						return resp, nil
					}
					runs++
					return homeResponse(r, "done"), nil
				}),
			})
			w := sendRequest(e, "POST", "/orders", "order")
			if w.Code != c.status || runs != c.runs {
				t.Errorf("%s: status %d after %v, %d runs, want %d and %d", c.name, w.Code, time.Since(begin), runs, c.status, c.runs)
			}
			if c.runs == 0 && w.Header().Get(forward.HeaderOutcome) != errkind.NotRun.String() {
				t.Errorf("%s: headers %v, want the promise that it has not run", c.name, w.Header())
			}
		})
	}
}
