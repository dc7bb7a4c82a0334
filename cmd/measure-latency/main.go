// Command measure-latency measures the latency that the daemons add to a lookup, on a fleet of
// separate processes. The default rate is that of one daemon at the design size.
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

// options are the flags. rate is in requests per second and daemon.
type options struct {
	fleet.Measured
	rate, runs       int
	settle, duration time.Duration
}

func main() {
	o := options{Measured: fleet.Measured{VMs: 4, Backends: 8, Slots: 5}, rate: 69, runs: 3, settle: 15 * time.Second, duration: 20 * time.Second}
	flaggy.SetDescription("Measures the latency that the daemons add to a lookup, on a fleet of separate processes.")
	flaggy.Int(&o.VMs, "", "vms", "Number of VMs.")
	flaggy.Int(&o.Backends, "", "backends", "Number of backend servers of the service.")
	flaggy.Int(&o.Slots, "", "slots", "Requests that each backend server runs at the same time.")
	flaggy.Int(&o.rate, "", "rate", "Callers' requests per second at each daemon.")
	flaggy.Int(&o.runs, "", "runs", "Number of measurements, one after the other.")
	flaggy.Duration(&o.settle, "", "settle", "Time under load before the first measurement.")
	flaggy.Duration(&o.duration, "", "length", "Length of each measurement.")
	flaggy.Parse()
	ctx, stop := fleet.SignalContext()
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "measure-latency:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	f, stop, err := o.Start(ctx)
	if err != nil {
		return err
	}
	defer stop()
	l := newLoad(f, o.rate)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	go l.run(loadCtx)
	if !pause.For(ctx, o.settle) {
		return ctx.Err()
	}
	fmt.Println("Latency of lookups without the backend server's service time: through the fleet, and of direct calls to a backend server.")
	fmt.Println()
	fmt.Println("| run | lookups | failed | fleet p50 | p90 | p99 | p99.9 | direct p50 | p90 | p99 | added p50 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range o.runs {
		l.reset()
		if !pause.For(ctx, o.duration) {
			return ctx.Err()
		}
		l.print(i + 1)
	}
	endLoad()
	return f.Stop()
}
