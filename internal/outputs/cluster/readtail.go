package cluster

import (
	"bytes"
	"context"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// initialTailRecords is how many records from the end are searched first for the
	// last lines.
	initialTailRecords = 16
	// tailGrowthFactor is by how much more is searched each time that they were too few.
	tailGrowthFactor = 8
)

// seekTail moves to the place from which on TailLines lines follow. It reads ever
// more records from the end until they hold enough lines.
func (r *attemptReader) seekTail(ctx context.Context) error {
	list, unreachable := r.node.replicas(ctx, r.key, false)
	if len(list) == 0 {
		return notFound(unreachable)
	}
	end := uint64(0)
	for _, c := range list {
		end = max(end, outputs.Spans(c.held.Spans).End())
	}
	for back := uint64(initialTailRecords); ; back *= tailGrowthFactor {
		from := max(end-min(back, end), r.request.From)
		tail, err := r.readTail(ctx, from)
		if err != nil {
			return err
		}
		seq, skip, enough := lastLines(tail, r.request.TailLines)
		if enough {
			r.next = seq
			r.skipBytes = skip
			return nil
		}
		if from <= r.request.From {
			r.next = from
			return nil
		}
	}
}

// readTail reads the records from one on.
func (r *attemptReader) readTail(ctx context.Context, from uint64) ([]*pb.Record, error) {
	var tail []*pb.Record
	probe := &attemptReader{
		node:     r.node,
		key:      r.key,
		request:  &pb.ReadRequest{From: from},
		streams:  r.streams,
		next:     from,
		failedAt: map[string]time.Time{},
		emit: func(m *pb.ReadResponse) error {
			tail = append(tail, m.Records...)
			return nil
		},
	}
	err := probe.run(ctx)
	return tail, err
}

// lastLines finds where the last lines begin: in which record, and how many bytes
// into it. A line without a newline at the end counts.
func lastLines(records []*pb.Record, lines uint64) (seq uint64, skip int, enough bool) {
	seen := uint64(0)
	atEnd := true // nothing but a final newline was passed
	for i := len(records) - 1; i >= 0; i-- {
		rec := records[i]
		if rec.Stream == pb.Stream_STREAM_GAP {
			continue
		}
		for k := len(rec.Data); k > 0; {
			newline := bytes.LastIndexByte(rec.Data[:k], '\n')
			if newline < 0 {
				break
			}
			if !(atEnd && newline == len(rec.Data)-1) { // the newline at the very end begins no line
				if seen++; seen == lines {
					return rec.Seq, newline + 1, true
				}
			}
			k = newline
			atEnd = false
		}
		if len(rec.Data) > 0 {
			atEnd = false
		}
	}
	return 0, 0, false
}
