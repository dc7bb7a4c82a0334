package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/settings"
)

// Exit statuses of cowsliprund.
const (
	exitOK     = 0
	exitFailed = 1
	// ExitSettings means that the command line or the settings are invalid.
	ExitSettings = 2
)

// gcPercent is the heap growth between garbage collections, in percent of the live heap. Most of
// the heap is the configuration, which rarely changes: a low value saves memory and costs few
// collections.
const gcPercent = 50

// Version is the release. The linker sets it in release builds.
var Version = "development"

// Main runs the daemon with command-line arguments and returns the exit status: 0 after a graceful
// stop, 1 after a failure, 2 when the arguments or the settings are invalid.
func Main(args []string, stdout, stderr io.Writer) int {
	file, check := "", false
	parser := flaggy.NewParser("cowsliprund")
	parser.Description = "Daemon of the cowsliprun proxy fleet. One runs beside the backend servers of each VM."
	parser.AdditionalHelpAppend = "\nExit statuses: 0 stopped gracefully, 1 failed, 2 settings are not usable.\nExample: cowsliprund --config /etc/cowsliprun/settings.yaml"
	parser.Version = Version
	parser.String(&file, "c", "config", "Settings file in YAML. examples/settings.yaml shows every field.")
	parser.Bool(&check, "", "check", "Check the settings file and exit.")
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "cowsliprund:", err)
		return ExitSettings
	}
	if file == "" {
		fmt.Fprintln(stderr, "cowsliprund: --config FILE is required")
		return ExitSettings
	}
	s, issues := settings.Load(file)
	if len(issues) > 0 {
		for _, issue := range issues {
			fmt.Fprintln(stderr, issue)
		}
		return ExitSettings
	}
	if check {
		fmt.Fprintln(stdout, file+": ok")
		return exitOK
	}
	return run(s, stdout, stderr)
}

// run runs the daemon with valid settings until it is stopped, and returns the exit status.
func run(s settings.Settings, stdout, stderr io.Writer) int {
	debug.SetGCPercent(gcPercent)
	// Near this limit the garbage collector runs more often. Request bodies in flight add to the
	// control state, which limits.controlMemoryBytes bounds.
	debug.SetMemoryLimit(2 * s.Limits.ControlMemoryBytes)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := New(s, Options{Log: stderr, Audit: stdout})
	if err != nil {
		fmt.Fprintln(stderr, "cowsliprund:", err)
		return exitFailed
	}
	redirectStandardLog(d.log.Part("daemon"))
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "cowsliprund:", err)
		return exitFailed
	}
	return exitOK
}
