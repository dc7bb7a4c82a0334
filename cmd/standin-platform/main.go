// Command standin-platform is a stand-in for the platform's configuration service, for tests,
// measurements and the local example.
package main

import (
	"os"

	"github.com/cowsliprun/cowsliprun/internal/standin/platform"
)

func main() { os.Exit(platform.Main()) }
