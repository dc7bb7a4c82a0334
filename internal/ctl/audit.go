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

// followPollWait is how long a daemon holds a request open until it has new entries (long polling).
const followPollWait = 10 * time.Second

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

// auditFilter holds the flags of the audit command, except those that name daemons.
type auditFilter struct {
	follow, refused        bool
	action, subject, actor string
	last                   time.Duration
	count                  int
}

// matches reports whether an entry passes all filters. Filters by text ignore case.
func (f *auditFilter) matches(e audit.Entry, now time.Time) bool {
	contains := func(text, part string) bool { return strings.Contains(strings.ToLower(text), strings.ToLower(part)) }
	return contains(e.Action, f.action) && contains(e.Subject, f.subject) && contains(e.Actor, f.actor) &&
		(!f.refused || !e.Accepted) && (f.last == 0 || now.Sub(e.Time) <= f.last)
}

type auditResult struct {
	Entries    []audit.Entry `json:"entries"`
	NotReached []failure     `json:"notReached"`
}

func runAudit(out *output, args []string, t *targetFlags, f *auditFilter) int {
	if len(args) > 0 || f.count < 0 || f.last < 0 {
		return out.failUsage("the command takes flags only, and --count and --last are not negative")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	list, err := t.resolve(ctx)
	if err != nil {
		return out.fail(exitStatusOf(err), "%v", err)
	}
	list.warnUnaddressable(out)
	if f.follow {
		return followAudit(ctx, out, list.targets, t.timeout, f)
	}
	pages, failures, status := splitReplies(out, queryAll(ctx, list.targets, t.timeout, func(ctx context.Context, c *client) (admin.AuditPage, error) {
		return getAuditPage(ctx, c, 0, 0)
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
			writeEntryText(w, e)
		}
	})
	return status
}

func getAuditPage(ctx context.Context, c *client, from uint64, wait time.Duration) (page admin.AuditPage, err error) {
	return page, c.getJSON(ctx, fmt.Sprintf("/v1/audit?from=%d&wait=%s", from, wait), &page)
}

// followAudit writes entries as they arrive. It returns after f.count entries, or never when
// f.count is 0: the process is then interrupted.
func followAudit(ctx context.Context, out *output, targets []target, timeout time.Duration, f *auditFilter) int {
	type update struct {
		entries []audit.Entry
		notice  string
	}
	updates := make(chan update)
	for _, t := range targets {
		reader := &trailReader{client: newClient(t.address, timeout+followPollWait)}
		go func() {
			for ctx.Err() == nil {
				entries, notice := reader.next(ctx)
				select {
				case updates <- update{entries, notice}:
				case <-ctx.Done():
				}
			}
		}()
	}
	written := 0
	for u := range updates {
		if u.notice != "" {
			out.fail(ExitOK, "%s", u.notice)
		}
		for _, e := range u.entries {
			if !f.matches(e, time.Now()) {
				continue
			}
			if err := out.writeEntry(e); err != nil {
				return out.fail(ExitUsage, "cannot write the audit entry: %v", err)
			}
			if written++; written == f.count {
				return ExitOK
			}
		}
	}
	return ExitOK
}

// trailReader reads the audit trail of one daemon page by page.
type trailReader struct {
	client      *client
	incarnation uint64
	from        uint64
	failing     bool // the last call failed, and its error was reported
}

// next returns the next entries, after waiting for them if there are none. The notice, for standard
// error, tells of lost entries, of a daemon that restarted, or of one that stopped responding. It
// is empty otherwise.
func (r *trailReader) next(ctx context.Context) (entries []audit.Entry, notice string) {
	page, err := getAuditPage(ctx, r.client, r.from, followPollWait)
	if err != nil {
		pause.For(ctx, time.Second)
		if r.failing {
			return nil, ""
		}
		r.failing = true
		return nil, err.Error()
	}
	r.failing = false
	if r.incarnation != 0 && page.Incarnation != r.incarnation {
		r.incarnation, r.from = 0, 0
		return nil, "the daemon of " + page.VM + " has restarted; its audit trail begins again"
	}
	firstPage := r.incarnation == 0
	r.incarnation = page.Incarnation
	if len(page.Entries) > 0 && page.Entries[0].Sequence > r.from && !firstPage {
		notice = fmt.Sprintf("%d audit entries of %s were lost, because its audit trail dropped them before they were read", page.Entries[0].Sequence-r.from, page.VM)
	}
	r.from = page.Next
	return page.Entries, notice
}

// writeEntry writes one entry as it arrives: as a line of text, or as a JSON object on one line.
func (o *output) writeEntry(e audit.Entry) error {
	if o.format != formatJSON {
		return writeEntryText(o.Out, e)
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = o.Out.Write(append(line, '\n'))
	return err
}

// writeEntryText writes one entry as a line of text. REFUSED stands out from the common "accepted".
func writeEntryText(w io.Writer, e audit.Entry) error {
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
