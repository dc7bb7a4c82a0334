// Package scenario proves the requirements of the design under failure, with separate processes on loopback. Each file of
// testdata is one scenario in the language of testscript; docs/PROOFS.md lists what they cover.
package scenario

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// maxFleets bounds the fleets that run at the same time. Each has up to 15 processes and uses about one core under load.
const maxFleets = 4

var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
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
	programs = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	turns := make(chan struct{}, maxFleets)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			turns <- struct{}{}
			w := newWorld(env.WorkDir)
			env.Values[worldKey{}] = w
			env.Defer(func() {
				w.close()
				<-turns
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    plain(cmdFleet),
			"example":  plain(cmdExample),
			"run":      plain(cmdRun),
			"until":    plain(cmdUntil),
			"publish":  plain(cmdPublish),
			"fault":    plain(cmdFault),
			"sigkill":  plain(cmdKill),
			"pause":    plain(cmdPause),
			"resume":   plain(cmdResume),
			"term":     plain(cmdTerm),
			"start":    plain(cmdStart),
			"drain":    plain(cmdDrain),
			"override": plain(cmdOverride),
			"platform": plain(cmdPlatform),
			"vmlist":   plain(cmdVMList),
			"cut":      plain(cmdCut),
			"heal":     plain(cmdHeal),
			"linger":   plain(cmdLinger),
			"load":     plain(cmdLoad),
			"op":       plain(cmdOp),
			"rate":     plain(cmdRate),
			"transfer": plain(cmdTransfer),
			"await":    plain(cmdAwait),
			"holds":    cmdHolds,
			"check":    plain(cmdCheck),
		},
	})
}

type worldKey struct{}

// plain adapts a command that cannot be negated.
func plain(cmd func(*testscript.TestScript, *world, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		cmd(ts, worldOf(ts), args)
	}
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }
