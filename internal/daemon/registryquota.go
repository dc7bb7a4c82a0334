package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
	"github.com/cowsliprun/cowsliprun/internal/quota"
	"github.com/cowsliprun/cowsliprun/internal/registry"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

const (
	// quotaPath is the path on the peer listener at which holders are asked for tokens.
	quotaPath = "/cowslip.quota/1"
	// holderSilence is how long a daemon acts as holder without hearing from another daemon or from the
	// store.
	holderSilence = 2 * time.Second
)

var (
	errQuotaStatus  = errors.New("a holder of quotas answered with an unexpected status")
	errQuotaMessage = errors.New("an answer about quotas is too long")
)

// quotaHeader is the header of all asks. An empty User-Agent is not sent.
var quotaHeader = http.Header{"User-Agent": {""}}

// quotaContentType spares the server the search for the type of the content.
var quotaContentType = []string{"application/octet-stream"}

// registryQuota enforces the rate limits of organisations at a daemon with a registry: it takes tokens
// for the requests of the entry, from the holders of the quotas, and is a holder itself. It is safe for
// concurrent use.
type registryQuota struct {
	vm, region string
	regions    []string
	snapshot   func() *catalog.Snapshot
	// silence returns the time since the feed heard from another daemon or from the store.
	silence   func() time.Duration
	transport http.RoundTripper
	log       *telemetry.Logger
	holder    *quota.Holder
	taker     *quota.Taker
	// start is the origin of heard, the time in nanoseconds at which another daemon last answered an
	// ask. Asks of others do not count: they also arrive when nothing gets back.
	start   time.Time
	heard   atomic.Int64
	plan    *quota.Plan // only update uses it
	buffers sync.Pool   // of *[quota.MaxMessageBytes]byte
}

// newRegistryQuota returns a registryQuota without a list of daemons, which is no holder. The regions
// of the settings divide the quotas, whether they have daemons or not.
func newRegistryQuota(
	s *settings.Settings, snapshot func() *catalog.Snapshot, silence func() time.Duration, transport http.RoundTripper, log *telemetry.Logger,
) *registryQuota {
	now := time.Now()
	q := &registryQuota{
		vm: s.VM, region: s.Region, regions: []string{s.Region}, snapshot: snapshot, silence: silence, transport: transport, log: log, start: now,
		plan: quota.NewPlan(nil, nil), buffers: sync.Pool{New: func() any { return new([quota.MaxMessageBytes]byte) }},
	}
	for _, dc := range s.DataCentres {
		q.regions = append(q.regions, dc.Region)
	}
	bounds := quota.Bounds{Window: time.Duration(s.Registry.QuotaWindow), Excess: s.Registry.QuotaExcess, Slack: s.Registry.QuotaSlack}
	q.holder = quota.NewHolder(now, s.VM, s.Region, bounds, q.mayHold)
	q.taker = quota.NewTaker(now, s.VM, s.Region, bounds)
	return q
}

// update puts the registered daemons in force as those that hold quotas. Daemons whose backend server
// is draining hold none.
func (q *registryQuota) update(now time.Time, registrations []*registry.Registration, options *registry.BuildOptions) {
	var daemons []quota.Daemon
	seen := map[string]bool{}
	for _, c := range feedCandidates(registrations, options) {
		if c.Draining || seen[c.VM] {
			continue
		}
		seen[c.VM] = true
		daemons = append(daemons, quota.Daemon{VM: c.VM, Region: c.Region, Address: c.Address})
	}
	p := quota.NewPlan(q.regions, daemons)
	if p.Equal(q.plan) {
		return
	}
	q.plan = p
	q.holder.SetPlan(now, p)
	q.taker.SetPlan(p)
}

// mayHold reports whether this daemon has heard lately from others, whose lists may otherwise be newer.
func (q *registryQuota) mayHold() bool {
	if q.silence() < holderSilence {
		return true
	}
	if heard := q.heard.Load(); heard > 0 && time.Since(q.start)-time.Duration(heard) < holderSilence {
		return true
	}
	q.log.Warn("This daemon hears from no other daemon and not from the registry; it grants no quota.")
	return false
}

// limitsOf returns the limits of the customer. Limits that cannot be read refuse all requests.
func limitsOf(c *catalog.Customer) quota.Limits {
	if c.LimitsUnknown {
		return quota.Limits{Rate: -1}
	}
	return quota.Limits{Rate: c.Limits.RatePerSecond, Burst: float64(c.Limits.Burst)}
}

// Admit takes a token for a request, or returns the error to answer it with. It asks at most a few
// holders, each within quota.NearTimeout or quota.FarTimeout.
func (q *registryQuota) Admit(ctx context.Context, c *catalog.Customer) *errkind.Error {
	limits := limitsOf(c)
	if limits.Unlimited() {
		return nil
	}
	var a quota.Attempt
	decision := q.taker.Take(time.Now(), c.Name, limits, &a)
	for decision == quota.AskHolder {
		if ctx.Err() != nil {
			q.taker.Withdraw(&a)
			return errkind.New(errkind.DeadlineBeforeRun, "the request ended while it waited for a token of its organisation's quota")
		}
		answer, err := q.ask(&a)
		decision = q.taker.Answered(time.Now(), &a, answer, err == nil)
	}
	if decision == quota.Admitted {
		return nil
	}
	return q.refusal(c, limits, decision, a.RetryAfter)
}

// refusal returns the error for a request without a token.
func (q *registryQuota) refusal(c *catalog.Customer, limits quota.Limits, d quota.Decision, after time.Duration) *errkind.Error {
	if d == quota.Unreachable {
		q.log.Warn("No holder of an organisation's quota answered.", "organisation", c.Name, "holders", q.taker.Holders(c.Name, limits), "retry_after", after)
		return &errkind.Error{
			Kind: errkind.QuotaUnreachable, Detail: "no daemon that holds a part of the quota of organisation " + c.Name + " answered", RetryAfter: after,
		}
	}
	q.log.Info("An organisation is above its rate limit.", "organisation", c.Name, "rate", limits.Rate, "burst", limits.Burst,
		"holders", q.taker.Holders(c.Name, limits), "retry_after", after)
	detail := fmt.Sprintf("limit of ratePerSecond %s, burst %d for the whole fleet, set by the configuration of organisation %s, version %d",
		strconv.FormatFloat(limits.Rate, 'g', -1, 64), c.Limits.Burst, c.Name, c.Generation)
	return &errkind.Error{Kind: errkind.RateLimited, Detail: detail, RetryAfter: after}
}

// Release ends an admitted request. A token whose request did not run serves another one. Requests
// without a limit took none.
func (q *registryQuota) Release(c *catalog.Customer, mayHaveRun bool) {
	if !limitsOf(c).Unlimited() {
		q.taker.Release(time.Now(), c.Name, mayHaveRun)
	}
}

// ask asks the holder of an attempt. It does not end with the caller's request, so that a granted token
// is not lost and a caller that leaves does not make the holder look silent.
func (q *registryQuota) ask(a *quota.Attempt) (quota.Answer, error) {
	if a.VM == q.vm {
		return q.take(&a.Ask), nil
	}
	timeout := quota.NearTimeout
	if a.Far {
		timeout = quota.FarTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := q.send(ctx, a)
	if err != nil {
		q.log.Info("A holder of quotas did not answer; it is not asked for a while.", "vm", a.VM, "err", err)
		return answer, err
	}
	q.heard.Store(int64(time.Since(q.start)))
	return answer, nil
}

// send sends an ask to the holder and reads its answer.
func (q *registryQuota) send(ctx context.Context, a *quota.Attempt) (quota.Answer, error) {
	message := a.Ask.Append(make([]byte, 0, 64))
	req := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: a.Address, Path: quotaPath}, Header: quotaHeader,
		ContentLength: int64(len(message)), Body: io.NopCloser(bytes.NewReader(message)),
		// The transport sends a request again only if no part of it was handled.
		GetBody: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(message)), nil },
	}).WithContext(ctx)
	resp, err := q.transport.RoundTrip(req)
	if err != nil {
		return quota.Answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return quota.Answer{}, fmt.Errorf("%w %d", errQuotaStatus, resp.StatusCode)
	}
	buffer := q.buffers.Get().(*[quota.MaxMessageBytes]byte)
	defer q.buffers.Put(buffer)
	data, err := readMessage(resp.Body, buffer)
	if err != nil {
		return quota.Answer{}, err
	}
	return quota.DecodeAnswer(data)
}

// readMessage reads a whole message into the buffer.
func readMessage(from io.Reader, buffer *[quota.MaxMessageBytes]byte) ([]byte, error) {
	n, err := io.ReadFull(from, buffer[:])
	switch {
	case err == nil:
		return nil, errQuotaMessage
	case err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF):
		return buffer[:n], nil
	}
	return nil, err
}

// take answers an ask as holder, by the limits in force here.
func (q *registryQuota) take(ask *quota.Ask) quota.Answer {
	if snapshot := q.snapshot(); snapshot != nil {
		if c := snapshot.Organisations().ByName(ask.Organisation); c != nil {
			return q.holder.Take(time.Now(), ask, limitsOf(c))
		}
	}
	return quota.Answer{Status: quota.NotHolder}
}

// ServeHTTP answers the ask of another daemon.
func (q *registryQuota) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	buffer := q.buffers.Get().(*[quota.MaxMessageBytes]byte)
	defer q.buffers.Put(buffer)
	data, err := readMessage(r.Body, buffer)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ask, err := quota.DecodeAsk(data)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := q.take(&ask)
	header := w.Header()
	header["Content-Type"], header["Date"] = quotaContentType, nil
	w.Write(answer.Append(buffer[:0])) //nolint:errcheck // the entry is gone
}

// tick drops idle state. It is to be called every expireInterval.
func (q *registryQuota) tick(now time.Time) {
	q.holder.Sweep(now)
	q.taker.Sweep(now)
}

// writeMetrics writes the counts of holder and taker.
func (q *registryQuota) writeMetrics(w io.Writer) {
	h, t := q.holder.Stats(), q.taker.Stats()
	metrics.WriteCounterUint64(w, "cowslip_quota_granted_total", h.Granted)
	metrics.WriteCounterUint64(w, "cowslip_quota_refused_total", h.Refused)
	metrics.WriteCounterUint64(w, "cowslip_quota_asks_total", t.Asks)
	metrics.WriteCounterUint64(w, "cowslip_quota_unanswered_asks_total", t.Unanswered)
	metrics.WriteGaugeUint64(w, "cowslip_quota_held_parts", uint64(h.Buckets))
	metrics.WriteGaugeUint64(w, "cowslip_quota_organisations", uint64(t.Organisations))
}
