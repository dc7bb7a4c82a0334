// Command cowsliprund is the proxy daemon that runs next to the backend servers of a VM.
package main

import (
	"os"

	"github.com/cowsliprun/cowsliprun/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
