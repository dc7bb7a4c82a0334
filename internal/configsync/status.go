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
	// InForce is the revision that stays in force, or 0 for none.
	InForce uint64
	Reason  string
}

// PlatformStatus is what the daemon knows about the platform.
type PlatformStatus struct {
	// Heard is true once the platform answered this daemon or one that it talked to. Age is the
	// time since the last such answer; it means nothing while Heard is false.
	Heard bool
	Age   time.Duration
	// Reader is true while this daemon is an elected reader of the platform.
	Reader bool
	// The fields below come from this daemon's own calls and can be old. Revision is the last
	// one that the platform answered. Down is true while calls fail, Behind while the platform
	// answers a lower revision than the highest held.
	Revision     uint64
	Down, Behind bool
	// LastError is the error of the last call, empty if it succeeded.
	LastError string
	// Unread is the number of values that the platform listed at a higher revision than is
	// held.
	Unread int
}

// Status is a summary for operators.
type Status struct {
	// Ready is true when the daemon may serve; else Reason says why not.
	Ready  bool
	Reason string
	// IndexRevision is the revision of the index in force. IndexValues is the number of values
	// that the newest readable index lists, Held the number of those that are held.
	IndexRevision     uint64
	IndexValues, Held int
	// HighestRevision is the highest revision held of a value other than the VM list.
	HighestRevision uint64
	// Refused lists the refused values by name, Conflicts the names of those with different
	// content at the revision held.
	Refused   []Refused
	Conflicts []string
	Platform  PlatformStatus
	Members   membership.Status
	Counts    Counts
	Bytes     Bytes
}

// Bytes are totals of peer messages since the start of the process, without HTTP headers.
type Bytes struct{ Sent, Received uint64 }

// Status returns the summary. Its Bytes include those of the peer client, if the client counts
// them.
func (r *Runner) Status() Status {
	r.mu.Lock()
	s := r.syncer.status(time.Now())
	r.mu.Unlock()
	s.Bytes = Bytes{r.servedBytes.sent.Load(), r.servedBytes.received.Load()}
	if c, ok := r.opts.Peers.(interface{ Bytes() (uint64, uint64) }); ok {
		sent, received := c.Bytes()
		s.Bytes.Sent += sent
		s.Bytes.Received += received
	}
	return s
}

func (s *Syncer) status(now time.Time) Status {
	st := Status{
		IndexRevision: s.inForce[IndexName], IndexValues: len(s.indexNames), HighestRevision: s.store.HighestRevision(),
		Members: s.members.Status(now), Counts: s.counts,
		Platform: PlatformStatus{
			Reader: s.members.IsReader(now), Revision: s.read.platformRevision, Down: s.read.down, Behind: s.read.behind,
			LastError: s.read.lastError, Unread: s.unreadCount(),
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
	for name := range s.reportedConflicts {
		st.Conflicts = append(st.Conflicts, name)
	}
	slices.Sort(st.Conflicts)
	return st
}
