package runstate

import (
	"net/http"
	"slices"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

// Guards against "not run" without the statement of a backend server, against a status that says so
// without it, and against a refusal that is not believed.
func TestNotRunNeedsAStatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statuses := rapid.SliceOfDistinct(rapid.IntRange(400, 599), rapid.ID)
		c := Convention{Promises: statuses.Draw(t, "promises"), Refusals: statuses.Draw(t, "refusals"), ProvesSuccess: rapid.Bool().Draw(t, "proves")}
		r := Response{
			Status: rapid.OneOf(rapid.IntRange(200, 599), rapid.SampledFrom(append(c.Promises, 421)), rapid.SampledFrom(append(c.Refusals, 200))).Draw(t, "status"),
			Names:  rapid.SampledFrom([]Named{NamesNone, NamesThis, NamesOther}).Draw(t, "names"), StatesNotRun: rapid.Bool().Draw(t, "states"),
			ProvesRun: rapid.Bool().Draw(t, "ran"), OtherServer: rapid.Bool().Draw(t, "other"), Encoded: rapid.Bool().Draw(t, "encoded"), Reused: rapid.Bool().Draw(t, "reused"),
		}
		stated := (r.StatesNotRun || r.Status == http.StatusMisdirectedRequest && r.OtherServer) && !r.ProvesRun &&
			slices.Contains(c.Refusals, r.Status) && (r.Names == NamesThis || r.Names == NamesNone && !r.Reused)
		err := c.Check(r)
		if notRun := err != nil && err.Kind.Answer().Outcome == errkind.NotRun; notRun != stated {
			t.Fatalf("%+v gives %v", r, err)
		}
		if err == nil && (slices.Contains(c.Promises, r.Status) || r.StatesNotRun) {
			t.Fatalf("%+v is passed on", r)
		}
		if err == nil && c.CheckRelayed(r.Status) != nil {
			t.Fatalf("%+v is passed on by a home and not by an entry", r)
		}
	})
}

// Guards against "not run" from a daemon that reports a kind of error under another outcome.
func TestReportedNeedsKindAndOutcome(t *testing.T) {
	for _, c := range []struct {
		kind    errkind.Kind
		outcome string
		want    errkind.Kind
	}{
		{errkind.SlotsFull, "not-run", errkind.SlotsFull},
		{errkind.SlotsFull, "unknown", errkind.Internal},
		{errkind.SlotsFull, "", errkind.Internal},
		{errkind.BackendBroken, "unknown", errkind.BackendBroken},
		{errkind.BackendBroken, "not-run", errkind.BackendBroken},
	} {
		if got := Reported(c.kind, c.outcome); got != c.want {
			t.Errorf("%v under %q counts as %v, want %v", c.kind, c.outcome, got, c.want)
		}
	}
}
