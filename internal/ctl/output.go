package ctl

import (
	"fmt"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

const (
	formatText = "text"
	formatJSON = "json"
)

// output writes the result of a command in the format that --output names. Results go to standard output, and reasons why
// there is no result to standard error.
type output struct {
	Streams
	command string
	format  string
}

// result writes the value as JSON, or calls text.
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

// fail writes one line to standard error and returns the status.
func (o *output) fail(status int, format string, args ...any) int {
	fmt.Fprintf(o.Err, "cowslipctl %s: %s\n", o.command, fmt.Sprintf(format, args...))
	return status
}

// usage reports wrong arguments.
func (o *output) usage(format string, args ...any) int {
	return o.fail(StatusUsage, "%s; see cowslipctl %s --help", fmt.Sprintf(format, args...), o.command)
}
