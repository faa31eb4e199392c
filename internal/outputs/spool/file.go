package spool

import (
	"errors"
	"io"
	"os"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/framing"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Kinds of queue files, as encoded in their names.
const (
	kindPlain     = "p" // records added to the queue directly
	kindGap       = "g" // the first file of a tail: its gap record counts unless it is empty
	kindContinued = "i" // the second file of a tail: its gap record does not count
)

// recordOverhead is the size that Read counts for a record in addition to its data.
const recordOverhead = 32

// reasonLost is the reason of a gap that replaces records damaged on disk.
const reasonLost = "lost"

// file is a file of the queue or of the tail. Spool.mu guards it, except for readSeq and
// readOffset, which only the reader uses.
type file struct {
	handle *os.File
	name   string
	kind   string // for queue files
	first  uint64 // sequence number of the first record
	count  uint64 // number of records, including a gap record that counts
	size   int64
	tally  *pb.Tally
	// gapBefore counts the records removed before a tail file; nil if the gap does not
	// count.
	gapBefore *pb.Gap

	readSeq    uint64 // sequence number after the last record read
	readOffset int64  // offset at which that record ends; 0 if unknown
}

// end returns the sequence number after the last record.
func (f *file) end() uint64 { return f.first + f.count }

// isGapSkipped reports whether the gap record at the start of the file does not count.
func (f *file) isGapSkipped() bool {
	return f.kind == kindContinued || f.kind == kindGap && isEmptyGap(f.gapBefore)
}

// read reads records from a sequence number until their size reaches maxBytes, from a file
// that has records up to end and is size bytes long. Damaged records are replaced by gaps,
// so that the numbering of later records is kept.
func (f *file) read(from, end uint64, size int64, maxBytes int) ([]*pb.Record, error) {
	var records []*pb.Record
	bytes, seq, start := 0, f.first, int64(0)
	if f.readOffset > 0 && f.readSeq <= from {
		seq, start = f.readSeq, f.readOffset
	}
	_, bad, err := framing.Scan(f.handle, start, size, func(body []byte, offset int64, length int) error {
		r := new(pb.Record)
		if proto.Unmarshal(body, r) != nil {
			return framing.ErrDamaged
		}
		if offset == 0 && f.isGapSkipped() {
			return nil
		}
		if seq >= end {
			return io.EOF
		}
		seq++
		if seq <= from {
			return nil
		}
		r.Seq = seq - 1
		records = append(records, r)
		f.readSeq, f.readOffset = seq, offset+int64(length)
		if bytes += len(r.Data) + recordOverhead; bytes >= maxBytes {
			return io.EOF
		}
		return nil
	})
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(bad) > 0 {
		f.readOffset = 0 // the numbers of records after the damage are not reliable
	}
	if err == nil { // read to the end: records missing there were damaged
		records = append(records, lostRecords(max(seq, from), end)...)
	}
	return records, nil
}

// lostRecords returns gap records in place of unreadable records.
func lostRecords(from, end uint64) []*pb.Record {
	var records []*pb.Record
	for seq := from; seq < end; seq++ {
		body, _ := proto.Marshal(&pb.Gap{Reason: reasonLost, Unknown: true})
		records = append(records, &pb.Record{Seq: seq, Stream: pb.Stream_STREAM_GAP, Data: body})
	}
	return records
}

// scan reads a file to determine its size without a torn write, its number of records and
// its gap.
func (f *file) scan() error {
	info, err := f.handle.Stat()
	if err != nil {
		return err
	}
	f.tally = new(pb.Tally)
	f.size, _, err = framing.Scan(f.handle, 0, info.Size(), func(body []byte, offset int64, _ int) error {
		r := new(pb.Record)
		if proto.Unmarshal(body, r) != nil {
			return framing.ErrDamaged
		}
		if offset == 0 && f.kind != kindPlain {
			return f.scanGap(r)
		}
		f.count++
		outputs.AddCounts(f.tally, outputs.CountRecords([]*pb.Record{r}))
		return nil
	})
	return err
}

func (f *file) scanGap(r *pb.Record) error {
	gap := new(pb.Gap)
	if proto.Unmarshal(r.Data, gap) != nil {
		return framing.ErrDamaged
	}
	f.gapBefore = gap
	if f.kind == kindGap && !isEmptyGap(gap) {
		f.count++
	}
	return nil
}
