package storage

import (
	"flag"
	"os"
	"testing"
)

// The seed is fixed, so that a run has the same verdict every time.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
