package policy

import (
	"testing"

	"reedtrack/internal/seeded"
)

func TestMain(m *testing.M) {
	seeded.Main(m)
}

// unlimited is a MaxQuota function without limits.
func unlimited(int) float64 { return 0 }
