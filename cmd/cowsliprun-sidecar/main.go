// Command cowsliprun-sidecar is the daemon cowsliprund as built for the users' platform. It reads
// the settings file that the platform provides and uses the platform's request headers.
package main

import (
	"os"

	"github.com/cowsliprun/cowsliprun/platform"
)

func main() { os.Exit(platform.Main(os.Stdout, os.Stderr)) }
