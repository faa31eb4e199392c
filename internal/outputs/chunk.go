package outputs

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	pb "reedtrack/internal/outputs/outputsv1"
)

// PackChunk encodes part of an artefact's content as a compressed chunk.
func PackChunk(data []byte) *pb.Chunk {
	sum := sha256.Sum256(data)
	return &pb.Chunk{Sha256: sum[:], Size: uint32(len(data)), Zstd: Compress(data, false)}
}

// UnpackChunk decodes a chunk and verifies its content against its size and hash.
// Every error wraps ErrChunk.
func UnpackChunk(c *pb.Chunk) ([]byte, error) {
	data, err := decompress(c.GetZstd())
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrChunk, err)
	}
	sum := sha256.Sum256(data)
	if len(data) > ChunkSize || len(data) != int(c.Size) || !bytes.Equal(sum[:], c.Sha256) {
		return nil, ErrChunk
	}
	return data, nil
}
