package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxShownViolations limits the violations that a failed check prints.
const maxShownViolations = 8

// cmdCheck implements "check [NAME=N|any...]": it stops all loads and requires that
//
//   - no caller received a truncated response, or one to another request, as if it were correct,
//   - no operation ran more than once,
//   - no caller was told the outcome not-run of a request that ran,
//   - every answered operation ran,
//   - the floors were kept, and
//   - no process ended by itself.
//
// At most N requests of the load NAME may stay unanswered; the default is 0.
func cmdCheck(ts *testscript.TestScript, h *harness, args []string) {
	allowed := map[string]int{}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(value)
		if value == "any" {
			n, err = maxLoadRequests, nil
		}
		ts.Check(err)
		if h.loads[name] == nil {
			ts.Fatalf("no load %s", name)
		}
		allowed[name] = n
	}
	if len(h.loads) == 0 {
		ts.Fatalf("check needs at least one load")
	}
	var violations []string
	names := make([]string, 0, len(h.loads))
	for name, l := range h.loads {
		l.stop()
		names = append(names, name)
	}
	slices.Sort(names)
	executions, err := h.fleet.Executions()
	ts.Check(err)
	for _, name := range names {
		l := h.loads[name]
		c := l.counts()
		ts.Logf("load %s: %d requests answered, %d not answered, %d attempts refused by limits", name, c.answered, c.failed, c.limited)
		if c.answered == 0 {
			violations = append(violations, "load "+name+" had no request answered")
		}
		violations = append(violations, l.violations(ts, executions, allowed[name])...)
	}
	violations = append(violations, h.floorMonitor.stop()...)
	violations = append(violations, h.unexpectedExits()...)
	if len(violations) > 0 {
		ts.Fatalf("%d violations:\n%s", len(violations), strings.Join(violations[:min(len(violations), maxShownViolations)], "\n"))
	}
}

// violations returns the violations in the requests of a load. executions holds the runs of each
// operation at the backend servers, and allowed the number of requests that may stay unanswered.
func (l *load) violations(ts *testscript.TestScript, executions map[string]int, allowed int) []string {
	var list, unanswered []string
	for _, r := range l.records {
		for _, a := range r.attempts {
			if a.violation != "" {
				list = append(list, r.name+": "+a.String())
			}
		}
		if !r.answered {
			unanswered = append(unanswered, fmt.Sprintf("request %s was not answered: %v", r.name, r.attempts))
		}
		if l.kind != kindLookup {
			list = append(list, r.executionViolations(executions[r.name])...)
		}
	}
	for _, text := range unanswered[:min(len(unanswered), 2)] {
		ts.Logf("%s", text)
	}
	if len(unanswered) > allowed {
		list = append(list, fmt.Sprintf("load %s: %d requests were not answered, at most %d may be", l.name, len(unanswered), allowed))
		list = append(list, unanswered...)
	}
	return list
}

// executionViolations compares what the caller of a request was told with how often the request
// ran.
func (r *record) executionViolations(executions int) []string {
	var list []string
	if executions > 1 {
		list = append(list, fmt.Sprintf("request %s ran %d times, at most 1 is allowed: %v", r.name, executions, r.attempts))
	}
	if r.answered && executions == 0 {
		list = append(list, fmt.Sprintf("request %s was answered but did not run: %v", r.name, r.attempts))
	}
	if executions > 0 && r.wasReportedNotRun() {
		list = append(list, fmt.Sprintf("request %s ran although its caller was told not-run: %v", r.name, r.attempts))
	}
	return list
}

// wasReportedNotRun reports whether the caller may conclude from all its attempts that nothing ran.
func (r *record) wasReportedNotRun() bool {
	for _, a := range r.attempts {
		if a.outcome != "not-run" && a.outcome != outcomeUnsent {
			return false
		}
	}
	return true
}

// maxAdmittedTenths is the part of a rate limit, in tenths, that all daemons together may admit:
// nine tenths from shares, and a tenth times limits.DefaultBaseFactor from base allowances. In
// addition each daemon may admit one request at once.
const maxAdmittedTenths = 13

// cmdRate implements "rate PER_SECOND BURST LOAD...": it stops the loads and requires that
// together they were admitted no more often than the contract allows in the time in which they
// ran, and that the limit refused at least one attempt.
func cmdRate(ts *testscript.TestScript, h *harness, args []string) {
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	var begun, ended time.Time
	admitted, refused := 0, 0
	for _, name := range args[2:] {
		l := h.loads[name]
		l.stop()
		if begun.IsZero() || l.startedAt.Before(begun) {
			begun = l.startedAt
		}
		if l.stoppedAt.After(ended) {
			ended = l.stoppedAt
		}
		for _, r := range l.records {
			for _, a := range r.attempts {
				switch {
				case a.isLimited():
					refused++
				case a.outcome != outcomeUnsent:
					admitted++
				}
			}
		}
	}
	window := ended.Sub(begun)
	allowed := rate*maxAdmittedTenths/10*window.Seconds() + burst + float64(len(h.callerAddresses))
	ts.Logf("%d requests admitted in %s, at most %.0f allowed, %d refused", admitted, window.Round(time.Millisecond), allowed, refused)
	if float64(admitted) > allowed || refused == 0 {
		ts.Fatalf("%d requests admitted in %s, at most %.0f allowed, %d refused", admitted, window, allowed, refused)
	}
}
