// Command measure-configsync measures the propagation of configuration over loopback sockets in one process.
package main

import (
	"os"

	"github.com/cowsliprun/cowsliprun/internal/configsync/measure"
)

func main() { os.Exit(measure.Main()) }
