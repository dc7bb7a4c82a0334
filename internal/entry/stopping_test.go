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
)

// Guards against a request that waits for a slot and is handed over late in the time that its daemon
// has to stop, only to be cut off with it: it may not be repeated, and its caller does not know whether
// it has run. Uses virtual time.
func TestStoppingEntryHandsNothingOver(t *testing.T) {
	for _, stops := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const stopAfter, freeAfter = time.Second, 1200 * time.Millisecond
			begin, handedOver := time.Now(), 0
			snapshot := snapshotOf("127.0.0.1:1", "127.0.0.1:2")
			e := entry.New(entry.Options{
				VM: "vm0", Locality: catalog.Locality{DataCentre: "dc0", Region: "r1"}, Seed: 1, MaxWait: 2 * time.Second,
				Snapshot: func() *catalog.Snapshot { return snapshot },
				Stopping: func() bool { return stops && time.Since(begin) >= stopAfter },
				Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
					reportConnected(r)
					if time.Since(begin) < freeAfter {
						resp := homeResponse(r, "")
						resp.StatusCode = http.StatusServiceUnavailable
						resp.Header.Set(forward.HeaderOutcome, errkind.NotRun.String())
						resp.Header.Set(forward.HeaderErrorKind, errkind.SlotsFull.Answer().Name)
						return resp, nil
					}
					handedOver++
					return homeResponse(r, "done"), nil
				}),
			})
			w := sendRequest(e, "POST", "/orders", "order")
			want, runs := http.StatusOK, 1
			if stops {
				want, runs = http.StatusServiceUnavailable, 0
			}
			if w.Code != want || handedOver != runs {
				t.Errorf("stops %v: status %d after %v, %d handed over, want %d and %d", stops, w.Code, time.Since(begin), handedOver, want, runs)
			}
			if stops && w.Header().Get(forward.HeaderOutcome) != errkind.NotRun.String() {
				t.Errorf("headers %v, want the promise that it has not run", w.Header())
			}
		})
	}
}
