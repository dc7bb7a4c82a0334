package entry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// useInterval is the time between two log lines about the use by organisations.
	useInterval = time.Minute
	// maxUseNames bounds the organisations that are counted by name in one interval. Further ones are
	// only in the totals.
	maxUseNames = 1024
	// loggedUseNames is the number of organisations in a log line.
	loggedUseNames = 5
)

// useCount counts the requests of an organisation, and how many of them ended with an error of the
// system.
type useCount struct{ requests, refused uint64 }

// organisationUse counts the requests of organisations. Metrics have only the totals, because the
// number of organisations is not bounded; the log names those with the most requests. It is safe for
// concurrent use.
type organisationUse struct {
	mu    sync.Mutex
	total useCount
	// since is the begin of the interval, at which the total was atSince. byName counts from there.
	since   time.Time
	atSince useCount
	byName  map[string]*useCount
}

// count counts a request that ended.
func (u *organisationUse) count(name string, refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	of := u.byName[name]
	if of == nil && len(u.byName) < maxUseNames {
		if u.byName == nil {
			u.byName = map[string]*useCount{}
		}
		of = &useCount{}
		u.byName[name] = of
	}
	for _, c := range []*useCount{&u.total, of} {
		if c == nil {
			continue
		}
		c.requests++
		if refused {
			c.refused++
		}
	}
}

// totals returns the counts since the start.
func (u *organisationUse) totals() (requests, refused uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total.requests, u.total.refused
}

// next begins a new interval if the present one is over. It returns the counts of that one, the number
// of organisations, and the counts of those with the most requests as text. ok is false if it is not
// over, or had no requests.
func (u *organisationUse) next(now time.Time) (sum useCount, organisations int, most string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.since) < useInterval {
		return useCount{}, 0, "", false
	}
	sum = useCount{u.total.requests - u.atSince.requests, u.total.refused - u.atSince.refused}
	names := slices.SortedFunc(maps.Keys(u.byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(u.byName[b].requests, u.byName[a].requests), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), loggedUseNames)] {
		parts = append(parts, fmt.Sprintf("%q: %d, %d refused", name, u.byName[name].requests, u.byName[name].refused))
	}
	u.since, u.atSince, u.byName = now, u.total, nil
	return sum, len(names), strings.Join(parts, "; "), sum.requests > 0
}

// OrganisationUse returns the requests of organisations since the start that have ended, and how many
// of them ended with an error of the system.
func (e *Entry) OrganisationUse() (requests, refused uint64) { return e.use.totals() }

// logUse logs the use by organisations once per useInterval.
func (e *Entry) logUse(now time.Time) {
	if sum, names, most, ok := e.use.next(now); ok {
		e.log.Info("The use by organisations.", "requests", sum.requests, "refused", sum.refused, "organisations", names, "most", most)
	}
}
