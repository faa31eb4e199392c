package outputs

import (
	"bytes"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Limits on transmitted and stored data, before compression.
const (
	MaxRecord = 64 << 10 // data bytes per record
	MaxBlock  = 1 << 20  // data bytes per block, over all of its records
	ChunkSize = 1 << 20  // bytes per artefact chunk; the last one may be smaller
	MaxChunks = 1 << 14  // chunks per attempt, over all of its artefacts
	MaxFiles  = 1000     // artefacts per attempt
)

// Errors for invalid data from the network or the disk.
var (
	ErrBlock = errors.New("not a block of records")
	ErrChunk = errors.New("not the chunk that it is called")
)

// Pack encodes consecutive records as a compressed block; for compact, see [Compress].
func Pack(records []*pb.Record, compact bool) *pb.Block {
	raw, err := proto.Marshal(&pb.Records{Records: records})
	if err != nil {
		panic(err) // records have only bytes and integers, which always marshal
	}
	return &pb.Block{
		First: records[0].Seq,
		Count: uint32(len(records)),
		Zstd:  Compress(raw, compact),
		Tally: CountRecords(records),
	}
}

// Unpack decodes and validates a block: its records must be in order, belong to a known
// stream and be within the size limits. Every error wraps ErrBlock.
func Unpack(b *pb.Block) ([]*pb.Record, error) {
	raw, err := decompress(b.GetZstd())
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBlock, err)
	}
	var rs pb.Records
	if err := proto.Unmarshal(raw, &rs); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBlock, err)
	}
	if len(rs.Records) == 0 || len(rs.Records) != int(b.Count) || b.First+uint64(b.Count) < b.First {
		return nil, fmt.Errorf("%w: %d records, not %d", ErrBlock, len(rs.Records), b.Count)
	}
	size := 0
	for i, r := range rs.Records {
		size += len(r.Data)
		if r.Seq != b.First+uint64(i) || len(r.Data) > MaxRecord || size > MaxBlock {
			return nil, fmt.Errorf("%w: record %d is out of order or too long", ErrBlock, r.Seq)
		}
		if err := checkStream(r); err != nil {
			return nil, err
		}
	}
	return rs.Records, nil
}

func checkStream(r *pb.Record) error {
	switch r.Stream {
	case pb.Stream_STREAM_STDOUT, pb.Stream_STREAM_STDERR:
	case pb.Stream_STREAM_GAP:
		if proto.Unmarshal(r.Data, new(pb.Gap)) != nil {
			return fmt.Errorf("%w: record %d is no gap", ErrBlock, r.Seq)
		}
	default:
		return fmt.Errorf("%w: record %d is of stream %d", ErrBlock, r.Seq, r.Stream)
	}
	return nil
}

var newline = []byte{'\n'}

// CountRecords counts the bytes and lines of records, and the missing bytes that gap
// records report.
func CountRecords(records []*pb.Record) *pb.Tally {
	t := new(pb.Tally)
	for _, r := range records {
		switch r.Stream {
		case pb.Stream_STREAM_STDOUT:
			t.StdoutBytes += uint64(len(r.Data))
			t.StdoutLines += uint64(bytes.Count(r.Data, newline))
		case pb.Stream_STREAM_STDERR:
			t.StderrBytes += uint64(len(r.Data))
			t.StderrLines += uint64(bytes.Count(r.Data, newline))
		case pb.Stream_STREAM_GAP:
			var g pb.Gap
			if proto.Unmarshal(r.Data, &g) == nil {
				t.MissingBytes += g.StdoutBytes + g.StderrBytes
			}
		}
		if t.FirstNs == 0 || r.AtNs < t.FirstNs {
			t.FirstNs = r.AtNs
		}
		t.LastNs = max(t.LastNs, r.AtNs)
	}
	return t
}

// AddCounts adds the counts in t to another tally.
func AddCounts(to, t *pb.Tally) {
	to.StdoutBytes += t.GetStdoutBytes()
	to.StdoutLines += t.GetStdoutLines()
	to.StderrBytes += t.GetStderrBytes()
	to.StderrLines += t.GetStderrLines()
	to.MissingBytes += t.GetMissingBytes()
	if to.FirstNs == 0 || t.GetFirstNs() != 0 && t.GetFirstNs() < to.FirstNs {
		to.FirstNs = t.GetFirstNs()
	}
	to.LastNs = max(to.LastNs, t.GetLastNs())
}

// SubtractCounts subtracts the counts in t from another tally. It leaves the first and
// last times of that tally unchanged, because they can't be derived from the counts of
// the remaining records.
func SubtractCounts(from, t *pb.Tally) {
	from.StdoutBytes -= min(from.StdoutBytes, t.GetStdoutBytes())
	from.StdoutLines -= min(from.StdoutLines, t.GetStdoutLines())
	from.StderrBytes -= min(from.StderrBytes, t.GetStderrBytes())
	from.StderrLines -= min(from.StderrLines, t.GetStderrLines())
	from.MissingBytes -= min(from.MissingBytes, t.GetMissingBytes())
}
