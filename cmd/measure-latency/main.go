// Command measure-latency measures on a fleet of separate processes what the daemons add to a lookup, at the rate that the size
// to design for gives one daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// options are the flags.
type options struct {
	fleet.Measured
	rate, runs     int
	settle, length time.Duration
}

func main() {
	o := options{Measured: fleet.Measured{VMs: 4, Backends: 8, Slots: 5}, rate: 69, runs: 3, settle: 15 * time.Second, length: 20 * time.Second}
	flaggy.SetDescription("Measures what the daemons add to a lookup, on a fleet of separate processes.")
	flaggy.Int(&o.VMs, "", "vms", "Number of VMs.")
	flaggy.Int(&o.Backends, "", "backends", "Number of backend servers of the service.")
	flaggy.Int(&o.Slots, "", "slots", "Slots of each backend server.")
	flaggy.Int(&o.rate, "", "rate", "Callers' requests a second at each daemon.")
	flaggy.Int(&o.runs, "", "runs", "Number of measurements, one after the other.")
	flaggy.Duration(&o.settle, "", "settle", "Time under load before the first measurement.")
	flaggy.Duration(&o.length, "", "length", "Time of each measurement.")
	flaggy.Parse()
	ctx, stop := fleet.SignalContext()
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "measure-latency:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	f, end, err := o.Start(ctx)
	if err != nil {
		return err
	}
	defer end()
	l := newLoad(f, o.rate)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	go l.run(loadCtx)
	if !pause.For(ctx, o.settle) {
		return ctx.Err()
	}
	fmt.Println("Times of lookups without the backend server's own time: through the fleet, and of direct calls to a backend server.")
	fmt.Println()
	fmt.Println("| run | lookups | failed | fleet p50 | p90 | p99 | p99.9 | direct p50 | p90 | p99 | added p50 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range o.runs {
		l.reset()
		if !pause.For(ctx, o.length) {
			return ctx.Err()
		}
		l.print(i + 1)
	}
	endLoad()
	return f.Stop()
}
