package disk

import (
	"flag"
	"log/slog"
	"os"
	"testing"
)

// The seed is fixed, so that a run has the same verdict every time.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
