package outputs

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// maxUnpackedBytes is the maximum decompressed size of a block: its data and the
// encoding overhead of up to one record for each byte of data and its gaps. It bounds
// the memory that a malicious writer can make a store allocate.
const maxUnpackedBytes = 4 << 20

// Encoders and decoders are pooled for the lifetime of the process, because creating one
// costs more than coding a block. With concurrency 1 they start no goroutines.
var (
	fastEncoders = newEncoderPool(
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true),
	)
	compactEncoders = newEncoderPool(zstd.WithEncoderLevel(zstd.SpeedBetterCompression))
	decoders        = sync.Pool{New: func() any {
		d, err := zstd.NewReader(nil,
			zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderMaxMemory(maxUnpackedBytes),
			zstd.WithDecoderLowmem(true),
		)
		if err != nil {
			panic(err) // the options are constants
		}
		return d
	}}
)

func newEncoderPool(options ...zstd.EOption) *sync.Pool {
	options = append(options, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(MaxBlock))
	return &sync.Pool{New: func() any {
		e, err := zstd.NewWriter(nil, options...)
		if err != nil {
			panic(err) // the options are constants
		}
		return e
	}}
}

// Compress compresses raw with zstd: at the fastest level, or, if compact is set, at a
// level with better compression for data in long-term storage.
func Compress(raw []byte, compact bool) []byte {
	pool := fastEncoders
	if compact {
		pool = compactEncoders
	}
	e := pool.Get().(*zstd.Encoder)
	defer pool.Put(e)
	return e.EncodeAll(raw, make([]byte, 0, len(raw)/3+64))
}

func decompress(packed []byte) ([]byte, error) {
	d := decoders.Get().(*zstd.Decoder)
	defer decoders.Put(d)
	return d.DecodeAll(packed, nil)
}
