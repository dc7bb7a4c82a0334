// Command measure-detection measures on a real fleet of separate processes how long it takes until a backend server that turns
// slow is ejected, with load balancing, comparisons and reservations at work, and how many lookups were late or failed.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cowsliprun/cowsliprun/internal/capacity"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// options are the flags.
type options struct {
	fleet.Measured
	rate, trials int
	latencyMs    float64
}

func main() {
	o := options{Measured: fleet.Measured{VMs: 4, Backends: 8, Slots: 5, Preset: "fast-detection"}, rate: 50, trials: 20, latencyMs: 40}
	flaggy.SetDescription("Measures the time until a slow backend server is ejected, on a fleet of separate processes.")
	flaggy.Int(&o.VMs, "", "vms", "Number of VMs.")
	flaggy.Int(&o.Backends, "", "backends", "Number of backend servers of the service.")
	flaggy.Int(&o.Slots, "", "slots", "Slots of each backend server.")
	flaggy.Int(&o.rate, "", "rate", "Requests a second for each backend server on average.")
	flaggy.Int(&o.trials, "", "trials", "Number of faults, one after the other.")
	flaggy.String(&o.Preset, "", "preset", "Preset of the detector.")
	flaggy.Float64(&o.latencyMs, "", "latency", "Milliseconds that the fault adds; a healthy backend server takes 10.")
	flaggy.Parse()
	ctx, stop := fleet.SignalContext()
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "measure-detection:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	f, end, err := o.Start(ctx)
	if err != nil {
		return err
	}
	defer end()
	for _, b := range backendsOf(f) {
		if err := f.SetFaults(ctx, b, healthy()); err != nil {
			return err
		}
	}
	l := newLoad(f, o)
	go l.Run(ctx)
	t := &trials{fleet: f, load: l, options: o}
	if err := t.run(ctx); err != nil {
		return err
	}
	t.print()
	if err := printErrors(ctx, f); err != nil {
		return err
	}
	return f.Stop()
}

// printErrors prints the error kinds that callers got, by daemon.
func printErrors(ctx context.Context, f *fleet.Fleet) error {
	for _, vm := range f.Documents().VMs {
		metrics, err := capacity.ReadMetrics(ctx, f.AdminURL(vm.VM)+"/metrics")
		if err != nil {
			return err
		}
		for name, value := range metrics {
			if strings.HasPrefix(name, "cowslip_request_errors_total") {
				fmt.Printf("%s %s %.0f\n", vm.VM, name, value)
			}
		}
	}
	return nil
}

// baseLatencyMs makes a healthy backend server take 10 ms with the 2 ms that the stand-in always takes.
const baseLatencyMs = 8

func healthy() backend.Faults { return backend.Faults{LatencyMs: baseLatencyMs} }

// trials runs one fault after the other.
type trials struct {
	fleet    *fleet.Fleet
	load     *fleet.Load
	options  options
	detected []time.Duration
	missed   int
	wrong    int
}

// missAfter ends a trial whose fault was not found.
const missAfter = time.Minute

func (t *trials) run(ctx context.Context) error {
	names := backendsOf(t.fleet)
	if err := t.allActive(ctx, names); err != nil {
		return err
	}
	for i := range t.options.trials {
		victim := names[i%len(names)]
		if err := t.fleet.SetFaults(ctx, victim, backend.Faults{LatencyMs: baseLatencyMs + t.options.latencyMs}); err != nil {
			return err
		}
		if err := t.await(ctx, victim); err != nil {
			return err
		}
		if err := t.fleet.SetFaults(ctx, victim, healthy()); err != nil {
			return err
		}
		if err := t.allActive(ctx, names); err != nil {
			return err
		}
	}
	return nil
}

// await waits until the victim is out and counts others that went out meanwhile.
func (t *trials) await(ctx context.Context, victim string) error {
	start := time.Now()
	for {
		for name, mode := range t.fleet.Modes(ctx) {
			if mode != "ejected" && mode != "probing" {
				continue
			}
			if name == victim {
				t.detected = append(t.detected, time.Since(start))
				return nil
			}
			t.wrong++
		}
		if time.Since(start) > missAfter {
			t.missed++
			return nil
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// allActive waits until all backend servers are in normal service again.
func (t *trials) allActive(ctx context.Context, names []string) error {
	for {
		seen := t.fleet.Modes(ctx)
		if !slices.ContainsFunc(names, func(name string) bool { return seen[name] != "active" }) {
			return nil
		}
		if !pause.For(ctx, 200*time.Millisecond) {
			return ctx.Err()
		}
	}
}

func (t *trials) print() {
	slices.Sort(t.detected)
	quantile := func(q int) time.Duration {
		if len(t.detected) == 0 {
			return 0
		}
		return t.detected[min(len(t.detected)*q/100, len(t.detected)-1)].Round(10 * time.Millisecond)
	}
	fmt.Println("| preset | backend servers | requests/s each | added ms | trials | p50 | p90 | max | missed | others out | lookups | late | failed |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	fmt.Printf("| `%s` | %d | %d | %.0f | %d | %v | %v | %v | %d | %d | %d | %d | %d |\n", t.options.Preset, t.options.Backends, t.options.rate,
		t.options.latencyMs, t.options.trials, quantile(50), quantile(90), quantile(100), t.missed, t.wrong,
		t.load.Answered.Load()+t.load.Late.Load()+t.load.Failed.Load(), t.load.Late.Load(), t.load.Failed.Load())
}
