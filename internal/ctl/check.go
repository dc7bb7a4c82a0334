package ctl

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

var checkCommand = command{
	name:    "check",
	args:    "FILE|DIR... [FLAGS]",
	summary: "Check documents and show all faults with file, line and field.",
	details: "Files are YAML. Of directories, all files named *.yaml or *.yml are read, at any depth; names that begin with a\n" +
		"dot are left out. References between documents are checked, so name all files of the fleet together.",
	examples: []string{
		"cowslipctl check fleet/                          # the whole fleet",
		"cowslipctl check fleet/ --output json            # for scripts",
		"cowslipctl check base.yaml customers/hotel.yaml  # single files",
	},
	setup: func(*flaggy.Parser) runFunc { return runCheck },
}

type checkResult struct {
	Documents int               `json:"documents"`
	Issues    strictyaml.Issues `json:"issues"`
}

func runCheck(out *output, args []string) int {
	if len(args) == 0 {
		return out.failUsage("name at least one file or directory")
	}
	docs, issues := loadDocuments(args...)
	result := checkResult{Documents: len(docs.All()), Issues: issues}
	out.result(result, func(w io.Writer) {
		writeIssues(w, issues)
		fmt.Fprintf(w, "%d documents, %d faults\n", result.Documents, len(issues))
	})
	if len(issues) > 0 {
		return ExitFindings
	}
	return ExitOK
}

// loadDocuments reads and checks documents, and returns them with all issues found. Finding no
// document at all is an issue, because otherwise a wrong path would pass the check.
func loadDocuments(paths ...string) (contract.Documents, strictyaml.Issues) {
	set := contract.Set{CheckDetector: ejection.CheckOverrides}
	set.AddPaths(paths...)
	docs, issues := set.Documents(), set.Check()
	if len(issues) == 0 && len(docs.All()) == 0 {
		issues = strictyaml.Issues{{File: paths[0], Message: "no documents found"}}
	}
	return docs, issues
}

func writeIssues(w io.Writer, issues strictyaml.Issues) {
	for _, issue := range issues {
		fmt.Fprintln(w, issue.Error())
	}
}
