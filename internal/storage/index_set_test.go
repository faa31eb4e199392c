package storage

import (
	"testing"

	"pgregory.net/rapid"
)

// drawIndexSet draws indices below limit, and returns a set of them and a map as its model.
func drawIndexSet(t *rapid.T, limit int) (*IndexSet, map[int]bool) {
	t.Helper()
	var set IndexSet
	model := map[int]bool{}
	for _, i := range rapid.SliceOf(rapid.IntRange(0, limit-1)).Draw(t, "indices") {
		if set.Add(i) == model[i] {
			t.Fatalf("Add(%d) does not report whether the index was new", i)
		}
		model[i] = true
	}
	return &set, model
}

// The text of a set decodes to the same set, and a shortened text decodes to a subset.
func TestIndexSetRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 300
		set, model := drawIndexSet(t, limit)
		back, err := ParseIndexSet(set.String(), limit)
		if err != nil {
			t.Fatal(err)
		}
		if back.Len() != len(model) {
			t.Fatalf("%d of %d indices decoded", back.Len(), len(model))
		}

		maxBytes := rapid.IntRange(0, 200).Draw(t, "max bytes")
		text := set.StringWithin(maxBytes)
		subset, err := ParseIndexSet(text, limit)
		if err != nil || len(text) > maxBytes {
			t.Fatalf("StringWithin(%d) = %q: %v", maxBytes, text, err)
		}
		for i := range limit {
			if back.Contains(i) != model[i] || subset.Contains(i) && !model[i] {
				t.Fatalf("%d is wrong in %q or %q", i, set.String(), text)
			}
		}
	})
}

// A chunk holds exactly the indices of its range.
func TestChunkRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 300
		set, model := drawIndexSet(t, limit)
		from := rapid.IntRange(0, limit).Draw(t, "from")
		to := rapid.IntRange(from, limit).Draw(t, "to")
		text := set.EncodeChunk(from, to)
		var back IndexSet
		if err := back.AddChunk(text, from, limit); err != nil || back.Len() != set.CountBetween(from, to) {
			t.Fatalf("chunk %d to %d: %d of %d, %v", from, to, back.Len(), set.CountBetween(from, to), err)
		}
		for i := range limit {
			if back.Contains(i) != (model[i] && i >= from && i < to) {
				t.Fatalf("%d is wrong in chunk %q", i, text)
			}
		}
	})
}

func TestParseIndexSetRejectsMalformed(t *testing.T) {
	for _, malformed := range []string{"x-", "5-2", "-1", "zzzz", "1,,2"} {
		t.Run(malformed, func(t *testing.T) {
			if _, err := ParseIndexSet(malformed, 1000); err == nil {
				t.Errorf("%q was accepted", malformed)
			}
		})
	}
}

func TestAddChunkRejectsMalformed(t *testing.T) {
	for name, malformed := range map[string]string{
		"no base64":          "!*",
		"no ranges":          "x-",
		"bitmap over limits": "!////////////////////////////////////////////",
	} {
		t.Run(name, func(t *testing.T) {
			var set IndexSet
			if err := set.AddChunk(malformed, 900, 1000); err == nil {
				t.Errorf("chunk %q was accepted", malformed)
			}
		})
	}
}
