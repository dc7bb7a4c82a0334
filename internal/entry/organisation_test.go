package entry_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/entry"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/retry"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// organisation returns an organisation with one key, which is apiKey unless it is given.
func organisation(name string, rank int, key ...string) registry.Organisation {
	return registry.Organisation{Name: name, Rank: rank, Keys: []catalog.KeyDigest{catalog.DigestOf(append(key, apiKey)[0])}}
}

// snapshotWith returns a configuration with an anonymous route and one that needs a key if there are
// organisations.
func snapshotWith(organisations ...registry.Organisation) *catalog.Snapshot {
	parts := []catalog.WeightedService{{Service: "stock", Weight: 1}}
	table := registry.NewTable()
	table.Apply(time.Now(), []registry.Change{
		{Key: "op/config", Revision: 1, Configuration: &registry.Configuration{Version: 1, Services: []registry.Service{{Name: "stock"}}, Organisations: organisations, Routes: []registry.Route{
			{Name: "closed", Host: "example.com", PathPrefix: "/", Kind: registry.Idempotent, Rank: 3, Parts: parts},
			{Name: "open", Host: "example.com", PathPrefix: "/open/", Kind: registry.Idempotent, Rank: 1, Parts: parts, Anonymous: true},
		}}},
		{Key: "servers/b0", Revision: 2, Registration: &registry.Registration{ID: "b0", Service: "stock", Address: "10.0.0.1:80", DataCentre: "dc0", Slots: 5}},
		{Key: "servers/b1", Revision: 3, Registration: &registry.Registration{ID: "b1", Service: "stock", Address: "10.0.0.2:80", DataCentre: "dc0", Slots: 5}},
	})
	return registry.Build(table, registry.BuildOptions{PeerPort: 7001})
}

// Guards against a request that is served without a key or for the wrong organisation, a key that
// reaches another daemon, and a refusal that sends callers away although their key is on its way.
func TestKeyDecidesTheOrganisation(t *testing.T) {
	broken := organisation("broken", 0, "broken key")
	broken.LimitsUnknown = true
	listed := []registry.Organisation{organisation("acme", 2), broken}
	for name, c := range map[string]struct {
		organisations []registry.Organisation
		path, key     string
		outdated      bool
		status        int
		kind          errkind.Kind
		// organisation and priority are what the home daemon is told.
		organisation, priority string
	}{
		"known key":                     {listed, "/a", apiKey, false, 200, 0, "acme", "-14"},
		"unknown key":                   {listed, "/a", "other", false, 401, errkind.Unauthenticated, "", ""},
		"unknown key, outdated":         {listed, "/a", "other", true, 503, errkind.NoConfiguration, "", ""},
		"no key":                        {listed, "/a", "", false, 401, errkind.Unauthenticated, "", ""},
		"no key, outdated":              {listed, "/a", "", true, 401, errkind.Unauthenticated, "", ""},
		"limits unknown":                {listed, "/a", "broken key", false, 429, errkind.RateLimited, "", ""},
		"anonymous route":               {listed, "/open/a", "", false, 200, 0, "", "8"},
		"anonymous route, known key":    {listed, "/open/a", apiKey, false, 200, 0, "", "8"},
		"anonymous route, unknown key":  {listed, "/open/a", "other", false, 200, 0, "", "8"},
		"no organisations, no key":      {nil, "/a", "", false, 200, 0, "", "6"},
		"no organisations, with a key":  {nil, "/a", apiKey, false, 200, 0, "", "6"},
		"doubled slash of an open path": {listed, "/open//../a", "", false, 400, errkind.BadRequest, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot, reached := snapshotWith(c.organisations...), false
			e := entry.New(entry.Options{
				VM: "vm0", Seed: 1, Snapshot: func() *catalog.Snapshot { return snapshot }, Outdated: func() bool { return c.outdated },
				Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
					reached = true
					h := r.Header
					if h.Get("Authorization") != "" || h.Get(forward.HeaderOrganisation) != c.organisation || h.Get(forward.HeaderPriority) != c.priority || h.Get(forward.HeaderCustomer) != registry.CustomerName {
						t.Errorf("the home daemon gets %v", h)
					}
					return homeResponse(r, "done"), nil
				}),
			})
			w := sendRequest(e, "GET", c.path, "", "Authorization", "Bearer "+c.key, forward.HeaderOrganisation, "forged", "Cowslip_Organisation", "forged")
			if w.Code != c.status || reached != (c.status == 200) {
				t.Fatalf("status %d, reached a home %v: %s", w.Code, reached, w.Body)
			}
			if c.status != 200 && (w.Header().Get(forward.HeaderErrorKind) != c.kind.String() || w.Header().Get(forward.HeaderOutcome) != "not-run") {
				t.Errorf("headers %v", w.Header())
			}
		})
	}
}

// Guards against a request that waits for a slot while its key is revoked, and is then handed over.
// Also guards against one that is refused because of a change that leaves its key as it was. Uses
// virtual time.
func TestKeyIsCheckedBeforeEachHandOver(t *testing.T) {
	for name, c := range map[string]struct {
		next     []registry.Organisation
		outdated bool
		status   int
		priority string
	}{
		"unchanged":             {[]registry.Organisation{organisation("acme", 0), organisation("new", 0, "another key")}, false, 200, "6"},
		"less urgent":           {[]registry.Organisation{organisation("acme", 1)}, false, 200, "-4"},
		"revoked":               {[]registry.Organisation{organisation("acme", 0, "another key")}, false, 401, ""},
		"revoked, outdated":     {[]registry.Organisation{organisation("acme", 0, "another key")}, true, 503, ""},
		"moved":                 {[]registry.Organisation{organisation("other", 0)}, false, 503, ""},
		"without organisations": {nil, false, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const changeAfter, freeAfter = time.Second, 1200 * time.Millisecond
				begin, handedOver := time.Now(), ""
				before, after := snapshotWith(organisation("acme", 0)), snapshotWith(c.next...)
				changed := func() bool { return time.Since(begin) >= changeAfter }
				e := entry.New(entry.Options{
					VM: "vm0", Seed: 1, MaxWait: 2 * time.Second, Retry: retry.Options{FreeRefusals: true}, Outdated: func() bool { return c.outdated },
					Snapshot: func() *catalog.Snapshot {
						if changed() {
							return after
						}
						return before
					},
					Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
						reportConnected(r)
						if changed() && time.Since(begin) >= freeAfter {
							handedOver = r.Header.Get(forward.HeaderPriority)
							return homeResponse(r, "done"), nil
						}
						resp := homeResponse(r, "")
						resp.StatusCode = http.StatusServiceUnavailable
						resp.Header.Set(forward.HeaderOutcome, errkind.NotRun.String())
						resp.Header.Set(forward.HeaderErrorKind, errkind.SlotsFull.String())
						return resp, nil
					}),
				})
				w := sendRequest(e, "POST", "/orders", "order")
				if w.Code != c.status || handedOver != c.priority {
					t.Errorf("status %d, handed over with priority %q: %s", w.Code, handedOver, w.Body)
				}
				if took := time.Since(begin); c.status != 200 && (took >= freeAfter || w.Header().Get(forward.HeaderOutcome) != errkind.NotRun.String()) {
					t.Errorf("refused after %v with headers %v", took, w.Header())
				}
			})
		})
	}
}

// Guards against a request that is handed over with a revoked key because it waited at its home and
// not at its entry, and against a path that counts as broken because of that.
func TestKeyIsCheckedWhenTheHomeAsksForTheRequest(t *testing.T) {
	before, after := snapshotWith(organisation("acme", 0)), snapshotWith(organisation("acme", 0, "another key"))
	var revoked, reached atomic.Bool
	e := entry.New(entry.Options{
		VM: "vm0", Seed: 1, Confirm: true,
		Snapshot: func() *catalog.Snapshot {
			if revoked.Load() {
				return after
			}
			return before
		},
		Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
			reportConnected(r)
			if r.Header.Get("Revoke") != "" {
				revoked.Store(true)
			}
			if _, err := io.ReadAll(r.Body); err != nil {
				return nil, errors.Join(errors.New("the body cannot be sent"), err)
			}
			reached.Store(true)
			return homeResponse(r, "done"), nil
		}),
	})
	w := sendRequest(e, "POST", "/orders", "order", "Revoke", "1")
	if w.Code != 401 || reached.Load() || w.Header().Get(forward.HeaderOutcome) != errkind.NotRun.String() {
		t.Errorf("status %d, handed over %v: %s", w.Code, reached.Load(), w.Body)
	}
	for range 10 {
		if w := sendRequest(e, "POST", "/orders", "order", "Authorization", "Bearer another key"); w.Code != 200 || !strings.Contains(w.Body.String(), "done") {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	}
}

// Guards against use by organisations that no operator sees, or that is counted for requests without
// one.
func TestUseByOrganisationsIsLogged(t *testing.T) {
	snapshot, lines := snapshotWith(organisation("acme", 0), organisation("zeta", 0, "key of zeta")), &logBuffer{}
	log, err := telemetry.NewLogger(lines, "logfmt", "info")
	if err != nil {
		t.Fatal(err)
	}
	e := entry.New(entry.Options{
		VM: "vm0", Seed: 1, Log: log, Snapshot: func() *catalog.Snapshot { return snapshot },
		Transport: homeFunc(func(r *http.Request) (*http.Response, error) {
			if r.Header.Get("Fails") != "" {
				return nil, io.ErrUnexpectedEOF
			}
			return homeResponse(r, "done"), nil
		}),
	})
	for range 3 {
		sendRequest(e, "GET", "/a", "")
	}
	sendRequest(e, "GET", "/a", "", "Authorization", "Bearer key of zeta", "Fails", "1")
	sendRequest(e, "GET", "/a", "", "Authorization", "Bearer unknown")
	sendRequest(e, "GET", "/open/a", "")
	if requests, refused := e.OrganisationUse(); requests != 4 || refused != 1 {
		t.Errorf("%d requests, %d refused", requests, refused)
	}
	lines.takeLines()
	e.Expire(time.Now())
	requireLine(t, lines.takeLines(), "requests=4 refused=1 organisations=2", `acme\": 3, 0 refused; \"zeta\": 1, 1 refused`)
	e.Expire(time.Now())
	if more := lines.takeLines(); len(more) > 0 {
		t.Errorf("logged again: %q", more)
	}
}
