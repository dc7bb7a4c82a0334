package ctl

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// writeOverview writes the help of cowslipctl as a whole.
func writeOverview(w io.Writer) {
	fmt.Fprintln(w, "cowslipctl checks, compares and renders the documents of a proxy fleet, and queries its daemons.")
	fmt.Fprintln(w, "\nUsage: cowslipctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:")
	for _, cmd := range commands() {
		fmt.Fprintf(w, "  %-8s %s\n", cmd.name, cmd.summary)
	}
	fmt.Fprintln(w, "\ncowslipctl COMMAND --help shows the flags of a command, with examples.")
	fmt.Fprintln(w, "No command publishes a configuration: that is done with the platform's own means.")
	writeExitStatuses(w)
}

func writeExitStatuses(w io.Writer) {
	fmt.Fprintln(w, "\nExit status: 0 nothing to report, 1 faults, differences or problems found, 2 wrong usage or unusable input or output,")
	fmt.Fprintln(w, "3 a daemon did not respond, 4 a wait reached its time limit.")
}

func (cmd command) writeHelp(w io.Writer, parser *flaggy.Parser) {
	fmt.Fprintf(w, "Usage: cowslipctl %s %s\n\n%s\n", cmd.name, cmd.args, cmd.summary)
	if cmd.details != "" {
		fmt.Fprintf(w, "\n%s\n", cmd.details)
	}
	fmt.Fprintln(w, "\nFlags:")
	for _, f := range parser.Flags {
		short := "   "
		if f.ShortName != "" {
			short = "-" + f.ShortName + ","
		}
		fmt.Fprintf(w, "  %s --%-10s %s\n", short, f.LongName, f.Description)
	}
	fmt.Fprintln(w, "  -h, --help       this text")
	fmt.Fprintln(w, "\nExamples:")
	for _, example := range cmd.examples {
		fmt.Fprintf(w, "  %s\n", example)
	}
	writeExitStatuses(w)
}
