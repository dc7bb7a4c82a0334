// Package rapidseed fixes the seed of rapid for tests that import it, so that a test run gives the same verdict each time.
// The seed can still be chosen on the command line with -rapid.seed.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Seed is used by every property test of the repository.
const Seed = "20261204"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
}
