// Command measure-limits compares the mechanism of package limits, in which daemons lease shares of
// the customers' limits, with a fixed equal split of each limit over all daemons. It simulates a
// fleet in virtual time and prints a Markdown table. The results are the same in every run.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

func main() {
	seconds := flag.Int("seconds", 600, "measured virtual time of each scenario, in seconds")
	only := flag.String("only", "", "run only scenarios whose name contains this text")
	mechanism := flag.String("mechanism", "", "run only mechanisms whose name contains this text")
	flag.Parse()
	fmt.Println("| scenario | mechanism | overshoot % | peak second % of limit | shortfall % | waited % | mean wait ms | B/s per daemon | max B/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *only) {
			continue
		}
		for _, m := range mechanisms() {
			if !strings.Contains(m.name, *mechanism) {
				continue
			}
			r := newSimulatedFleet(s, m).run(time.Duration(*seconds) * time.Second)
			if _, err := fmt.Fprintf(os.Stdout, "| %s | %s | %.2f | %.0f | %.2f | %.2f | %.0f | %.1f | %.0f |\n", s.name, m.name,
				r.overshoot, r.peak, r.shortfall, r.waited, r.meanWait, r.bytes, r.maxBytes); err != nil {
				os.Exit(1)
			}
		}
	}
}
