package configsync

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/platform"
)

const (
	// watchWait is the time that a reader's call waits for a change. It is well below fallbackAfter, so that the age of
	// the last answer reaches the other daemons before they read by themselves.
	watchWait = 10 * time.Second
	// readerPause is the least time between two calls of a reader: 50 calls a second, 700 for 14 readers, against the
	// 2,000 that the platform allows.
	readerPause = 20 * time.Millisecond
	// fallbackAfter is how long a daemon hears of no answer of the platform before it reads by itself, plus up to fallbackJitter.
	fallbackAfter  = 30 * time.Second
	fallbackJitter = 10 * time.Second
	// budgetInterval is the time in which a daemon that is not a reader earns one call.
	budgetInterval = 10 * time.Second
	// startCalls are the values that a starting daemon may read beyond its budget: data centres, VMs, index and two more.
	startCalls = 5
	// listInterval is the time between two reads of the list of VMs by a reader.
	listInterval = 10 * time.Second
	// behindPause is the wait after an answer that shows a stale or restored platform, or that came early without a change.
	behindPause = 5 * time.Second
	// firstBackoff and lastBackoff bound the doubling wait after failed calls.
	firstBackoff = time.Second
	lastBackoff  = 16 * time.Second
	// maxBadReads of one value, stale or not usable, before it is left to a later list. It must not hold up the others.
	maxBadReads = 3
	// relistAfter is the wait until all is listed again after a value was left. A stale platform may say that it has no such
	// value, so no answer is final.
	relistAfter = time.Minute
	// idlePause is the longest time until a daemon looks again whether it is a reader.
	idlePause = time.Second
)

// StepKind is the kind of a reading step.
type StepKind uint8

// The kinds of step.
const (
	// StepWait: nothing to read for Wait.
	StepWait StepKind = iota
	// StepChanges: list the changes after After, waiting for one up to Wait.
	StepChanges
	// StepValue: read the value Name.
	StepValue
	// StepVMs: read the list of VMs.
	StepVMs
)

// Step is what to read next from the platform.
type Step struct {
	Kind  StepKind
	After uint64
	Wait  time.Duration
	Name  string
}

// readState is what a daemon knows about the platform. cursor is the revision up to which everything is held; it can go
// down with the platform, unlike the revisions of values.
type readState struct {
	cursor, target uint64
	listAll        bool
	// toRead maps names to the revisions that the platform listed, order is the order of reading.
	toRead   map[string]uint64
	order    []string
	badReads map[string]int
	// left holds the revisions of the values left to a later list, at relistAt.
	left     map[string]uint64
	relistAt time.Time

	nextCall   time.Time
	nextBudget time.Time
	nextList   time.Time
	jitter     time.Duration
	backoff    time.Duration
	startCalls int

	tried, answered, down, behind bool
	platformRevision              uint64
	lastError                     string
}

func newReadState(now time.Time, random *rand.Rand) readState {
	return readState{
		listAll: true, toRead: map[string]uint64{}, badReads: map[string]int{}, left: map[string]uint64{}, startCalls: startCalls,
		nextBudget: now.Add(budgetInterval), jitter: time.Duration(random.Int64N(int64(fallbackJitter))),
	}
}

// NextRead returns the next step of reading.
func (s *Syncer) NextRead(now time.Time) Step {
	r := &s.read
	if now.Before(r.nextCall) {
		return Step{Kind: StepWait, Wait: min(r.nextCall.Sub(now), idlePause)}
	}
	if !r.relistAt.IsZero() && !now.Before(r.relistAt) {
		r.listAll, r.relistAt = true, time.Time{}
	}
	reader := s.members.IsReader(now)
	name := s.nextName()
	switch {
	case !r.tried:
		return s.changesStep(0)
	case r.nextList.IsZero():
		// A starting daemon elects readers among all configured VMs until it has the list. When the whole fleet starts, dead ones
		// may be elected, and nobody would read the values within the budget of the others for minutes.
		r.nextList = now.Add(listInterval)
		return Step{Kind: StepVMs}
	case name != "" && r.startCalls > 0:
		r.startCalls--
		return Step{Kind: StepValue, Name: name}
	case name != "" && (reader || s.spend(now)):
		return Step{Kind: StepValue, Name: name}
	case reader && !now.Before(r.nextList):
		r.nextList = now.Add(listInterval)
		return Step{Kind: StepVMs}
	case reader:
		return s.changesStep(watchWait)
	case s.hearsNothing(now) && s.spend(now):
		return s.changesStep(0)
	}
	return Step{Kind: StepWait, Wait: idlePause}
}

func (s *Syncer) changesStep(wait time.Duration) Step {
	if s.read.listAll {
		return Step{Kind: StepChanges}
	}
	return Step{Kind: StepChanges, After: s.read.cursor, Wait: wait}
}

func (s *Syncer) hearsNothing(now time.Time) bool {
	age, ever := s.PlatformAge(now)
	return !ever || age > fallbackAfter+s.read.jitter
}

// spend takes one call from the budget of a daemon that is not a reader.
func (s *Syncer) spend(now time.Time) bool {
	if now.Before(s.read.nextBudget) {
		return false
	}
	s.read.nextBudget = now.Add(budgetInterval)
	return true
}

// nextName returns the next value to read, or "" when all that the platform listed is held; then the cursor moves.
func (s *Syncer) nextName() string {
	r := &s.read
	for len(r.order) > 0 {
		name := r.order[0]
		if wanted, ok := r.toRead[name]; ok && s.store.Revision(name) < wanted {
			return name
		}
		s.dropRead(name)
	}
	if !r.listAll {
		r.cursor = r.target
	}
	return ""
}

func (s *Syncer) dropRead(name string) {
	r := &s.read
	delete(r.toRead, name)
	delete(r.badReads, name)
	r.order = slices.DeleteFunc(r.order, func(n string) bool { return n == name })
}

// unread counts the values that the platform listed at a higher revision than is held.
func (s *Syncer) unread() int {
	n := 0
	for name, wanted := range s.read.toRead {
		if s.store.Revision(name) < wanted {
			n++
		}
	}
	return n
}

// ChangesDone takes the answer to StepChanges.
func (s *Syncer) ChangesDone(now time.Time, step Step, asked time.Time, changes platform.Changes, err error) {
	r := &s.read
	if !s.callDone(now, err) {
		return
	}
	s.noteRevision(now, changes.Revision)
	if changes.Revision < step.After {
		// What the platform lists after a restore can be newer than what is held of other values, so all is listed again.
		r.listAll = true
		r.nextCall = now.Add(behindPause)
		return
	}
	r.listAll = false
	r.target = changes.Revision
	for _, c := range changes.Changed {
		if validName(c.Name) && c.Revision > s.store.Revision(c.Name) && c.Revision > r.toRead[c.Name] {
			if _, queued := r.toRead[c.Name]; !queued {
				r.order = append(r.order, c.Name)
			}
			r.toRead[c.Name] = c.Revision
		}
	}
	s.sortReads()
	if len(changes.Changed) == 0 && step.Wait > 0 && now.Sub(asked) < step.Wait/2 {
		r.nextCall = now.Add(behindPause)
	}
}

// sortReads puts what membership and readiness need first. The rest is in random order, so that the readers of an empty
// fleet read different values first and supply each other.
func (s *Syncer) sortReads() {
	order := s.read.order
	slices.Sort(order)
	s.cfg.Random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return readRank(a) - readRank(b) })
}

func readRank(name string) int {
	switch name {
	case DataCentresName:
		return 0
	case VMsName:
		return 1
	case IndexName:
		return 2
	}
	return 3
}

// noteRevision reports when the platform falls behind what is held, and when it has caught up.
func (s *Syncer) noteRevision(now time.Time, revision uint64) {
	r := &s.read
	r.platformRevision = revision
	highest := s.store.Highest()
	if behind := revision < highest; behind != r.behind {
		r.behind = behind
		event := Event{At: now, Kind: EventPlatformCaughtUp, From: highest, To: revision, Source: SourcePlatform}
		if behind {
			event.Kind, event.Reason = EventPlatformBehind, "stale, or restored from a backup; what is in force stays"
		}
		s.cfg.Emit(event)
	}
}

// ValueDone takes the answer to StepValue and returns the number of new values stored.
func (s *Syncer) ValueDone(now time.Time, step Step, v platform.Value, err error) int {
	if concernsValue(err) {
		s.callDone(now, nil)
		s.badRead(now, step.Name, err.Error())
		return 0
	}
	if !s.callDone(now, err) {
		return 0
	}
	stored := s.Receive(now, SourcePlatform, []Value{{Revision: Revision{Name: v.Name, Revision: v.Revision}, Data: compress.Pack(v.Data)}})
	if wanted := s.read.toRead[step.Name]; s.store.Revision(step.Name) < wanted {
		s.badRead(now, step.Name, fmt.Sprintf("the platform listed revision %d and answers %d", wanted, v.Revision))
	}
	return stored
}

// badRead puts a value at the end of the order, and leaves it to a later list when that happens again and again.
func (s *Syncer) badRead(now time.Time, name, reason string) {
	r := &s.read
	wanted, bad := r.toRead[name], r.badReads[name]+1
	s.dropRead(name)
	if bad < maxBadReads {
		r.toRead[name], r.badReads[name] = wanted, bad
		r.order = append(r.order, name)
		if len(r.order) == 1 {
			r.nextCall = now.Add(behindPause)
		}
		return
	}
	r.relistAt = now.Add(relistAfter)
	if r.left[name] != wanted {
		r.left[name] = wanted
		s.cfg.Emit(Event{At: now, Kind: EventRefused, Name: name, From: s.store.Revision(name), To: wanted, Source: SourcePlatform, Reason: reason})
	}
}

// concernsValue reports whether an error is about the value rather than the platform.
func concernsValue(err error) bool {
	return platform.IsKind(err, platform.NotFound) || platform.IsKind(err, platform.TooLarge) || platform.IsKind(err, platform.Malformed)
}

// VMsDone takes the answer to StepVMs and returns the number of new values stored.
func (s *Syncer) VMsDone(now time.Time, list platform.VMList, err error) int {
	if !s.callDone(now, err) || list.Revision == 0 {
		return 0
	}
	slices.SortFunc(list.VMs, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	content, err := json.Marshal(list.VMs)
	if err != nil || list.Revision <= s.store.Revision(ListName) {
		return 0
	}
	return s.Receive(now, SourcePlatform, []Value{{Revision: Revision{Name: ListName, Revision: list.Revision}, Data: compress.Pack(content)}})
}

// callDone keeps account of the platform's health and reports whether the call succeeded.
func (s *Syncer) callDone(now time.Time, err error) bool {
	r := &s.read
	r.tried = true
	if err != nil {
		r.lastError = err.Error()
		r.backoff = min(max(r.backoff*2, firstBackoff), lastBackoff)
		r.nextCall = now.Add(r.backoff)
		if !r.down {
			r.down = true
			s.cfg.Emit(Event{At: now, Kind: EventPlatformDown, Source: SourcePlatform, Reason: r.lastError})
		}
		return false
	}
	r.answered = true
	r.backoff = 0
	r.nextCall = now.Add(readerPause)
	s.HeardOfPlatform(now, 0)
	if r.down {
		r.down = false
		s.cfg.Emit(Event{At: now, Kind: EventPlatformUp, Source: SourcePlatform})
	}
	return true
}

// ParseList reads the content of the value ListName.
func ParseList(content []byte) (map[string]membership.State, error) {
	var vms []platform.VM
	if err := json.Unmarshal(content, &vms); err != nil {
		return nil, err
	}
	list := make(map[string]membership.State, len(vms))
	for _, vm := range vms {
		switch vm.State {
		case "live":
			list[vm.ID] = membership.Live
		case "leaving":
			list[vm.ID] = membership.Leaving
		default:
			return nil, fmt.Errorf("VM %q has the unknown state %q", vm.ID, vm.State)
		}
	}
	return list, nil
}
