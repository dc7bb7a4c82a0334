// Package scenario tests that the system meets its requirements under failures, with a fleet of
// separate processes on loopback. Each file in testdata is a testscript with one scenario.
package scenario

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// maxFleets limits the fleets that run concurrently. Each has up to 15 processes and uses about one
// core under load.
const maxFleets = 4

// programDir is the directory of the programs that TestMain compiles.
var programDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests compiles the programs, runs the tests and returns the exit status.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cowsliprun-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := fleet.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programDir = dir
	return m.Run()
}

// Runs every scenario in testdata. The comment at the head of each file says which failure it
// guards against.
func TestScenarios(t *testing.T) {
	fleetSlots := make(chan struct{}, maxFleets)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			fleetSlots <- struct{}{}
			h := newHarness(env.WorkDir)
			env.Values[harnessKey{}] = h
			env.Defer(func() {
				h.close()
				<-fleetSlots
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    nonNegatable(cmdFleet),
			"example":  nonNegatable(cmdExample),
			"run":      nonNegatable(cmdRun),
			"until":    nonNegatable(cmdUntil),
			"publish":  nonNegatable(cmdPublish),
			"fault":    nonNegatable(cmdFault),
			"sigkill":  nonNegatable(cmdSigkill),
			"pause":    nonNegatable(cmdPause),
			"resume":   nonNegatable(cmdResume),
			"term":     nonNegatable(cmdTerm),
			"start":    nonNegatable(cmdStart),
			"drain":    nonNegatable(cmdDrain),
			"override": nonNegatable(cmdOverride),
			"platform": nonNegatable(cmdPlatform),
			"vmlist":   nonNegatable(cmdVMList),
			"cut":      nonNegatable(cmdCut),
			"heal":     nonNegatable(cmdHeal),
			"linger":   nonNegatable(cmdLinger),
			"load":     nonNegatable(cmdLoad),
			"op":       nonNegatable(cmdOp),
			"rate":     nonNegatable(cmdRate),
			"transfer": nonNegatable(cmdTransfer),
			"await":    nonNegatable(cmdAwait),
			"holds":    cmdHolds,
			"check":    nonNegatable(cmdCheck),
		},
	})
}

// harnessKey is the key of the scenario's harness in testscript.Env.Values.
type harnessKey struct{}

// nonNegatable adapts a command that has no negated form with "!".
func nonNegatable(cmd func(*testscript.TestScript, *harness, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command has no negated form")
		}
		cmd(ts, harnessOf(ts), args)
	}
}

// harnessOf returns the harness of the scenario that runs.
func harnessOf(ts *testscript.TestScript) *harness { return ts.Value(harnessKey{}).(*harness) }
