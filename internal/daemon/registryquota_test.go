package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/quota"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// quotaPair is an entry at one VM, and the only holder of all quotas at another one.
type quotaPair struct {
	entry, holder *registryQuota
	organisation  *catalog.Customer
	log           strings.Builder
	// silence is how long the holder has heard of nobody.
	silence atomic.Int64
	traffic *forward.Traffic
}

// RoundTrip passes an ask to the holder without a network, so that tests can use virtual time.
func (p *quotaPair) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	p.holder.ServeHTTP(w, r)
	return w.Result(), nil
}

// newQuotaPair connects the two by HTTP/2 over loopback if network is set.
func newQuotaPair(t testing.TB, limits contract.Limits, network bool) *quotaPair {
	t.Helper()
	organisations := catalog.NewOrganisations([]catalog.Customer{{Name: "acme", Generation: 7, Limits: limits}}, [][]catalog.KeyDigest{nil})
	p := &quotaPair{organisation: organisations.ByName("acme"), traffic: &forward.Traffic{}}
	snapshot := catalog.NewResolvedSnapshot(catalog.ResolvedConfiguration{Organisations: organisations})
	log, err := telemetry.NewLogger(&p.log, "", "")
	if err != nil {
		t.Fatal(err)
	}
	peerPort, transport := 1, http.RoundTripper(p)
	if network {
		peerPort, transport = p.serve(t), forward.NewPeerTransport(forward.PeerOptions{Dial: p.traffic.Dial})
	}
	newQuota := func(vm string) *registryQuota {
		s := settings.Default()
		s.VM, s.DataCentre, s.Region = vm, "a", "r"
		s.Registry.QuotaExcess, s.Registry.QuotaSlack = 0.25, 20
		return newRegistryQuota(&s, func() *catalog.Snapshot { return snapshot }, func() time.Duration { return time.Duration(p.silence.Load()) }, transport, log.Part("quota"))
	}
	p.entry, p.holder = newQuota("127.0.0.2"), newQuota("127.0.0.1")
	options := registry.BuildOptions{Regions: map[string]string{"a": "r"}, PeerPort: peerPort}
	registrations := []*registry.Registration{
		{ID: "b1", Address: "127.0.0.1:8080", DataCentre: "a"}, {ID: "b2", Address: "127.0.0.2:8080", DataCentre: "a", Draining: true},
	}
	p.entry.update(time.Now(), registrations, &options)
	p.holder.update(time.Now(), registrations, &options)
	return p
}

// serve starts a server for the holder and returns its port.
func (p *quotaPair) serve(t testing.TB) int {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.holder.ServeHTTP(w, r) }))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).Port
}

// Guards against limits that daemons do not share, against a refusal that does not say when to come back
// or which limit applies, and against a holder that grants though it hears of nobody.
func TestQuotaIsTakenFromTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQuotaPair(t, contract.Limits{RatePerSecond: 0.1, Burst: 2}, false)
		admitted := 0
		var err *errkind.Error
		for err == nil {
			for _, q := range []*registryQuota{p.entry, p.holder} {
				if err = q.Admit(t.Context(), p.organisation); err != nil {
					break
				}
				admitted++
			}
		}
		// A part begins with a third of the margin: (0.1*5+2)*1.25+20 - 0.1*6 - 2 = 20.5.
		if admitted != 6 || err.Kind != errkind.RateLimited || err.RetryAfter <= time.Second || !strings.Contains(err.Detail, "ratePerSecond 0.1, burst 2") {
			t.Errorf("%d admitted, then %v after %v", admitted, err, err.RetryAfter)
		}
		if stats := p.holder.holder.Stats(); stats.Granted != 6 || stats.Refused == 0 {
			t.Errorf("holder: %+v", stats)
		}
		if !strings.Contains(p.log.String(), `msg="quota: An organisation is above its rate limit." organisation=acme`) || !strings.Contains(p.log.String(), "r/0=127.0.0.1") {
			t.Errorf("log: %s", p.log.String())
		}
		other := &catalog.Customer{Name: registry.CustomerName}
		if err := p.entry.Admit(t.Context(), other); err != nil {
			t.Errorf("a customer without limits: %v", err)
		}
		p.entry.Release(other, true)
	})
}

// Guards against a daemon without contact that grants, or that takes asks for contact, and against a
// request that is refused for good when no holder answers.
func TestNoHolderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQuotaPair(t, contract.Limits{RatePerSecond: 100, Burst: 100}, false)
		p.silence.Store(int64(time.Minute))
		if err := p.entry.Admit(t.Context(), p.organisation); err == nil || err.Kind != errkind.QuotaUnreachable || err.RetryAfter <= 0 {
			t.Errorf("without contact: %v", err)
		}
		p.silence.Store(0)
		time.Sleep(210 * time.Millisecond) // the pause before the holder is asked again
		if err := p.entry.Admit(t.Context(), p.organisation); err != nil {
			t.Errorf("with contact: %v", err)
		}
		p.entry.Release(p.organisation, true)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if err := p.entry.Admit(ended, p.organisation); err != nil && err.Kind != errkind.DeadlineBeforeRun {
			t.Errorf("a request that has ended: %v", err)
		}
		p.entry.update(time.Now(), nil, &registry.BuildOptions{})
		if err := p.entry.Admit(t.Context(), p.organisation); err == nil || err.Kind != errkind.QuotaUnreachable {
			t.Errorf("without daemons: %v", err)
		}
	})
}

// Guards against a malformed message that is answered as an ask.
func TestMalformedAskIsRefused(t *testing.T) {
	p := newQuotaPair(t, contract.Limits{RatePerSecond: 1, Burst: 1}, false)
	for _, body := range []string{"", "\x02", "\x01\x00\x01\x00", "\x01\x00\x00\x00acme", strings.Repeat("a", quota.MaxMessageBytes+1)} {
		w := httptest.NewRecorder()
		if p.holder.ServeHTTP(w, httptest.NewRequest("POST", quotaPath, strings.NewReader(body))); w.Code != http.StatusBadRequest {
			t.Errorf("%d bytes: status %d", len(body), w.Code)
		}
	}
}

// BenchmarkQuotaAsk measures an ask of another daemon over loopback, both daemons in this process.
func BenchmarkQuotaAsk(b *testing.B) {
	p := newQuotaPair(b, contract.Limits{RatePerSecond: 1e6, Burst: 1e6}, true)
	a := quota.Attempt{VM: "127.0.0.1", Ask: quota.Ask{Organisation: "acme", Want: 1}}
	var first quota.Attempt
	p.entry.taker.Take(time.Now(), "acme", limitsOf(p.organisation), &first)
	a.Address = first.Address
	if _, err := p.entry.ask(&a); err != nil {
		b.Fatal(err)
	}
	before := p.traffic.Sent() + p.traffic.Received()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if _, err := p.entry.ask(&a); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(p.traffic.Sent()+p.traffic.Received()-before)/float64(n), "wire-B/op")
}

// Guards against asks that do not get through the connections between daemons, and against a daemon that
// does not serve them or takes itself for a holder before it has a configuration.
func TestAsksOverHTTP2(t *testing.T) {
	p := newQuotaPair(t, contract.Limits{RatePerSecond: 1, Burst: 1}, true)
	var a quota.Attempt
	if d := p.entry.taker.Take(time.Now(), "acme", limitsOf(p.organisation), &a); d != quota.AskHolder || a.VM != "127.0.0.1" {
		t.Fatalf("decision %d, asks %s", d, a.VM)
	}
	for _, want := range []quota.Status{quota.Granted, quota.NotHolder} {
		if answer, err := p.entry.send(t.Context(), &a); err != nil || answer.Status != want {
			t.Errorf("%+v, %v, want status %d", answer, err, want)
		}
		a.Ask.Organisation = "unknown"
	}
	w := httptest.NewRecorder()
	newUnconfiguredRegistry(t).controlHandler().ServeHTTP(w, httptest.NewRequest("POST", quotaPath, strings.NewReader("\x01\x00\x01\x00acme")))
	if answer, err := quota.DecodeAnswer(w.Body.Bytes()); w.Code != http.StatusOK || err != nil || answer.Status != quota.NotHolder {
		t.Errorf("status %d, %+v, %v", w.Code, answer, err)
	}
}

// Guards against a request that took no token, such as one without a limit under the same name, and
// that gives back the token of a request that is running.
func TestRequestsWithoutATokenGiveNoneBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQuotaPair(t, contract.Limits{RatePerSecond: 100, Burst: 100}, false)
		if err := p.entry.Admit(t.Context(), p.organisation); err != nil {
			t.Fatal(err)
		}
		asks := p.entry.taker.Stats().Asks
		p.entry.Release(&catalog.Customer{Name: p.organisation.Name}, false)
		if err := p.entry.Admit(t.Context(), p.organisation); err != nil {
			t.Fatal(err)
		}
		if got := p.entry.taker.Stats().Asks; got != asks+1 {
			t.Errorf("%d asks for the second request, want 1", got-asks)
		}
	})
}

// Guards against limits that cannot be read and count as none at their holder.
func TestUnreadableLimitsRefuseAllRequests(t *testing.T) {
	if limits := limitsOf(&catalog.Customer{Organisation: true, LimitsUnknown: true}); limits.Unlimited() {
		t.Errorf("%+v is unlimited", limits)
	}
}
