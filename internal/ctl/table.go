package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// writeTable writes rows with aligned columns. The first row may be a heading.
func writeTable(w io.Writer, rows ...[]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	table.Flush() //nolint:errcheck // nothing is left to do when standard output is closed
}

// formatDuration returns a duration rounded to a precision that suits its size.
func formatDuration(d time.Duration) string {
	switch {
	case d >= time.Minute || d <= -time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second || d <= -time.Second:
		return d.Round(100 * time.Millisecond).String()
	default:
		return d.Round(10 * time.Microsecond).String()
	}
}

func formatContractDuration(d contract.Duration) string { return formatDuration(time.Duration(d)) }

// formatTime returns a time in UTC with its distance from now, or "never" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	d := time.Since(t)
	if d < 0 {
		return fmt.Sprintf("%s (in %s)", t.UTC().Format(time.RFC3339), formatDuration(-d))
	}
	return fmt.Sprintf("%s (%s ago)", t.UTC().Format(time.RFC3339), formatDuration(d))
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// maxListedNames bounds the names in one line of a warning, so that the line stays readable.
const maxListedNames = 5

// namesText returns a list of names, cut to maxListedNames.
func namesText(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}
