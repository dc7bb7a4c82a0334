package feed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

const (
	// answerTimeout is the time within which another daemon must begin to send the configuration. It
	// allows for maxTransferQueue.
	answerTimeout = 700 * time.Millisecond
	// stallTimeout ends a transfer of which nothing arrives for that time.
	stallTimeout = 600 * time.Millisecond
	// fetchRetryInterval is the time between two rounds of requests.
	fetchRetryInterval = 60 * time.Millisecond
	// furtherSources is the number of daemons of the region, drawn anew in each round, that are asked
	// while those that are followed are busy. So whoever has the configuration helps to spread it.
	furtherSources = 2
)

// errTransferStalled ends a transfer that makes no progress.
var errTransferStalled = errors.New("the transfer of the configuration made no progress in time")

// fetchConfigurations gets each new configuration that other daemons announce, until ctx ends.
func (s *Source) fetchConfigurations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fetchDue:
		}
		for s.fetchRound(ctx) && pause.For(ctx, fetchRetryInterval) {
		}
	}
}

// fetchRound asks others for the announced configuration once. It reports whether it is still
// missing and another round is of use.
func (s *Source) fetchRound(ctx context.Context) bool {
	sources := s.configurationSources(time.Now())
	if len(sources) == 0 {
		return false // the next status of whoever has it begins anew
	}
	busy := false
	for _, source := range sources {
		err := s.fetchConfiguration(ctx, source)
		if err == nil {
			return s.behind()
		}
		busy = busy || errors.Is(err, errBusy)
		s.noteFetchFailure(ctx, source, err)
	}
	if busy {
		for _, source := range s.furtherSources(sources) {
			if s.fetchConfiguration(ctx, source) == nil {
				break
			}
		}
	}
	return s.behind()
}

// behind reports whether another daemon has announced a newer configuration than this one has.
func (s *Source) behind() bool { return s.announced.Load() > s.configurations.version.Load() }

// noteFetchFailure has others asked before the source for some time, unless it is only busy or has
// nothing newer. Further failures in that time are counted, but not logged.
func (s *Source) noteFetchFailure(ctx context.Context, source Peer, err error) {
	if ctx.Err() != nil || errors.Is(err, errBusy) || errors.Is(err, errNothingNewer) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedTransfers.Add(1)
	now := time.Now()
	if now.Before(s.fetchAfter[source.VM]) {
		return
	}
	s.fetchAfter[source.VM] = now.Add(avoidDuration)
	s.options.Log.Warn("The configuration cannot be fetched from another daemon.", "vm", source.VM, "announced", s.announced.Load(), "err", err)
}

// configurationSources returns the followed daemons that have announced a newer configuration. The
// order is another one for each daemon. Those that failed lately come last.
func (s *Source) configurationSources(now time.Time) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.configurations.version.Load()
	var sources []Peer
	for _, st := range s.streams {
		if st.configuration.Load() > have {
			sources = append(sources, st.peer)
		}
	}
	failed := func(p Peer) int {
		if now.Before(s.fetchAfter[p.VM]) {
			return 1
		}
		return 0
	}
	slices.SortFunc(sources, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(failed(a), failed(b)), cmp.Compare(s.rank(a), s.rank(b)))
	})
	return sources
}

// rank orders other daemons, for each daemon in another way.
func (s *Source) rank(p Peer) uint64 { return xxhash.Sum64String(s.options.Self + " " + p.VM) }

// furtherSources draws daemons of the region that are not among those that were asked.
func (s *Source) furtherSources(asked []Peer) []Peer {
	peers := s.options.Peers()
	var drawn []Peer
	for range min(2*furtherSources, len(peers)) {
		p := peers[rand.IntN(len(peers))]
		if len(drawn) < furtherSources && !p.Standby && p.VM != s.options.Self && !containsVM(asked, p.VM) && !containsVM(drawn, p.VM) {
			drawn = append(drawn, p)
		}
	}
	return drawn
}

// fetchConfiguration gets the latest configuration of another daemon and applies it.
func (s *Source) fetchConfiguration(ctx context.Context, source Peer) error {
	known := s.configurations.known()
	have := uint64(0)
	if known.Configuration != nil {
		have = known.Configuration.Version
	}
	begin := time.Now()
	m, size, err := s.requestConfiguration(ctx, source, have)
	if err != nil {
		return err
	}
	change, err := m.change(known)
	if err != nil {
		// Whatever does not fit, the whole configuration does.
		if m, size, err = s.requestConfiguration(ctx, source, 0); err != nil {
			return err
		}
		if change, err = m.change(registry.Change{}); err != nil {
			return err
		}
	}
	s.apply(registry.Update{Changes: []registry.Change{change}})
	s.options.Log.Info("A configuration was fetched from another daemon.", "vm", source.VM, "version", change.Configuration.Version, "base", m.Base, "bytes", size, "took", time.Since(begin))
	s.repeatStatuses()
	return nil
}

// repeatStatuses handles the latest status of each stream once more: with the configuration that
// they announce, they say that the state is complete.
func (s *Source) repeatStatuses() {
	s.mu.Lock()
	var latest []*receivedStatus
	for _, st := range s.streams {
		if r := st.status.Load(); r != nil {
			latest = append(latest, r)
		}
	}
	s.mu.Unlock()
	for _, r := range latest {
		s.handleStatus(r)
	}
}

// requestConfiguration asks another daemon for what is newer than the configuration of a version.
// It also returns the size of the message.
func (s *Source) requestConfiguration(ctx context.Context, source Peer, have uint64) (m configurationMessage, size int64, err error) {
	ctx, stop := context.WithTimeout(ctx, frameTimeout)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(answerTimeout, func() { cancel(errTransferStalled) })
	defer watchdog.Stop()
	u := url.URL{Scheme: "http", Host: source.Address, Path: ConfigurationPath, RawQuery: url.Values{haveParam: {strconv.FormatUint(have, 10)}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return m, 0, err
	}
	resp, err := s.options.Transport.RoundTrip(req)
	if err != nil {
		return m, 0, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return m, 0, errNothingNewer
	case http.StatusServiceUnavailable:
		return m, 0, errBusy
	default:
		return m, 0, fmt.Errorf("configuration of another daemon: got HTTP status %d, want 200", resp.StatusCode)
	}
	body := frameReader{source: resp.Body, progress: func() { watchdog.Reset(stallTimeout) }}
	if err := readMessage(&body, func() {}, &m); err != nil {
		return m, 0, cmp.Or(context.Cause(ctx), err)
	}
	return m, body.received.Load(), nil
}
