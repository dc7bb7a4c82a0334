package ctl

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

var diffCommand = command{
	name:    "diff",
	args:    "OLD NEW [FLAGS]",
	summary: "Show per document what changed between two directories of documents.",
	details: "Documents are compared by kind and name, whatever file they are in; routes by path prefix and backend servers\n" +
		"by id. A changed document whose generation does not grow is marked, because daemons would keep the old one.",
	examples: []string{
		"cowslipctl diff fleet-before/ fleet/                # what changed",
		"cowslipctl diff fleet-before/ fleet/ --output json  # for scripts",
	},
	setup: func(*flaggy.Parser) runFunc { return runDiff },
}

type diffResult struct {
	Changes []contract.Change `json:"changes"`
}

func runDiff(out *output, args []string) int {
	if len(args) != 2 {
		return out.usage("name two files or directories")
	}
	var sides [2]contract.Documents
	for i, path := range args {
		docs, issues := load(path)
		if len(issues) > 0 {
			writeIssues(out.Err, issues)
			return out.fail(StatusUsage, "%s has %d faults, nothing compared", path, len(issues))
		}
		sides[i] = docs
	}
	changes := contract.Diff(sides[0], sides[1])
	out.result(diffResult{changes}, func(w io.Writer) { writeChanges(w, changes) })
	if len(changes) > 0 {
		return StatusFindings
	}
	return StatusOK
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
