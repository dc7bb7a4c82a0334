// Command measure-capacity prints the resources that a daemon uses for control at a quarter, a half
// and the whole of the design size. It starts the daemons as separate processes.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/capacity"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

func main() {
	daemons, settle, window := 4, 40*time.Second, 30*time.Second
	flaggy.SetDescription("Measures the processor time, memory and bytes that a daemon uses for control, by size of the configuration.")
	flaggy.Int(&daemons, "", "daemons", "Number of daemons to start, at least 2.")
	flaggy.Duration(&settle, "", "settle", "Time from when all daemons are ready until the measurement.")
	flaggy.Duration(&window, "", "window", "Length of the measurement.")
	flaggy.Parse()
	ctx, stop := fleet.SignalContext()
	defer stop()
	if err := run(ctx, daemons, settle, window); err != nil {
		fmt.Fprintln(os.Stderr, "measure-capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, daemons int, settle, window time.Duration) error {
	bin, err := os.MkdirTemp("", "cowsliprun-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	if err := fleet.Build(ctx, bin); err != nil {
		return err
	}
	fmt.Println("| customers | routes | backend servers | services | VMs | ready after | core | heap in use | resident | control bytes/s | goroutines |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, share := range []float64{0.25, 0.5, 1} {
		size := capacity.DesignSize.Scaled(share)
		r, err := capacity.Run(ctx, size, capacity.Options{Bin: bin, Daemons: daemons, Settle: settle, Window: window})
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d | %d | %d | %d | %.1f s | %.2f%% | %.1f MB | %.1f MB | %.0f | %.0f |\n",
			size.Customers, size.Routes, size.BackendServers, size.Services, size.VMs, r.Ready.Seconds(), 100*r.CPU,
			r.Heap/1e6, r.Resident/1e6, r.BytesPerSecond, r.Goroutines)
	}
	return nil
}
