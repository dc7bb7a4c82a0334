// Command ejection-measure runs the decision logic of package ejection on seeded streams in virtual time and prints
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
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the streams")
	flag.IntVar(&o.Trials, "trials", 1000, "faults per row")
	flag.IntVar(&o.Workers, "workers", 4, "goroutines")
	scale := flag.Float64("days", 1, "factor on the backend-server days of healthy streams; 0 skips them")
	preset := flag.String("preset", "", "run the shapes of this preset only")
	numbers := flag.Bool("numbers", false, "print the numbers of the presets and exit")
	flag.Func("set", "name=value, replaces a number of the presets; may be repeated", func(s string) error {
		return measure.ParseOverride(&o, s)
	})
	flag.Parse()
	run := func() error { return measure.Run(os.Stdout, *preset, *scale, o) }
	if *numbers {
		run = func() error { return measure.WriteNumbers(os.Stdout) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ejection-measure:", err)
		os.Exit(1)
	}
}
