package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/contract"
)

var diffCommand = command{
	name:    "diff",
	args:    "OLD NEW | NEW --admin HOST:PORT [FLAGS]",
	summary: "Show per document what changed between two directories, or against what is in force at a daemon.",
	details: "Documents are compared by kind and name, whatever file they are in; routes by path prefix and backend servers\n" +
		"by id. A changed document whose generation does not grow is marked, because daemons would keep the old one.\n\n" +
		"With --admin the old side is what is in force at that daemon, and no directory is named for it.",
	examples: []string{
		"cowslipctl diff fleet-before/ fleet/                # what changed",
		"cowslipctl diff fleet/ --admin 10.0.0.17:7002       # what a publication would change",
		"cowslipctl diff fleet-before/ fleet/ --output json  # for scripts",
	},
	setup: func(p *flaggy.Parser) runFunc {
		address, timeout := "", DefaultClientTimeout
		p.String(&address, "a", "admin", "host:port of the admin listener of a daemon, in place of OLD")
		p.Duration(&timeout, "", "timeout", "time limit of one call to the daemon (default "+DefaultClientTimeout.String()+")")
		return func(out *output, args []string) int { return runDiff(out, args, address, timeout) }
	},
}

type diffResult struct {
	Changes []contract.Change `json:"changes"`
}

func runDiff(out *output, args []string, address string, timeout time.Duration) int {
	switch {
	case address == "" && len(args) != 2:
		return out.failUsage("name two files or directories, or one and --admin")
	case address != "" && len(args) != 1:
		return out.failUsage("name one file or directory to compare with the daemon")
	}
	var sides []contract.Documents
	for _, path := range args {
		docs, issues := loadDocuments(path)
		if len(issues) > 0 {
			writeIssues(out.Err, issues)
			return out.fail(ExitUsage, "%s has %d faults, nothing compared", path, len(issues))
		}
		sides = append(sides, docs)
	}
	if address != "" {
		inForce, err := allDocumentsInForce(context.Background(), newClient(address, timeout))
		if err != nil {
			return out.fail(exitStatusOf(err), "%v", err)
		}
		sides = []contract.Documents{inForce, sides[0]}
	}
	changes := contract.Diff(sides[0], sides[1])
	out.result(diffResult{changes}, func(w io.Writer) { writeChanges(w, changes) })
	if len(changes) > 0 {
		return ExitFindings
	}
	return ExitOK
}

// allDocumentsInForce returns the documents of all values that a daemon has in force.
func allDocumentsInForce(ctx context.Context, c *client) (contract.Documents, error) {
	var all contract.Documents
	var names []string
	if err := c.getJSON(ctx, "/v1/values", &names); err != nil {
		return all, err
	}
	for _, name := range names {
		var docs admin.Documents
		if err := c.getJSON(ctx, documentsPath(name), &docs); err != nil {
			return all, err
		}
		all.Contracts = append(all.Contracts, docs.Contracts...)
		all.Services = append(all.Services, docs.Services...)
		all.VMs = append(all.VMs, docs.VMs...)
		all.DataCentres = append(all.DataCentres, docs.DataCentres...)
	}
	return all, nil
}

func writeChanges(w io.Writer, changes []contract.Change) {
	for _, change := range changes {
		switch change.Type {
		case contract.Added:
			fmt.Fprintf(w, "added   %s, generation %d\n", change.Ref, change.NewGeneration)
		case contract.Removed:
			fmt.Fprintf(w, "removed %s, generation %d\n", change.Ref, change.OldGeneration)
		default:
			fmt.Fprintf(w, "changed %s, generation %d to %d\n", change.Ref, change.OldGeneration, change.NewGeneration)
		}
		for _, field := range change.Fields {
			fmt.Fprintf(w, "  %s: %s -> %s\n", field.Path, orNone(field.Old), orNone(field.New))
		}
		if change.Problem != "" {
			fmt.Fprintf(w, "  problem: %s\n", change.Problem)
		}
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
