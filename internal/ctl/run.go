package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// The exit statuses of all commands.
const (
	// ExitOK means that the command succeeded and found nothing to report.
	ExitOK = 0
	// ExitFindings means that documents have faults, that a comparison found differences, or that
	// a daemon reports a problem.
	ExitFindings = 1
	// ExitUsage means wrong arguments, input or output that cannot be used, a call that a daemon
	// refused, or a drain that was not confirmed.
	ExitUsage = 2
	// ExitUnreachable means that a daemon did not respond.
	ExitUnreachable = 3
	// ExitTimeout means that a wait reached its time limit.
	ExitTimeout = 4
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is one subcommand of cowslipctl.
type command struct {
	name    string
	args    string // shown after the name in help
	summary string
	details string
	// examples are complete command lines, most with a comment.
	examples []string
	// setup registers the flags of the command and returns the function that runs it.
	setup func(p *flaggy.Parser) runFunc
}

// runFunc runs a command and returns its exit status. The arguments are those that are not flags.
type runFunc func(out *output, args []string) int

// commands returns the commands in the order in which help lists them.
func commands() []command {
	return []command{
		checkCommand, diffCommand, renderCommand, keyCommand,
		statusCommand, explainCommand, waitCommand, drainCommand, auditCommand, overrideCommand, storyCommand,
	}
}

// Run runs the command named by args[0] with the other args, and returns the exit status: one of
// the constants above. Without arguments it writes the overview of the commands.
func Run(args []string, streams Streams) (status int) {
	if len(args) == 0 {
		writeOverview(streams.Err)
		return ExitUsage
	}
	if isHelp(args[0]) {
		writeOverview(streams.Out)
		return ExitOK
	}
	for _, cmd := range commands() {
		if cmd.name == args[0] {
			return cmd.run(args[1:], streams)
		}
	}
	fmt.Fprintf(streams.Err, "cowslipctl: unknown command %q; see cowslipctl --help\n", args[0])
	return ExitUsage
}

func isHelp(arg string) bool { return slices.Contains([]string{"--help", "-help", "-h", "help"}, arg) }

func (cmd command) run(args []string, streams Streams) int {
	parser := flaggy.NewParser("cowslipctl " + cmd.name)
	// By default, flaggy prints its own help and exits the process. Help and errors are written
	// here instead.
	parser.ShowHelpWithHFlag, parser.ShowVersionWithVersionFlag = false, false
	parser.ShowHelpOnUnexpected, parser.ShowCompletion = false, false
	out := &output{Streams: streams, command: cmd.name, format: formatText}
	parser.String(&out.format, "o", "output", "format of the output: text or json (default text)")
	run := cmd.setup(parser)
	for _, arg := range args {
		if arg == "--" {
			break
		}
		if arg != "help" && isHelp(arg) {
			cmd.writeHelp(streams.Out, parser)
			return ExitOK
		}
	}
	if problem := flagProblem(parser, args); problem != "" {
		return out.failUsage("%s", problem)
	}
	if err := parser.ParseArgs(args); err != nil {
		return out.failUsage("%v", err)
	}
	if out.format != formatText && out.format != formatJSON {
		format := out.format
		out.format = formatText
		return out.failUsage("--output must be text or json, is %q", format)
	}
	return run(out, parser.TrailingArguments)
}

// flagProblem describes the first argument that flaggy would ignore or for which it would exit the
// process. It returns an empty string when there is none.
func flagProblem(parser *flaggy.Parser, args []string) string {
	for i := 0; i < len(args) && args[i] != "--"; i++ {
		if len(args[i]) < 2 || args[i][0] != '-' {
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		index := slices.IndexFunc(parser.Flags, func(f *flaggy.Flag) bool { return f.HasName(name) })
		if index < 0 {
			return fmt.Sprintf("unknown flag %s", args[i])
		}
		if _, isBool := parser.Flags[index].AssignmentVar.(*bool); isBool || hasValue {
			continue
		}
		if i++; i == len(args) {
			return fmt.Sprintf("the flag --%s needs a value", name)
		}
	}
	return ""
}
