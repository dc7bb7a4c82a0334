package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/audit"
	"github.com/cowsliprun/cowsliprun/internal/pause"
)

// followWait is how long a daemon holds a question for new entries.
const followWait = 10 * time.Second

var auditCommand = command{
	name:    "audit",
	args:    "[--follow] [FLAGS]",
	summary: "Show the audit trail of daemons: who or what changed what, accepted or refused, and why.",
	details: "A daemon keeps its last 4096 entries in memory, and writes all to standard output as JSON lines.\n" +
		"Filters look for the text anywhere in the field, whatever its case. With several daemons the entries are ordered by\n" +
		"time. With --follow, JSON is one object a line, and a daemon that does not respond is asked again.\n\n" + targetDetails,
	examples: []string{
		"cowslipctl audit                                        # the daemon on this VM",
		"cowslipctl audit --fleet --action mode --subject portal-1  # what happened to a backend server",
		"cowslipctl audit --fleet --actor operator               # what operators did",
		"cowslipctl audit --refused --last 1h                    # what was refused in the last hour",
		"cowslipctl audit --follow --output json                 # for scripts, until interrupted",
	},
	setup: func(p *flaggy.Parser) runFunc {
		t := new(targetFlags)
		t.register(p)
		f := new(auditFilter)
		p.Bool(&f.follow, "f", "follow", "wait for new entries until interrupted")
		p.String(&f.action, "", "action", "only entries with this text in the action, such as mode, configuration, drain, override")
		p.String(&f.subject, "", "subject", "only entries with this text in the subject")
		p.String(&f.actor, "", "actor", "only entries with this text in the actor, such as operator, platform, detector")
		p.Bool(&f.refused, "", "refused", "only changes that were refused")
		p.Duration(&f.last, "", "last", "only entries of this time span until now, such as 1h")
		p.Int(&f.count, "", "count", "only the newest entries, this many; with --follow: end after this many")
		return func(out *output, args []string) int { return runAudit(out, args, t, f) }
	},
}

type auditFilter struct {
	follow, refused        bool
	action, subject, actor string
	last                   time.Duration
	count                  int
}

func (f *auditFilter) matches(e audit.Entry, now time.Time) bool {
	has := func(text, part string) bool { return strings.Contains(strings.ToLower(text), strings.ToLower(part)) }
	return has(e.Action, f.action) && has(e.Subject, f.subject) && has(e.Actor, f.actor) &&
		(!f.refused || !e.Accepted) && (f.last == 0 || now.Sub(e.Time) <= f.last)
}

type auditResult struct {
	Entries    []audit.Entry `json:"entries"`
	NotReached []failure     `json:"notReached"`
}

func runAudit(out *output, args []string, t *targetFlags, f *auditFilter) int {
	if len(args) > 0 || f.count < 0 || f.last < 0 {
		return out.usage("filters are flags, and --count and --last are not negative")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	c.warn(out)
	if f.follow {
		return followAudit(ctx, out, c.targets, t.timeout, f)
	}
	pages, failures, status := splitReplies(out, ask(ctx, c.targets, t.timeout, func(ctx context.Context, c *client) (admin.AuditPage, error) {
		return auditPage(ctx, c, 0, 0)
	}))
	result := auditResult{[]audit.Entry{}, failures}
	now := time.Now()
	for _, page := range pages {
		for _, e := range page.Entries {
			if f.matches(e, now) {
				result.Entries = append(result.Entries, e)
			}
		}
	}
	slices.SortStableFunc(result.Entries, func(a, b audit.Entry) int { return a.Time.Compare(b.Time) })
	if f.count > 0 && len(result.Entries) > f.count {
		result.Entries = result.Entries[len(result.Entries)-f.count:]
	}
	out.result(result, func(w io.Writer) {
		for _, e := range result.Entries {
			writeEntry(w, e)
		}
	})
	return status
}

func auditPage(ctx context.Context, c *client, from uint64, wait time.Duration) (page admin.AuditPage, err error) {
	return page, c.getJSON(ctx, fmt.Sprintf("/v1/audit?from=%d&wait=%s", from, wait), &page)
}

// followAudit writes entries as they come. It ends after f.count entries, or when the process is interrupted.
func followAudit(ctx context.Context, out *output, list []target, timeout time.Duration, f *auditFilter) int {
	type news struct {
		entries []audit.Entry
		line    string
	}
	incoming := make(chan news)
	for _, t := range list {
		reader := &trailReader{client: newClient(t.address, timeout+followWait)}
		go func() {
			for ctx.Err() == nil {
				entries, line := reader.next(ctx)
				select {
				case incoming <- news{entries, line}:
				case <-ctx.Done():
				}
			}
		}()
	}
	written := 0
	for n := range incoming {
		if n.line != "" {
			out.fail(StatusOK, "%s", n.line)
		}
		for _, e := range n.entries {
			if !f.matches(e, time.Now()) {
				continue
			}
			if err := out.entry(e); err != nil {
				return out.fail(StatusUsage, "cannot write: %v", err)
			}
			if written++; written == f.count {
				return StatusOK
			}
		}
	}
	return StatusOK
}

// trailReader reads the trail of one daemon page by page.
type trailReader struct {
	client      *client
	incarnation uint64
	from        uint64
	down        bool
}

// next returns the next entries. Line tells of lost entries, of a daemon that was started again, or of one that does not
// respond; it is empty otherwise.
func (r *trailReader) next(ctx context.Context) (entries []audit.Entry, line string) {
	page, err := auditPage(ctx, r.client, r.from, followWait)
	if err != nil {
		pause.For(ctx, time.Second)
		if r.down {
			return nil, ""
		}
		r.down = true
		return nil, err.Error()
	}
	r.down = false
	if r.incarnation != 0 && page.Incarnation != r.incarnation {
		r.incarnation, r.from = 0, 0
		return nil, "the daemon of " + page.VM + " was started again; its trail begins anew"
	}
	first := r.incarnation == 0
	r.incarnation = page.Incarnation
	if len(page.Entries) > 0 && page.Entries[0].Sequence > r.from && !first {
		line = fmt.Sprintf("%d entries of %s were lost, because more came than its trail holds", page.Entries[0].Sequence-r.from, page.VM)
	}
	r.from = page.Next
	return page.Entries, line
}

// entry writes one entry of a trail that is followed.
func (o *output) entry(e audit.Entry) error {
	if o.format != formatJSON {
		return writeEntry(o.Out, e)
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = o.Out.Write(append(line, '\n'))
	return err
}

func writeEntry(w io.Writer, e audit.Entry) error {
	verdict := "accepted"
	if !e.Accepted {
		verdict = "REFUSED"
	}
	text := fmt.Sprintf("%s  %-10s %-8s  %-14s  %s", e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.VM, verdict, e.Action, e.Actor)
	if e.Subject != "" {
		text += ": " + e.Subject
	}
	if e.From != "" || e.To != "" {
		text += fmt.Sprintf(", %s to %s", orNone(e.From), orNone(e.To))
	}
	if e.Reason != "" {
		text += " (" + e.Reason + ")"
	}
	_, err := fmt.Fprintln(w, text)
	return err
}
