package cluster

import (
	"bytes"
	"context"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// initialTailRecords is the number of records from the end that are searched first
	// for the last lines.
	initialTailRecords = 16
	// tailGrowthFactor is the factor by which the number of searched records grows while
	// they hold too few lines.
	tailGrowthFactor = 8
)

// seekTail moves to the start of the last TailLines lines. It reads a growing number of
// records from the end until they hold enough lines.
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

// readTail reads the records starting at the given one.
func (r *attemptReader) readTail(ctx context.Context, from uint64) ([]*pb.Record, error) {
	var tail []*pb.Record
	tailReader := &attemptReader{
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
	err := tailReader.run(ctx)
	return tail, err
}

// lastLines finds the record in which the last lines begin and the offset in its data.
// A final line without a newline counts.
func lastLines(records []*pb.Record, lines uint64) (seq uint64, skip int, enough bool) {
	seen := uint64(0)
	atEnd := true // no byte but a final newline has been read
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
			if !(atEnd && newline == len(rec.Data)-1) { // no line begins after the final newline
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
