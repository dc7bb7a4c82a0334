package feed

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/keylease"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/recovery"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// ClockPath is the path at the peer listener that answers with the reading of the daemon's clock.
const ClockPath = Path + "/clock"

const (
	// pingTimeout bounds a ping. The answer has a few dozen bytes.
	pingTimeout = time.Second
	// minPingRetryInterval is the time after the first failed ping until the next one. It doubles up
	// to maxPingRetryInterval.
	minPingRetryInterval = 100 * time.Millisecond
	maxPingRetryInterval = time.Second
	// maxClockAnswerBytes bounds the answer to a ping.
	maxClockAnswerBytes = 256
	// confirmationStep is how much later than the last one announced a confirmation is when a status
	// is due before the next heartbeat.
	confirmationStep = 300 * time.Millisecond
)

// clockReading is the answer to a ping.
type clockReading struct {
	// Clock identifies the clock, and AtNs is its reading in nanoseconds.
	Clock uint64 `json:"clock"`
	AtNs  int64  `json:"atNs"`
}

// peerConfirmation is a confirmation by the clock of another daemon.
type peerConfirmation struct {
	keylease.Confirmation
	clock uint64
}

// ConfirmedAge returns the time since the moment as of which the configuration in force is known to
// have been the newest one, or the longest duration before there is one. It must not be called without
// Options.Keys. Any goroutine may call it.
func (s *Source) ConfirmedAge() time.Duration { return s.options.Keys.Age() }

// serveClock answers a ping.
func (s *Source) serveClock(w http.ResponseWriter, _ *http.Request) {
	if s.options.Keys == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// Without an answer the other daemon has nothing to tell a confirmation from.
	_ = json.NewEncoder(w).Encode(clockReading{s.hub.clock, int64(s.options.Keys.Now())})
}

// pingPeer sends pings to a daemon that is followed, until ctx ends.
func (s *Source) pingPeer(ctx context.Context, st *stream) {
	retryInterval := minPingRetryInterval
	for {
		interval := keylease.PingInterval
		if err := recovery.Call(func() error { return s.ping(ctx, st) }); err == nil {
			retryInterval = minPingRetryInterval
			s.offerConfirmation(st)
			s.announceConfirmation()
		} else {
			interval = retryInterval
			retryInterval = min(2*retryInterval, maxPingRetryInterval)
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// ping sends one ping.
func (s *Source) ping(ctx context.Context, st *stream) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: st.peer.Address, Path: ClockPath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	sent := s.options.Keys.Now()
	resp, err := s.options.Transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("clock of another daemon: got HTTP status %d, want 200", resp.StatusCode)
	}
	var reading clockReading
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxClockAnswerBytes)).Decode(&reading); err != nil {
		return err
	}
	st.pings.Add(keylease.Ping{Sent: sent, Received: time.Duration(reading.AtNs), Answered: s.options.Keys.Now(), Clock: reading.Clock})
	return nil
}

// confirm tells the lease of an update of the store that is about to be applied. It counts once a
// configuration of its version is in force. A version that another daemon has announced is a newer one
// that a copy of the store may lack, and a read of an era that is not settled shows only what the copy
// knew.
func (s *Source) confirm(u registry.Update) {
	if s.options.Keys == nil || u.ConfirmedAt == 0 || !s.eras.confirms(u.Revision, u.ConfirmedAt) {
		return
	}
	c := keylease.Confirmation{At: u.ConfirmedAt, Configuration: max(s.configurations.version.Load(), s.announced.Load())}
	for i := range u.Changes {
		if u.Changes[i].Configuration != nil {
			c.Configuration = max(c.Configuration, u.Changes[i].Configuration.Version)
		}
	}
	s.options.Keys.Offer(c)
}

// adoptConfirmations tells the lease that an update has been applied.
func (s *Source) adoptConfirmations() {
	if s.options.Keys != nil {
		s.options.Keys.Adopt()
	}
}

// noteConfirmation takes the confirmation that a daemon has passed on. Only the goroutine of the
// stream calls it.
func (s *Source) noteConfirmation(st *stream, status *status) {
	if s.options.Keys == nil {
		return
	}
	if status.Clock != 0 {
		st.clock = status.Clock
	}
	if st.clock == 0 || status.ConfirmedMs <= 0 {
		return
	}
	c := keylease.Confirmation{
		At: time.Duration(status.ConfirmedMs) * time.Millisecond, Configuration: cmp.Or(status.ConfirmedConfiguration, status.Configuration),
	}
	st.confirmation.Store(&peerConfirmation{c, st.clock})
	s.offerConfirmation(st)
}

// offerConfirmation tells the lease of the latest confirmation of a peer, once there is a ping to
// convert its moment with.
func (s *Source) offerConfirmation(st *stream) {
	c := st.confirmation.Load()
	if c == nil {
		return
	}
	if at, ok := st.pings.Localize(s.options.Keys.Now(), c.clock, c.At); ok {
		s.options.Keys.Offer(keylease.Confirmation{At: at, Configuration: c.Configuration})
	}
}

// addConfirmation adds the latest confirmation to a status, rounded down. The status must not have its
// Configuration yet.
func (s *Source) addConfirmation(out *status) {
	if s.options.Keys == nil {
		return
	}
	latest := s.options.Keys.Latest()
	out.ConfirmedMs, out.ConfirmedConfiguration = latest.At.Milliseconds(), latest.Configuration
}

// confirmationFor leaves out of a status what the follower knows of the confirmation. clock identifies
// the clock of this daemon.
func (f *follower) confirmationFor(out *status, clock uint64) {
	if !f.knowsClock {
		out.Clock = clock
	}
	switch {
	case out.ConfirmedMs == f.confirmedMs:
		out.ConfirmedMs, out.ConfirmedConfiguration = 0, 0
	case out.ConfirmedConfiguration == out.Configuration:
		out.ConfirmedConfiguration = 0
	}
}

// announceConfirmation sends a status to the followers if there is a much later confirmation than the
// last status had that was sent before its time. Waiting for a heartbeat would add to the age at each
// daemon on the way. A daemon that reaches the store sends one after each response anyway.
func (s *Source) announceConfirmation() {
	if s.options.Keys == nil || s.storeAvailable() {
		return
	}
	latest, announced := int64(s.options.Keys.Latest().At), s.announcedConfirmation.Load()
	if latest-announced >= int64(confirmationStep) && s.announcedConfirmation.CompareAndSwap(announced, latest) {
		s.hub.wake()
	}
}

// wakeFollowers sends a status to the followers.
func (s *Source) wakeFollowers() {
	if s.options.Keys != nil {
		raise(&s.announcedConfirmation, int64(s.options.Keys.Latest().At))
	}
	s.hub.wake()
}

// logLease logs when the keys are no longer confirmed, and when they are again. The caller holds mu.
func (s *Source) logLease() {
	keys := s.options.Keys
	if keys == nil || !keys.Confirmed() || s.leaseLost == !keys.Fresh() {
		return
	}
	s.leaseLost = !s.leaseLost
	// The logger bounds the lines with the same first value.
	if s.leaseLost {
		s.options.Log.Warn("The API keys are no longer confirmed; requests with a key are refused.", "reads", s.reader != nil, "age", keys.Age(), "configuration", s.configurations.version.Load(),
			"announced", s.announced.Load(), "store_age", s.elapsed()-time.Duration(s.reached.Load()), "followed", s.describeFollowed())
		return
	}
	s.options.Log.Info("The API keys are confirmed again.", "reads", s.reader != nil, "age", keys.Age(), "configuration", keys.Latest().Configuration)
}
