package configsync

import (
	"slices"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
)

// Refused is a value that is held but could not be applied.
type Refused struct {
	Name     string
	Revision uint64
	// InForce is the revision that stays in force, or 0.
	InForce uint64
	Reason  string
}

// PlatformStatus is what the daemon knows about the platform.
type PlatformStatus struct {
	// Heard is false when neither this daemon nor one that it talked to ever got an answer. Age is the time since the last.
	Heard bool
	Age   time.Duration
	// Reader is true while this daemon watches the platform by election.
	Reader bool
	// The rest is from this daemon's own calls and can be old. Revision is the revision that the platform answered last.
	Revision     uint64
	Down, Behind bool
	LastError    string
	// Unread counts the values listed by the platform at a higher revision than is held.
	Unread int
}

// Status is a summary for operators.
type Status struct {
	Ready  bool
	Reason string
	// IndexRevision and IndexValues describe the index in force and the number of values that it lists; Held counts those held.
	IndexRevision     uint64
	IndexValues, Held int
	HighestRevision   uint64
	Refused           []Refused
	Conflicts         []string
	Platform          PlatformStatus
	Members           membership.Status
	Counts            Counts
	Bytes             Bytes
}

// Bytes are totals of peer messages, without headers.
type Bytes struct{ Sent, Received uint64 }

// Status returns the summary.
func (r *Runner) Status() Status {
	r.mu.Lock()
	s := r.syncer.status(time.Now())
	r.mu.Unlock()
	s.Bytes = Bytes{r.served.sent.Load(), r.served.received.Load()}
	if c, ok := r.opts.Peers.(interface{ Bytes() (uint64, uint64) }); ok {
		sent, received := c.Bytes()
		s.Bytes.Sent += sent
		s.Bytes.Received += received
	}
	return s
}

func (s *Syncer) status(now time.Time) Status {
	st := Status{
		IndexRevision: s.inForce[IndexName], IndexValues: len(s.indexNames), HighestRevision: s.store.Highest(),
		Members: s.members.Status(now), Counts: s.counts,
		Platform: PlatformStatus{
			Reader: s.members.IsReader(now), Revision: s.read.platformRevision, Down: s.read.down, Behind: s.read.behind,
			LastError: s.read.lastError, Unread: s.unread(),
		},
	}
	st.Ready, st.Reason = s.Ready(now)
	st.Platform.Age, st.Platform.Heard = s.PlatformAge(now)
	for _, name := range s.indexNames {
		if s.store.Revision(name) > 0 {
			st.Held++
		}
	}
	for name, refused := range s.refused {
		st.Refused = append(st.Refused, Refused{name, refused.revision, s.inForce[name], refused.reason})
	}
	slices.SortFunc(st.Refused, func(a, b Refused) int { return strings.Compare(a.Name, b.Name) })
	for name := range s.conflicts {
		st.Conflicts = append(st.Conflicts, name)
	}
	slices.Sort(st.Conflicts)
	return st
}
