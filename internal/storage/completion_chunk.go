package storage

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// bitmapPrefix marks a chunk that is encoded as a bitmap.
const bitmapPrefix = "!"

// ChunkWidth returns the number of indices in a chunk whose text is at most valueBytes long
// for any subset of them.
func ChunkWidth(valueBytes int) int {
	const overhead = 64 // the other fields, and what rounding up adds
	return max(8, (valueBytes-overhead)/4*3*8)
}

// EncodeChunk encodes the indices in [from, to) relative to from, as ranges or, if that is
// shorter, as a base64 bitmap.
func (s *IndexSet) EncodeChunk(from, to int) string {
	var chunk IndexSet
	bitmap := make([]byte, (to-from+7)/8)
	for i := from; i < to; i++ {
		if s.Contains(i) {
			chunk.Add(i - from)
			bitmap[(i-from)/8] |= 1 << ((i - from) % 8)
		}
	}
	ranges := chunk.String()
	bits := bitmapPrefix + base64.RawStdEncoding.EncodeToString(bitmap)
	if len(bits) < len(ranges) {
		return bits
	}
	return ranges
}

// AddChunk adds the indices of a chunk that EncodeChunk encoded with the same from. It
// returns an error for indices that are not below limit.
func (s *IndexSet) AddChunk(text string, from, limit int) error {
	if bits, ok := strings.CutPrefix(text, bitmapPrefix); ok {
		return s.addBitmap(bits, from, limit)
	}
	chunk, err := ParseIndexSet(text, max(0, limit-from))
	if err != nil {
		return err
	}
	for first, last := range chunk.ranges() {
		for i := first; i <= last; i++ {
			s.Add(from + i)
		}
	}
	return nil
}

func (s *IndexSet) addBitmap(text string, from, limit int) error {
	bitmap, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	for i := range len(bitmap) * 8 {
		if bitmap[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if from+i >= limit {
			return fmt.Errorf("task %d of %d", from+i, limit)
		}
		s.Add(from + i)
	}
	return nil
}
