package configsync

import (
	"fmt"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
)

const (
	// minStartPeers is the number of peers, in at least minStartDataCentres, whose answers end
	// the start procedure.
	minStartPeers       = 3
	minStartDataCentres = 2
	// maxStartPeerCalls bounds the calls of one pass, so that a fleet with many dead VMs does
	// not hold up a start.
	maxStartPeerCalls = 9
	// startRetryDelay is the wait before the next pass when neither a peer nor the platform
	// answered.
	startRetryDelay = 2 * time.Second
)

// startState is the progress of the start procedure. A starting daemon asks peers for what they
// hold and have in force before it serves. The procedure is done when enough peers answered. It is
// also done when no peer is left to ask in this pass, and at least one peer or the platform
// answered; otherwise another pass follows. A procedure that is done never starts again.
type startState struct {
	// tried holds the peers called in this pass, by peerKey; answered the IDs of those that
	// answered in any pass.
	tried    map[string]bool
	answered map[string]bool
	retryAt  time.Time
	done     bool
}

// Starting reports whether the start procedure is still in progress.
func (s *Syncer) Starting() bool { return !s.start.done }

// NextStartPeer returns the next peer to ask during the start. If due is false, the caller must try
// again after wait. It ends the start procedure when its conditions are met.
func (s *Syncer) NextStartPeer(now time.Time) (peer membership.VM, due bool, wait time.Duration) {
	if now.Before(s.start.retryAt) {
		return membership.VM{}, false, s.start.retryAt.Sub(now)
	}
	if s.hasEnoughStartAnswers() {
		s.finishStart()
		return membership.VM{}, false, 0
	}
	if len(s.start.tried) < maxStartPeerCalls {
		for _, vm := range s.members.StartOrder(now) {
			if key := peerKey(vm); !s.start.tried[key] && !s.start.answered[vm.ID] {
				s.start.tried[key] = true
				return vm, true, 0
			}
		}
	}
	// The value "vms" that a peer just supplied may name more peers once it is in force.
	if s.isAwaitingApply(VMsName) {
		return membership.VM{}, false, 50 * time.Millisecond
	}
	if len(s.start.answered) > 0 || s.read.answered {
		s.finishStart()
		return membership.VM{}, false, 0
	}
	clear(s.start.tried)
	s.start.retryAt = now.Add(startRetryDelay)
	return membership.VM{}, false, startRetryDelay
}

// RecordStartAnswer records that a peer answered and that everything it listed that is needed here
// was pulled.
func (s *Syncer) RecordStartAnswer(sender string) {
	if sender != "" && sender != s.members.Self().ID {
		s.start.answered[sender] = true
	}
}

func (s *Syncer) finishStart() { s.start.done = true }

// hasEnoughStartAnswers reports whether minStartPeers in minStartDataCentres answered. Peers that
// the configuration does not list count for no data centre.
func (s *Syncer) hasEnoughStartAnswers() bool {
	if len(s.start.answered) < minStartPeers {
		return false
	}
	dataCentres := map[string]bool{}
	for id := range s.start.answered {
		if vm, ok := s.members.Lookup(id); ok {
			dataCentres[vm.DataCentre] = true
		}
	}
	return len(dataCentres) >= minStartDataCentres
}

// peerKey identifies a peer. Seeds have no ID until they answer.
func peerKey(vm membership.VM) string {
	if vm.ID == "" {
		return vm.Address
	}
	return vm.ID
}

// RevisionsToApply lists the values held that are neither in force nor refused, or that have
// residues to merge, in the order of their revisions.
func (s *Syncer) RevisionsToApply() []Revision {
	var list []Revision
	for _, r := range s.store.Revisions() {
		if r.Number > s.inForce[r.Name] && s.refused[r.Name].revision != r.Number || len(s.peerResidues[r.Name]) > 0 {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b Revision) int {
		switch {
		case a.Number < b.Number:
			return -1
		case a.Number > b.Number:
			return 1
		}
		return 0
	})
	return list
}

// isAwaitingApply reports whether the revision held of a value is neither in force nor refused.
func (s *Syncer) isAwaitingApply(name string) bool {
	held := s.store.Revision(name)
	return held > s.inForce[name] && s.refused[name].revision != held
}

// RecordApplied records the result of applying a revision; err is the reason of a refusal.
func (s *Syncer) RecordApplied(now time.Time, name string, revision uint64, err error) {
	event := Event{At: now, Kind: EventInForce, Name: name, From: s.inForce[name], To: revision}
	if err != nil {
		s.refused[name] = refusal{revision, err.Error()}
		event.Kind, event.Reason = EventRefused, err.Error()
	} else if revision > s.inForce[name] {
		s.inForce[name] = revision
		delete(s.refused, name)
	}
	s.cfg.Emit(event)
}

// InForce returns the revision of a value that is in force, or 0 for none.
func (s *Syncer) InForce(name string) uint64 { return s.inForce[name] }

// Ready reports whether the daemon may serve, or else the reason why not. Once true it stays true,
// since what is in force stays.
func (s *Syncer) Ready(now time.Time) (bool, string) {
	if s.ready {
		return true, ""
	}
	if reason := s.notReadyReason(); reason != "" {
		return false, reason
	}
	s.ready = true
	s.cfg.Emit(Event{At: now, Kind: EventReady, Name: IndexName, To: s.inForce[IndexName]})
	return true, ""
}

// notReadyReason returns why the daemon must not serve yet, or "" when it may.
func (s *Syncer) notReadyReason() string {
	switch {
	case !s.start.done:
		return fmt.Sprintf("asking peers for their configuration: %d of %d answered", len(s.start.answered), minStartPeers)
	case !s.read.attempted:
		return "waiting for the first call to the platform"
	case len(s.start.answered) == 0 && !s.read.answered:
		return "neither a peer nor the platform has answered"
	case s.inForce[IndexName] == 0:
		return "the index is not in force yet"
	}
	missing := 0
	for _, name := range s.indexNames {
		if s.store.Revision(name) == 0 {
			missing++
		}
	}
	if missing > 0 {
		return fmt.Sprintf("%d of %d values of the index are missing", missing, len(s.indexNames))
	}
	if n := len(s.RevisionsToApply()); n > 0 {
		return fmt.Sprintf("%d values are held but not applied yet", n)
	}
	if n := s.unreadCount(); n > 0 && !s.read.down {
		return fmt.Sprintf("%d values have a newer revision on the platform", n)
	}
	return ""
}
