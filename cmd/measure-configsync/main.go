// Command measure-configsync measures how fast and at what cost a configuration change reaches all
// daemons. The daemons run in one process and use loopback sockets.
package main

import (
	"os"

	"github.com/cowsliprun/cowsliprun/internal/configsync/measure"
)

func main() { os.Exit(measure.Main()) }
