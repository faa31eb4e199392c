// Package seeded runs the tests of a package with a fixed seed for pgregory.net/rapid, so
// that results are reproducible. Only tests import it.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is an arbitrary fixed number other than 0, for which rapid uses a random seed.
const defaultSeed = "1"

// Main runs the tests and exits. It is called from TestMain:
//
//	func TestMain(m *testing.M) {
//		seeded.Main(m)
//	}
//
// The flag -rapid.seed on the command line of go test overrides the seed, since flags are
// parsed later.
func Main(m *testing.M) {
	// Setting the flag fails in packages that do not use rapid, which need no seed.
	_ = flag.Set("rapid.seed", defaultSeed)
	os.Exit(m.Run())
}
