package outputs

import (
	"bytes"
	"crypto/sha256"
	"encoding"
	"encoding/binary"
	"hash"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Digest hashes an attempt's records in order. The result is stored in the attempt's
// seal.
type Digest struct{ hash hash.Hash }

// NewDigest returns an empty digest.
func NewDigest() *Digest { return &Digest{hash: sha256.New()} }

// ResumeDigest restores a digest from the result of [Digest.State].
func ResumeDigest(state []byte) (*Digest, error) {
	d := NewDigest()
	return d, d.hash.(encoding.BinaryUnmarshaler).UnmarshalBinary(state)
}

// Add hashes the next record: its sequence number, time, stream, length and data.
func (d *Digest) Add(r *pb.Record) {
	var header [8 + 8 + 1 + 4]byte
	binary.BigEndian.PutUint64(header[:], r.Seq)
	binary.BigEndian.PutUint64(header[8:], uint64(r.AtNs))
	header[16] = byte(r.Stream)
	binary.BigEndian.PutUint32(header[17:], uint32(len(r.Data)))
	d.hash.Write(header[:])
	d.hash.Write(r.Data)
}

// Sum returns the digest of the records added so far.
func (d *Digest) Sum() []byte { return d.hash.Sum(nil) }

// State returns the serialized hash state, with which another process can resume the
// digest.
func (d *Digest) State() []byte {
	raw, err := d.hash.(encoding.BinaryMarshaler).MarshalBinary()
	if err != nil {
		panic(err) // crypto/sha256 never fails to marshal its state
	}
	return raw
}

// IsUnknownDigest reports whether a seal's digest is all zeros: the writer did not
// process all records and could not compute it.
func IsUnknownDigest(digest []byte) bool { return bytes.Equal(digest, make([]byte, sha256.Size)) }
