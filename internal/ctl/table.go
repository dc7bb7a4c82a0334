package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// writeTable writes rows with aligned columns. The first row is the heading.
func writeTable(w io.Writer, rows ...[]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	table.Flush() //nolint:errcheck // the result is on its way to standard output
}

// short rounds a time span to what a person reads.
func short(d time.Duration) string {
	switch {
	case d >= time.Minute || d <= -time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second || d <= -time.Second:
		return d.Round(100 * time.Millisecond).String()
	default:
		return d.Round(10 * time.Microsecond).String()
	}
}

func shortText(d contract.Duration) string { return short(time.Duration(d)) }

// when writes a time with its distance from now.
func when(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	d := time.Since(t)
	if d < 0 {
		return fmt.Sprintf("%s (in %s)", t.UTC().Format(time.RFC3339), short(-d))
	}
	return fmt.Sprintf("%s (%s ago)", t.UTC().Format(time.RFC3339), short(d))
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

// maxNamed bounds the names in one line of a warning.
const maxNamed = 5

// namesText lists names, the first ones only when they are many.
func namesText(names []string) string {
	if len(names) > maxNamed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
	}
	return strings.Join(names, ", ")
}
