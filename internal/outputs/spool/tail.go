package spool

import (
	"fmt"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// tailFileCount is the maximum number of tail files. The oldest is removed when another is
// needed.
const tailFileCount = 2

// gapFrameOverhead allows for the frame header and the record fields around the body of a
// gap.
const gapFrameOverhead = 64

// reasonSpool is the reason of a gap for records that the spool could not write.
const reasonSpool = "spool"

// AddToTail adds a record to the tail, starting one if there is none. The reason is that
// of the tail's gap and is only used when the tail starts.
func (s *Spool) AddToTail(r *pb.Record, reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tailFiles) == 0 {
		s.episode++
		s.evicted.Reset()
		s.tailReason = reason
	}
	frame, err := encodeFrame(r)
	if err != nil {
		return err
	}
	if n := len(s.tailFiles); n == 0 || s.tailFiles[n-1].size+int64(len(frame)) > s.tailFileBytes {
		if err := s.rotateTail(r.AtNs); err != nil {
			s.countLost(r)
			return err
		}
	}
	f := s.tailFiles[len(s.tailFiles)-1]
	if _, err := f.handle.WriteAt(frame, f.size); err != nil {
		s.countLost(r)
		return err
	}
	f.size += int64(len(frame))
	f.count++
	outputs.AddCounts(f.tally, outputs.CountRecords([]*pb.Record{r}))
	return nil
}

// Tail reports whether there is a tail, and its size in bytes.
func (s *Spool) Tail() (exists bool, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.tailFiles {
		bytes += f.size
	}
	return len(s.tailFiles) > 0, bytes
}

// EndTail ends the tail and moves the remaining records to the queue.
func (s *Spool) EndTail() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endTail()
}

// rotateTail starts the next tail file and removes the oldest if there are too many. now
// is the time of the gap record. The caller holds mu.
func (s *Spool) rotateTail(now int64) error {
	if len(s.tailFiles) == tailFileCount {
		oldest := s.tailFiles[0]
		addToGap(&s.evicted, oldest.tally)
		oldest.handle.Close()
		os.Remove(s.path(oldest.name))
		s.tailFiles = s.tailFiles[1:]
	}
	number := 0
	gap := proto.CloneOf(&s.evicted)
	gap.Reason = s.tailReason
	if len(s.tailFiles) > 0 {
		before := s.tailFiles[0]
		fmt.Sscanf(before.name, "t-%d-%d", new(int), &number)
		addToGap(gap, before.tally) // counts if that file is removed too
	}
	name := tailFileName(s.episode, number+1)
	handle, err := s.createFile(name)
	if err != nil {
		return err
	}
	size, err := writeGap(handle, gap, now)
	if err != nil {
		handle.Close()
		os.Remove(s.path(name))
		return err
	}
	s.tailFiles = append(s.tailFiles, &file{handle: handle, name: name, size: size, tally: new(pb.Tally), gapBefore: gap})
	return nil
}

// writeGap writes the gap record at the start of a tail file.
func writeGap(f *os.File, gap *pb.Gap, now int64) (size int64, err error) {
	body, _ := proto.Marshal(gap)
	frame, err := encodeFrame(&pb.Record{AtNs: now, Stream: pb.Stream_STREAM_GAP, Data: body})
	if err != nil {
		return 0, err
	}
	_, err = f.WriteAt(frame, 0)
	return int64(len(frame)), err
}

// endTail is EndTail for a caller that holds mu.
func (s *Spool) endTail() error {
	for len(s.tailFiles) > 0 {
		if err := s.moveToQueue(s.tailFiles[0]); err != nil {
			return err
		}
		s.tailFiles = s.tailFiles[1:]
		if len(s.tailFiles) > 0 {
			s.tailFiles[0].gapBefore = nil // the file before it was kept
		}
	}
	return s.addLostGap()
}

// moveToQueue moves a tail file to the queue.
func (s *Spool) moveToQueue(f *file) error {
	f.kind = kindContinued
	if f.gapBefore != nil {
		f.kind = kindGap
	}
	name := queueFileName(s.nextNumber, s.next, f.kind)
	if err := os.Rename(s.path(f.name), s.path(name)); err != nil {
		return err
	}
	s.nextNumber++
	f.name, f.first = name, s.next
	if f.kind == kindGap && !isEmptyGap(f.gapBefore) {
		f.count++
	}
	s.next += f.count
	s.size += f.size
	s.files = append(s.files, f)
	return nil
}

// addLostGap adds a gap for the records that could not be written. It may exceed the
// queue's limit.
func (s *Spool) addLostGap() error {
	if isEmptyGap(&s.lost) {
		return nil
	}
	s.lost.Reason = reasonSpool
	body, err := proto.Marshal(&s.lost)
	if err != nil {
		return err
	}
	gap := &pb.Record{AtNs: time.Now().UnixNano(), Stream: pb.Stream_STREAM_GAP, Data: body}
	if err := s.append(gap, s.size+int64(len(body))+gapFrameOverhead); err != nil {
		return err
	}
	s.lost.Reset()
	return nil
}

// countLost counts a record that could not be written.
func (s *Spool) countLost(r *pb.Record) { addToGap(&s.lost, outputs.CountRecords([]*pb.Record{r})) }

func addToGap(g *pb.Gap, t *pb.Tally) {
	g.StdoutBytes += t.StdoutBytes
	g.StdoutLines += t.StdoutLines
	g.StderrBytes += t.StderrBytes
	g.StderrLines += t.StderrLines
}

// isEmptyGap reports whether a gap counts no records.
func isEmptyGap(g *pb.Gap) bool {
	return !g.Unknown && g.StdoutBytes+g.StderrBytes == 0
}
