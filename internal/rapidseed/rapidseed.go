// Package rapidseed fixes the random seed of the property-testing library rapid for tests that
// import it, so that test runs are reproducible. The flag -rapid.seed on the command line overrides
// it.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Seed is the default value of -rapid.seed in every property test of the repository.
const Seed = "20261204"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
}
