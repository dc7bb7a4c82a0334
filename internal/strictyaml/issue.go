package strictyaml

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Issue is one problem in a file.
type Issue struct {
	// File is the name of the file as the caller gave it. It may be empty.
	File string `json:"file,omitempty"`
	// Line is the line in the file, counted from 1. Zero means that the issue concerns the whole
	// file.
	Line int `json:"line,omitzero"`
	// Path is the path of the field, such as "routes[0].pathPrefix". It may be empty.
	Path string `json:"path,omitempty"`
	// Message says what is wrong and what is accepted.
	Message string `json:"message"`
}

// Error returns the issue on one line: file, line, path and message.
func (i Issue) Error() string {
	var text strings.Builder
	if i.File != "" {
		text.WriteString(i.File)
		text.WriteByte(':')
		if i.Line > 0 {
			text.WriteString(strconv.Itoa(i.Line))
			text.WriteByte(':')
		}
		text.WriteByte(' ')
	}
	if i.Path != "" {
		text.WriteString(i.Path)
		text.WriteString(": ")
	}
	// A message can quote text of the file that contains line breaks.
	text.WriteString(strings.ReplaceAll(i.Message, "\n", " "))
	return text.String()
}

// Issues are all issues found by one check.
type Issues []Issue

// Error returns one line per issue.
func (l Issues) Error() string {
	lines := make([]string, len(l))
	for i := range l {
		lines[i] = l[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the issues as an error, or nil if there are none.
func (l Issues) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort sorts the issues in place by file, line, path and message, and returns them without
// duplicates.
func (l Issues) Sort() Issues {
	slices.SortStableFunc(l, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(l)
}
