package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxShown bounds the violations that a failed check prints.
const maxShown = 8

// cmdCheck stops all loads and requires that no caller got a partial or foreign answer, that nothing ran more than once, that
// nobody was told not-run of a request that ran, that every answered operation ran, that the floor was held, and that no process
// ended by itself. At most N requests of a load may stay without an answer: check [NAME=N|any...], default 0.
func cmdCheck(ts *testscript.TestScript, w *world, args []string) {
	allowed := map[string]int{}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(value)
		if value == "any" {
			n, err = maxRecords, nil
		}
		ts.Check(err)
		if w.loads[name] == nil {
			ts.Fatalf("no load %s", name)
		}
		allowed[name] = n
	}
	if len(w.loads) == 0 {
		ts.Fatalf("there is no load to check")
	}
	var violations []string
	names := make([]string, 0, len(w.loads))
	for name, l := range w.loads {
		l.stop()
		names = append(names, name)
	}
	slices.Sort(names)
	executions, err := w.fleet.Executions()
	ts.Check(err)
	for _, name := range names {
		l := w.loads[name]
		c := l.counts()
		ts.Logf("load %s: %d answered, %d not answered, %d sends refused by limits", name, c.answered, c.failed, c.limited)
		if c.answered == 0 {
			violations = append(violations, "load "+name+" got no answer at all")
		}
		violations = append(violations, l.violations(ts, executions, allowed[name])...)
	}
	violations = append(violations, w.floor.stop()...)
	violations = append(violations, w.endedBySelf()...)
	if len(violations) > 0 {
		ts.Fatalf("%d violations:\n%s", len(violations), strings.Join(violations[:min(len(violations), maxShown)], "\n"))
	}
}

// violations returns what the requests of a load show, with the executions that the backend servers counted.
func (l *load) violations(ts *testscript.TestScript, executions map[string]int, allowed int) []string {
	var list, unanswered []string
	for _, r := range l.records {
		for _, a := range r.attempts {
			if a.fault != "" {
				list = append(list, r.name+": "+a.String())
			}
		}
		if !r.answered {
			unanswered = append(unanswered, fmt.Sprintf("%s was not answered: %v", r.name, r.attempts))
		}
		if l.kind != kindLookup {
			list = append(list, r.misruns(executions[r.name])...)
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

// misruns compares what the caller was told of one operation with how often it ran.
func (r *record) misruns(ran int) []string {
	var list []string
	if ran > 1 {
		list = append(list, fmt.Sprintf("%s ran %d times: %v", r.name, ran, r.attempts))
	}
	if r.answered && ran == 0 {
		list = append(list, fmt.Sprintf("%s was answered and did not run: %v", r.name, r.attempts))
	}
	if ran > 0 && r.toldNotRun() {
		list = append(list, fmt.Sprintf("%s ran and its caller was told not-run: %v", r.name, r.attempts))
	}
	return list
}

// toldNotRun reports that the caller may conclude from its sends that nothing ran.
func (r *record) toldNotRun() bool {
	for _, a := range r.attempts {
		if a.outcome != "not-run" && a.outcome != outcomeUnsent {
			return false
		}
	}
	return true
}

// Shares and base allowances together admit up to 13 tenths of a rate: nine tenths from shares, and a tenth times
// limits.DefaultBaseFactor from base allowances. Each daemon may add one request at once.
const admittedTenths = 13

// cmdRate requires that the loads together were admitted no more often than a contract allows in the time in which they ran, and
// that the limit refused something: rate PER_SECOND BURST LOAD...
func cmdRate(ts *testscript.TestScript, w *world, args []string) {
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	var begun, ended time.Time
	admitted, refused := 0, 0
	for _, name := range args[2:] {
		l := w.loads[name]
		l.stop()
		if begun.IsZero() || l.begun.Before(begun) {
			begun = l.begun
		}
		if l.ended.After(ended) {
			ended = l.ended
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
	allowed := rate*admittedTenths/10*window.Seconds() + burst + float64(len(w.callers))
	ts.Logf("%d requests admitted in %s, at most %.0f allowed, %d refused", admitted, window.Round(time.Millisecond), allowed, refused)
	if float64(admitted) > allowed || refused == 0 {
		ts.Fatalf("%d requests admitted in %s, at most %.0f allowed, %d refused", admitted, window, allowed, refused)
	}
}
