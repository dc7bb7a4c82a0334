// Command measure-detection measures how long it takes until a backend server that turns slow is
// ejected, and how many lookups are late or fail meanwhile. It uses a fleet of separate processes,
// in which load balancing, baselines and reservations affect the result.
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

// options are the flags. rate is in requests per second and backend server.
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
	flaggy.Int(&o.Slots, "", "slots", "Requests that each backend server runs at the same time.")
	flaggy.Int(&o.rate, "", "rate", "Mean requests per second for each backend server.")
	flaggy.Int(&o.trials, "", "trials", "Number of faults, one after the other.")
	flaggy.String(&o.Preset, "", "preset", "Preset of the ejection detector.")
	flaggy.Float64(&o.latencyMs, "", "latency", "Latency that the fault adds, in milliseconds; a healthy backend server takes 10.")
	flaggy.Parse()
	ctx, stop := fleet.SignalContext()
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "measure-detection:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	f, stop, err := o.Start(ctx)
	if err != nil {
		return err
	}
	defer stop()
	for _, b := range backendIDs(f) {
		if err := f.SetFaults(ctx, b, healthyFaults()); err != nil {
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

// printErrors prints the number of errors that callers received, by daemon and error kind.
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

// baseLatencyMs makes a healthy backend server take 10 ms, since the stand-in always takes 2 ms.
const baseLatencyMs = 8

// healthyFaults returns the settings of a backend server without the measured fault.
func healthyFaults() backend.Faults { return backend.Faults{LatencyMs: baseLatencyMs} }

// trials runs one fault after the other and holds the results.
type trials struct {
	fleet          *fleet.Fleet
	load           *fleet.Load
	options        options
	detected       []time.Duration
	missed         int
	falseEjections int
}

// trialTimeout ends a trial whose fault was not detected.
const trialTimeout = time.Minute

// run makes each backend server slow in turn, until the number of trials is reached. Between two
// faults it waits until all backend servers are active.
func (t *trials) run(ctx context.Context) error {
	ids := backendIDs(t.fleet)
	if err := t.awaitAllActive(ctx, ids); err != nil {
		return err
	}
	for i := range t.options.trials {
		target := ids[i%len(ids)]
		if err := t.fleet.SetFaults(ctx, target, backend.Faults{LatencyMs: baseLatencyMs + t.options.latencyMs}); err != nil {
			return err
		}
		if err := t.awaitEjection(ctx, target); err != nil {
			return err
		}
		if err := t.fleet.SetFaults(ctx, target, healthyFaults()); err != nil {
			return err
		}
		if err := t.awaitAllActive(ctx, ids); err != nil {
			return err
		}
	}
	return nil
}

// awaitEjection waits until the target is out of service or trialTimeout has passed. It counts how
// often another backend server was seen out of service meanwhile, once per poll of 20 ms.
func (t *trials) awaitEjection(ctx context.Context, target string) error {
	start := time.Now()
	for {
		for id, mode := range t.fleet.Modes(ctx) {
			if mode != "ejected" && mode != "probing" {
				continue
			}
			if id == target {
				t.detected = append(t.detected, time.Since(start))
				return nil
			}
			t.falseEjections++
		}
		if time.Since(start) > trialTimeout {
			t.missed++
			return nil
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// awaitAllActive waits until all backend servers are active.
func (t *trials) awaitAllActive(ctx context.Context, ids []string) error {
	for {
		modes := t.fleet.Modes(ctx)
		if !slices.ContainsFunc(ids, func(id string) bool { return modes[id] != "active" }) {
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
		t.options.latencyMs, t.options.trials, quantile(50), quantile(90), quantile(100), t.missed, t.falseEjections,
		t.load.Answered.Load()+t.load.Late.Load()+t.load.Failed.Load(), t.load.Late.Load(), t.load.Failed.Load())
}
