// Command local builds and starts a small fleet on loopback: a stand-in platform, three daemons in
// two data centres and six backend servers. One backend server has a gray failure: it is slow while
// its health checks pass. The command sends a light load, shows how that backend server is ejected,
// and stops all processes gracefully on Ctrl-C.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// The addresses, IDs and keys are those of the documents in the folder fleet.
const (
	platformAddress = "127.0.0.1:18500"
	grayBackend     = "stock-2"    // the slow backend server
	apiKey          = "grocer-key" // of the customer that sends the load
	startTimeout    = 30 * time.Second
	loadInterval    = 10 * time.Millisecond  // between two lookups
	lateAfter       = 100 * time.Millisecond // lookups that take longer count as late
	lookupTimeout   = 5 * time.Second
	reportInterval  = 2 * time.Second
)

// callerAddresses maps each VM to the address at which its daemon serves callers.
var callerAddresses = map[string]string{"vm1": "127.0.0.1:18001", "vm2": "127.0.0.1:18002", "vm3": "127.0.0.1:18003"}

func main() {
	ctx, stop := fleet.SignalContext()
	defer stop()
	if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "local:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	work, err := os.MkdirTemp("", "cowsliprun-local-")
	if err != nil {
		return err
	}
	documentsDir := filepath.Join(work, "documents")
	if err := os.CopyFS(documentsDir, os.DirFS(filepath.Join(sourceDir(), "fleet"))); err != nil {
		return err
	}
	set := contract.Set{CheckDetector: ejection.CheckOverrides}
	set.AddPaths(documentsDir)
	if issues := set.Check(); len(issues) > 0 {
		return fmt.Errorf("invalid documents of the example: %v", issues)
	}
	fmt.Println("Building the programs ...")
	if err := fleet.Build(ctx, work); err != nil {
		return err
	}
	f := fleet.New(fleet.Options{
		Bin: work, Dir: work, Platform: platformAddress, Documents: set.Documents(),
		Callers: func(vm string) string { return callerAddresses[vm] },
	})
	defer f.Kill()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Start(startCtx); err != nil {
		return err
	}
	if err := f.SetFaults(ctx, grayBackend, backend.Faults{LatencyMs: 200}); err != nil {
		return err
	}
	printHelp(work)
	watch(ctx, f)
	fmt.Println("\nStopping: the daemons drain first, so that no request is interrupted ...")
	if err := f.Stop(); err != nil {
		return err
	}
	fmt.Println("All processes have stopped. Logs are in", work)
	return nil
}

// sourceDir returns the directory of this file, so that the example finds its documents from any
// working directory.
func sourceDir() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(file)
}

// printHelp prints the addresses of the fleet and commands to try.
func printHelp(work string) {
	fmt.Printf(`
The fleet is running: three daemons and six backend servers. %s responds 200 ms late, but its health checks pass.

  callers   http://127.0.0.1:18001  (vm1)  :18002 (vm2)  :18003 (vm3)
  operators http://127.0.0.1:18201  (vm1)  :18202 (vm2)  :18203 (vm3)
  documents %s
  logs      %s/*.log

Try, in another terminal:
export FLEET=%s
`, grayBackend, work+"/documents", work, work)
	fmt.Print(requestExamples + operatorExamples + "\nCtrl-C stops everything.\n\n")
}

// requestExamples are command lines of callers.
const requestExamples = `
  # A lookup, and an order: 428 with a key; send it again with -H 'Idempotency-Key: KEY', also through :18002 and :18003.
  curl -i -H 'Authorization: Bearer ` + apiKey + `' http://127.0.0.1:18001/stock/7
  curl -i -X POST -H 'Authorization: Bearer ` + apiKey + `' -d 'ten egg timers' http://127.0.0.1:18001/orders
`

// operatorExamples are command lines of operators. README.md has the same ones.
const operatorExamples = `
  # Why the gray backend server is out.
  $FLEET/cowslipctl explain backend stock-2 --admin 127.0.0.1:18203

  # Change a contract, publish it as the platform would, and see it in force.
  sed -i 's/^generation: 1/generation: 2/; s/ratePerSecond: 200/ratePerSecond: 300/' $FLEET/documents/contracts.yaml
  $FLEET/cowslipctl check $FLEET/documents
  $FLEET/cowslipctl diff $FLEET/documents --admin 127.0.0.1:18201
  $FLEET/cowslipctl render $FLEET/documents --out $FLEET/values
  curl -s -X POST http://127.0.0.1:18500/v1/reload
  $FLEET/cowslipctl wait --revision 582 --fleet --admin 127.0.0.1:18201
  $FLEET/cowslipctl status customer grocer --fleet --admin 127.0.0.1:18201

  # Drain a VM; no lookup fails.
  $FLEET/cowslipctl drain --admin 127.0.0.1:18203 --yes --wait
`

// watch sends a light load and prints a report every reportInterval until ctx ends.
func watch(ctx context.Context, f *fleet.Fleet) {
	l := f.NewLoad(fleet.LoadOptions{Path: "/stock/7", Key: apiKey, Interval: loadInterval, LateAfter: lateAfter, Timeout: lookupTimeout})
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.Run(loadCtx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fmt.Printf("%s  %s\n", time.Now().Format("15:04:05"), report(l, f.Modes(ctx)))
	}
}

// report returns the results of the load since the last report, and the modes of the backend
// servers.
func report(l *fleet.Load, modes map[string]string) string {
	ejected := 0
	for _, mode := range modes {
		if mode == "ejected" || mode == "probing" {
			ejected++
		}
	}
	failed, reason := l.Failed.Swap(0), ""
	if failed > 0 {
		reason = fmt.Sprintf(" (last failure: %v)", l.LastFailure())
	}
	return fmt.Sprintf("last 2 s: %3d in time, %2d late, %d failed%s | %s is %s, %d of %d backend servers in service",
		l.Answered.Swap(0), l.Late.Swap(0), failed, reason, grayBackend, modes[grayBackend], len(modes)-ejected, len(modes))
}
