package ctl

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

var renderCommand = command{
	name:    "render",
	args:    "FILE|DIR... --out DIR [FLAGS]",
	summary: "Check documents and write the values of the platform as files.",
	details: "Each value becomes one file below the directory, such as contracts/007.json, services/12.json, vms.json,\n" +
		"datacentres.json and index.json. Files whose content is the same are left untouched. With any fault in the\n" +
		"documents nothing is written.\n\n" +
		"The command writes local files only, no shared state. Publish the files with the platform's own means: all values\n" +
		"that changed first, index last.",
	examples: []string{
		"cowslipctl render fleet/ --out values/                # write the files",
		"cowslipctl render fleet/ --out values/ --output json  # and list the changed ones for a script",
	},
	setup: func(p *flaggy.Parser) runFunc {
		var dir string
		p.String(&dir, "", "out", "directory for the files; it is created when missing")
		return func(out *output, args []string) int { return runRender(out, args, dir) }
	},
}

type renderResult struct {
	Values  int               `json:"values"`
	Changed []string          `json:"changed"`
	Bytes   int               `json:"bytes"`
	Largest int               `json:"largestBytes"`
	Issues  strictyaml.Issues `json:"issues,omitempty"`
}

func runRender(out *output, args []string, dir string) int {
	if len(args) == 0 || dir == "" {
		return out.failUsage("name at least one file or directory, and --out")
	}
	docs, issues := loadDocuments(args...)
	if len(issues) > 0 {
		out.result(renderResult{Issues: issues}, func(w io.Writer) { writeIssues(w, issues) })
		return out.fail(ExitFindings, "%d faults, nothing written", len(issues))
	}
	values, err := contract.Render(docs)
	if err != nil {
		return out.fail(ExitFindings, "nothing written: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	result, err := writeValues(dir, values)
	if err != nil {
		return out.fail(ExitUsage, "%v", err)
	}
	out.result(result, func(w io.Writer) {
		fmt.Fprintf(w, "%d values, %d changed, %d bytes, largest %d of %d bytes\n", result.Values, len(result.Changed), result.Bytes, result.Largest, contract.MaxValueBytes)
		for _, name := range result.Changed {
			fmt.Fprintln(w, "changed "+name)
		}
	})
	return ExitOK
}

// writeValues writes each value to a file below dir, the index last. It returns what changed.
func writeValues(dir string, values map[string][]byte) (renderResult, error) {
	result := renderResult{Values: len(values), Changed: []string{}}
	// The index comes last. A copy made during the writing then lists no value whose file is
	// missing.
	names := slices.Sorted(maps.Keys(values))
	names = append(slices.DeleteFunc(names, func(n string) bool { return n == contract.ValueIndex }), contract.ValueIndex)
	for _, name := range names {
		result.Bytes += len(values[name])
		result.Largest = max(result.Largest, len(values[name]))
		changed, err := writeFile(filepath.Join(dir, filepath.FromSlash(name)+".json"), values[name])
		if err != nil {
			return result, err
		}
		if changed {
			result.Changed = append(result.Changed, name)
		}
	}
	return result, nil
}

// writeFile replaces a file atomically by a rename, and reports whether it did. A file that has the
// content already is left untouched.
func writeFile(file string, data []byte) (changed bool, err error) {
	if old, err := os.ReadFile(file); err == nil && bytes.Equal(old, data) {
		return false, nil
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return false, err
	}
	temp, err := os.CreateTemp(filepath.Dir(file), ".render-*")
	if err != nil {
		return false, err
	}
	_, writeErr := temp.Write(data)
	err = errors.Join(writeErr, temp.Chmod(0o644), temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), file)
	}
	if err != nil {
		_ = os.Remove(temp.Name())
	}
	return err == nil, err
}
