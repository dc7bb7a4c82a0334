package ctl

import (
	"fmt"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// The values of --output.
const (
	formatText = "text"
	formatJSON = "json"
)

// output writes the result of a command in the format given by --output. Results go to standard
// output, errors and warnings to standard error.
type output struct {
	Streams
	command string
	format  string
}

// result writes value as indented JSON or, in text format, calls text.
func (o *output) result(value any, text func(w io.Writer)) {
	if o.format != formatJSON {
		text(o.Out)
		return
	}
	if err := json.MarshalWrite(o.Out, value, jsontext.WithIndent("  "), json.Deterministic(true)); err != nil {
		fmt.Fprintf(o.Err, "cowslipctl %s: cannot write the result: %v\n", o.command, err)
		return
	}
	fmt.Fprintln(o.Out)
}

// fail writes one line to standard error and returns the given exit status.
func (o *output) fail(status int, format string, args ...any) int {
	fmt.Fprintf(o.Err, "cowslipctl %s: %s\n", o.command, fmt.Sprintf(format, args...))
	return status
}

// failUsage writes what is wrong with the arguments to standard error and returns ExitUsage.
func (o *output) failUsage(format string, args ...any) int {
	return o.fail(ExitUsage, "%s; see cowslipctl %s --help", fmt.Sprintf(format, args...), o.command)
}
