// Command ejection-measure runs package ejection on simulated services in virtual time. It prints
// detection times and false ejections as Markdown tables.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/cowsliprun/cowsliprun/internal/ejection/measure"
)

func main() {
	var o measure.Options
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the simulation")
	flag.IntVar(&o.Trials, "trials", 1000, "number of faults for each scenario; 0 skips them")
	flag.IntVar(&o.Workers, "workers", 4, "goroutines")
	scale := flag.Float64("days", 1, "factor on the backend-server days simulated without faults; 0 skips them")
	preset := flag.String("preset", "", "run only the services with this preset")
	numbers := flag.Bool("numbers", false, "print the parameters of the presets and exit")
	flag.Func("set", "name=value, replaces a parameter of the presets; may be repeated", func(s string) error {
		return measure.ParseOverride(&o, s)
	})
	flag.Parse()
	run := func() error { return measure.Run(os.Stdout, *preset, *scale, o) }
	if *numbers {
		run = func() error { return measure.WriteParameters(os.Stdout) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ejection-measure:", err)
		os.Exit(1)
	}
}
