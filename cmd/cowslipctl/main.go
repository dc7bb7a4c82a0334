// Command cowslipctl checks, compares and renders the documents of a proxy fleet, and queries and
// operates its daemons through their admin addresses.
package main

import (
	"os"

	"github.com/cowsliprun/cowsliprun/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
