package configsync

import (
	"fmt"
	"slices"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
)

const (
	// startPeers in at least startDataCentres are asked before a daemon serves.
	startPeers       = 3
	startDataCentres = 2
	// maxStartCalls bounds the calls of one pass, so that a fleet with many dead VMs does not hold up a start.
	maxStartCalls = 9
	// startRetry is the wait before the next pass when nobody answered.
	startRetry = 2 * time.Second
)

// startState is the progress of the start procedure.
type startState struct {
	tried    map[string]bool
	answered map[string]bool
	retryAt  time.Time
	done     bool
}

// Starting reports whether the start procedure still asks peers.
func (s *Syncer) Starting() bool { return !s.start.done }

// NextAsk returns the next peer to ask during the start, or the time to wait for one.
func (s *Syncer) NextAsk(now time.Time) (peer membership.VM, due bool, wait time.Duration) {
	if now.Before(s.start.retryAt) {
		return membership.VM{}, false, s.start.retryAt.Sub(now)
	}
	if s.askedEnough() {
		s.finishStart()
		return membership.VM{}, false, 0
	}
	if len(s.start.tried) < maxStartCalls {
		for _, vm := range s.members.StartOrder(now) {
			if name := startKey(vm); !s.start.tried[name] && !s.start.answered[vm.ID] {
				s.start.tried[name] = true
				return vm, true, 0
			}
		}
	}
	// The VMs that a peer just supplied may name more peers once they are in force.
	if s.waitsFor(VMsName) {
		return membership.VM{}, false, 50 * time.Millisecond
	}
	if len(s.start.answered) > 0 || s.read.answered {
		s.finishStart()
		return membership.VM{}, false, 0
	}
	clear(s.start.tried)
	s.start.retryAt = now.Add(startRetry)
	return membership.VM{}, false, startRetry
}

// AskDone records that a peer answered and that everything newer that it listed was pulled.
func (s *Syncer) AskDone(sender string) {
	if sender != "" && sender != s.members.Self().ID {
		s.start.answered[sender] = true
	}
}

func (s *Syncer) finishStart() { s.start.done = true }

func (s *Syncer) askedEnough() bool {
	if len(s.start.answered) < startPeers {
		return false
	}
	dataCentres := map[string]bool{}
	for id := range s.start.answered {
		if vm, ok := s.members.Lookup(id); ok {
			dataCentres[vm.DataCentre] = true
		}
	}
	return len(dataCentres) >= startDataCentres
}

func startKey(vm membership.VM) string {
	if vm.ID == "" {
		return vm.Address
	}
	return vm.ID
}

// ToApply lists the values that are held and neither in force nor refused, or that have memories to merge, by revision.
func (s *Syncer) ToApply() []Revision {
	var list []Revision
	for _, r := range s.store.Revisions() {
		if r.Revision > s.inForce[r.Name] && s.refused[r.Name].revision != r.Revision || len(s.memories[r.Name]) > 0 {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b Revision) int {
		switch {
		case a.Revision < b.Revision:
			return -1
		case a.Revision > b.Revision:
			return 1
		}
		return 0
	})
	return list
}

func (s *Syncer) waitsFor(name string) bool {
	held := s.store.Revision(name)
	return held > s.inForce[name] && s.refused[name].revision != held
}

// Applied records the result of applying a revision.
func (s *Syncer) Applied(now time.Time, name string, revision uint64, err error) {
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

// InForce returns the revision of a value that was applied last, or 0.
func (s *Syncer) InForce(name string) uint64 { return s.inForce[name] }

// Ready reports whether the daemon may serve, else the reason. Once it may, it always may: what is in force stays.
func (s *Syncer) Ready(now time.Time) (bool, string) {
	if s.ready {
		return true, ""
	}
	if reason := s.notReady(); reason != "" {
		return false, reason
	}
	s.ready = true
	s.cfg.Emit(Event{At: now, Kind: EventReady, Name: IndexName, To: s.inForce[IndexName]})
	return true, ""
}

func (s *Syncer) notReady() string {
	switch {
	case !s.start.done:
		return fmt.Sprintf("asking peers: %d of %d answered", len(s.start.answered), startPeers)
	case !s.read.tried:
		return "asking the platform"
	case len(s.start.answered) == 0 && !s.read.answered:
		return "no peer and no platform answered"
	case s.inForce[IndexName] == 0:
		return "no index is in force"
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
	if n := len(s.ToApply()); n > 0 {
		return fmt.Sprintf("%d values wait to be applied", n)
	}
	if n := s.unread(); n > 0 && !s.read.down {
		return fmt.Sprintf("%d values are newer at the platform", n)
	}
	return ""
}
