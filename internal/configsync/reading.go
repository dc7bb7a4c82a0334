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
	// longPollWait is how long the call of a reader waits for a change. It is well below
	// fallbackAfter, so that the age of the last answer reaches the other daemons before they
	// read themselves.
	longPollWait = 10 * time.Second
	// readerCallInterval is the least time between two calls of a reader: 50 calls a second, or
	// 700 for 14 readers, against the 2,000 that the platform allows.
	readerCallInterval = 20 * time.Millisecond
	// fallbackAfter, plus a random part of fallbackJitter, is how long a daemon hears of no
	// answer of the platform before it reads itself.
	fallbackAfter  = 30 * time.Second
	fallbackJitter = 10 * time.Second
	// callBudgetInterval is the time in which a daemon that is not a reader may make one call.
	callBudgetInterval = 10 * time.Second
	// extraStartReads is the number of values that a starting daemon may read beyond its
	// budget: data centres, VMs, index and two more.
	extraStartReads = 5
	// vmListInterval is the time between two reads of the VM list by a reader.
	vmListInterval = 10 * time.Second
	// behindDelay is the wait after an answer that shows a stale or restored platform, after a
	// long poll that returned early without a change, and before the only value left to read is
	// tried again.
	behindDelay = 5 * time.Second
	// minBackoff and maxBackoff bound the wait after failed calls, which doubles each time.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// maxFailedReads is the number of answers for one value, stale or unusable, after which the
	// value is skipped until everything is listed again. It must not hold up the others.
	maxFailedReads = 3
	// relistDelay is the wait until everything is listed again after a value was skipped. A
	// stale platform may answer that a value does not exist, so no answer is final.
	relistDelay = time.Minute
	// idleInterval is the longest wait until a daemon checks again whether it is a reader.
	idleInterval = time.Second
)

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of step.
const (
	// StepWait: there is nothing to read for the time Wait.
	StepWait StepKind = iota
	// StepChanges: list the changes after revision After, and wait up to Wait for one.
	StepChanges
	// StepValue: read the value Name.
	StepValue
	// StepVMs: read the VM list.
	StepVMs
)

// Step is the next call to make to the platform, or a wait.
type Step struct {
	Kind  StepKind
	After uint64
	Wait  time.Duration
	Name  string
}

// readState is what a daemon knows about the platform from its own calls.
type readState struct {
	// cursor is the revision up to which every listed value is held. Unlike the revisions of
	// values it can go down, when the platform was restored. nextCursor replaces it once the
	// listed values are held.
	cursor, nextCursor uint64
	// listAll is true when the next listing must contain all values, not only those changed
	// after cursor.
	listAll bool
	// listedRevisions maps the names to read to the revisions that the platform listed.
	// readOrder holds the same names in the order of reading, failedReads counts the failed
	// reads of each.
	listedRevisions map[string]uint64
	readOrder       []string
	failedReads     map[string]int
	// skipped holds the listed revisions of the values skipped after failed reads, so that each
	// is reported once. Everything is listed again at relistAt.
	skipped  map[string]uint64
	relistAt time.Time

	// nextCallAt, nextBudgetAt and nextVMListAt are the times before which there is no call at
	// all, no call from the budget, and no read of the VM list.
	nextCallAt   time.Time
	nextBudgetAt time.Time
	nextVMListAt time.Time
	// jitter is added to fallbackAfter, backoff is the wait after the last failed call, and
	// startReadsLeft is what remains of extraStartReads.
	jitter         time.Duration
	backoff        time.Duration
	startReadsLeft int

	// attempted is true after the first call, answered after the first that succeeded. down is
	// true while calls fail, behind while the platform answers a lower revision than the
	// highest held.
	attempted, answered, down, behind bool
	platformRevision                  uint64
	lastError                         string
}

// newReadState returns the state before the first call, with a random jitter for the fallback.
func newReadState(now time.Time, random *rand.Rand) readState {
	return readState{
		listAll: true, listedRevisions: map[string]uint64{}, failedReads: map[string]int{}, skipped: map[string]uint64{}, startReadsLeft: extraStartReads,
		nextBudgetAt: now.Add(callBudgetInterval), jitter: time.Duration(random.Int64N(int64(fallbackJitter))),
	}
}

// NextReadStep returns the next call to make, or a wait. The caller makes the call and passes the
// answer to HandleChanges, HandleValue or HandleVMs. Calls from the budget are charged here.
func (s *Syncer) NextReadStep(now time.Time) Step {
	r := &s.read
	if now.Before(r.nextCallAt) {
		return Step{Kind: StepWait, Wait: min(r.nextCallAt.Sub(now), idleInterval)}
	}
	if !r.relistAt.IsZero() && !now.Before(r.relistAt) {
		r.listAll, r.relistAt = true, time.Time{}
	}
	reader := s.members.IsReader(now)
	name := s.nextUnreadName()
	switch {
	case !r.attempted:
		return s.changesStep(0)
	case r.nextVMListAt.IsZero():
		// Until a starting daemon has the VM list, it elects readers among all configured VMs. When
		// the whole fleet starts, dead VMs may be elected. The budgets of the other daemons would
		// then take minutes to read the values.
		r.nextVMListAt = now.Add(vmListInterval)
		return Step{Kind: StepVMs}
	case name != "" && r.startReadsLeft > 0:
		r.startReadsLeft--
		return Step{Kind: StepValue, Name: name}
	case name != "" && (reader || s.takeBudgetedCall(now)):
		return Step{Kind: StepValue, Name: name}
	case reader && !now.Before(r.nextVMListAt):
		r.nextVMListAt = now.Add(vmListInterval)
		return Step{Kind: StepVMs}
	case reader:
		return s.changesStep(longPollWait)
	case s.isPlatformSilent(now) && s.takeBudgetedCall(now):
		return s.changesStep(0)
	}
	return Step{Kind: StepWait, Wait: idleInterval}
}

// changesStep returns a step that lists the changes after the cursor. A listing of all values does
// not wait.
func (s *Syncer) changesStep(wait time.Duration) Step {
	if s.read.listAll {
		return Step{Kind: StepChanges}
	}
	return Step{Kind: StepChanges, After: s.read.cursor, Wait: wait}
}

// isPlatformSilent reports whether this daemon has heard of no answer of the platform for so long
// that it must read itself.
func (s *Syncer) isPlatformSilent(now time.Time) bool {
	age, known := s.PlatformAge(now)
	return !known || age > fallbackAfter+s.read.jitter
}

// takeBudgetedCall takes one call from the budget of a daemon that is not a reader. It returns
// false when the budget is used up.
func (s *Syncer) takeBudgetedCall(now time.Time) bool {
	if now.Before(s.read.nextBudgetAt) {
		return false
	}
	s.read.nextBudgetAt = now.Add(callBudgetInterval)
	return true
}

// nextUnreadName returns the next value to read. When every listed value is held, it advances the
// cursor and returns "".
func (s *Syncer) nextUnreadName() string {
	r := &s.read
	for len(r.readOrder) > 0 {
		name := r.readOrder[0]
		if wanted, ok := r.listedRevisions[name]; ok && s.store.Revision(name) < wanted {
			return name
		}
		s.dequeueRead(name)
	}
	if !r.listAll {
		r.cursor = r.nextCursor
	}
	return ""
}

// dequeueRead removes a value from those to read.
func (s *Syncer) dequeueRead(name string) {
	r := &s.read
	delete(r.listedRevisions, name)
	delete(r.failedReads, name)
	r.readOrder = slices.DeleteFunc(r.readOrder, func(n string) bool { return n == name })
}

// unreadCount returns the number of values that the platform listed at a higher revision than is
// held.
func (s *Syncer) unreadCount() int {
	n := 0
	for name, wanted := range s.read.listedRevisions {
		if s.store.Revision(name) < wanted {
			n++
		}
	}
	return n
}

// HandleChanges processes the answer to a StepChanges that was sent at the time asked.
func (s *Syncer) HandleChanges(now time.Time, step Step, asked time.Time, changes platform.Changes, err error) {
	r := &s.read
	if !s.recordCall(now, err) {
		return
	}
	s.recordPlatformRevision(now, changes.Revision)
	if changes.Revision < step.After {
		// A restored platform can list revisions below the cursor that are newer than those held of
		// the same values, so everything is listed again.
		r.listAll = true
		r.nextCallAt = now.Add(behindDelay)
		return
	}
	r.listAll = false
	r.nextCursor = changes.Revision
	for _, c := range changes.Changed {
		if validName(c.Name) && c.Revision > s.store.Revision(c.Name) && c.Revision > r.listedRevisions[c.Name] {
			if _, queued := r.listedRevisions[c.Name]; !queued {
				r.readOrder = append(r.readOrder, c.Name)
			}
			r.listedRevisions[c.Name] = c.Revision
		}
	}
	s.prioritizeReads()
	if len(changes.Changed) == 0 && step.Wait > 0 && now.Sub(asked) < step.Wait/2 {
		r.nextCallAt = now.Add(behindDelay)
	}
}

// prioritizeReads puts first what membership and readiness need. The rest is in random order, so
// that the readers of a fleet that holds nothing read different values first and supply each other.
func (s *Syncer) prioritizeReads() {
	order := s.read.readOrder
	slices.Sort(order)
	s.cfg.Random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return readPriority(a) - readPriority(b) })
}

func readPriority(name string) int {
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

// recordPlatformRevision emits an event when the platform falls behind the highest revision held,
// and when it has caught up.
func (s *Syncer) recordPlatformRevision(now time.Time, revision uint64) {
	r := &s.read
	r.platformRevision = revision
	highest := s.store.HighestRevision()
	if behind := revision < highest; behind != r.behind {
		r.behind = behind
		event := Event{At: now, Kind: EventPlatformCaughtUp, From: highest, To: revision, Source: SourcePlatform}
		if behind {
			event.Kind, event.Reason = EventPlatformBehind, "the platform is stale or was restored from a backup; the configuration in force stays"
		}
		s.cfg.Emit(event)
	}
}

// HandleValue processes the answer to a StepValue and returns the number of new values stored.
func (s *Syncer) HandleValue(now time.Time, step Step, v platform.Value, err error) int {
	if isValueError(err) {
		s.recordCall(now, nil)
		s.recordFailedRead(now, step.Name, err.Error())
		return 0
	}
	if !s.recordCall(now, err) {
		return 0
	}
	stored := s.Receive(now, SourcePlatform, []Value{{Revision: Revision{Name: v.Name, Number: v.Revision}, Data: compress.Pack(v.Data)}})
	if wanted := s.read.listedRevisions[step.Name]; s.store.Revision(step.Name) < wanted {
		s.recordFailedRead(now, step.Name, fmt.Sprintf("the platform listed revision %d but answered with revision %d", wanted, v.Revision))
	}
	return stored
}

// recordFailedRead moves a value to the end of the read order. After maxFailedReads it skips the
// value until everything is listed again.
func (s *Syncer) recordFailedRead(now time.Time, name, reason string) {
	r := &s.read
	wanted, failures := r.listedRevisions[name], r.failedReads[name]+1
	s.dequeueRead(name)
	if failures < maxFailedReads {
		r.listedRevisions[name], r.failedReads[name] = wanted, failures
		r.readOrder = append(r.readOrder, name)
		if len(r.readOrder) == 1 {
			r.nextCallAt = now.Add(behindDelay)
		}
		return
	}
	r.relistAt = now.Add(relistDelay)
	if r.skipped[name] != wanted {
		r.skipped[name] = wanted
		s.cfg.Emit(Event{At: now, Kind: EventRefused, Name: name, From: s.store.Revision(name), To: wanted, Source: SourcePlatform, Reason: reason})
	}
}

// isValueError reports whether an error is about the value requested and not about the platform.
func isValueError(err error) bool {
	return platform.IsKind(err, platform.NotFound) || platform.IsKind(err, platform.TooLarge) || platform.IsKind(err, platform.Malformed)
}

// HandleVMs processes the answer to a StepVMs, stores the list as the value VMListName, and returns
// the number of new values stored.
func (s *Syncer) HandleVMs(now time.Time, list platform.VMList, err error) int {
	if !s.recordCall(now, err) || list.Revision == 0 {
		return 0
	}
	slices.SortFunc(list.VMs, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	content, err := json.Marshal(list.VMs)
	if err != nil || list.Revision <= s.store.Revision(VMListName) {
		return 0
	}
	return s.Receive(now, SourcePlatform, []Value{{Revision: Revision{Name: VMListName, Number: list.Revision}, Data: compress.Pack(content)}})
}

// recordCall records whether a call to the platform succeeded, sets the time of the next one, and
// returns true for success.
func (s *Syncer) recordCall(now time.Time, err error) bool {
	r := &s.read
	r.attempted = true
	if err != nil {
		r.lastError = err.Error()
		r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
		r.nextCallAt = now.Add(r.backoff)
		if !r.down {
			r.down = true
			s.cfg.Emit(Event{At: now, Kind: EventPlatformDown, Source: SourcePlatform, Reason: r.lastError})
		}
		return false
	}
	r.answered = true
	r.lastError = ""
	r.backoff = 0
	r.nextCallAt = now.Add(readerCallInterval)
	s.RecordPlatformAge(now, 0)
	if r.down {
		r.down = false
		s.cfg.Emit(Event{At: now, Kind: EventPlatformUp, Source: SourcePlatform})
	}
	return true
}

// ParseVMList decodes the content of the value VMListName. It returns an error for a state other
// than "live" and "leaving".
func ParseVMList(content []byte) (map[string]membership.State, error) {
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
			return nil, fmt.Errorf("VM list: VM %q has the unknown state %q", vm.ID, vm.State)
		}
	}
	return list, nil
}
