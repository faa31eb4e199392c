package outputs

import (
	"slices"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Spans is a set of record numbers, stored as sorted half-open ranges that neither
// overlap nor touch. Its methods do not modify it.
type Spans []*pb.Span

// Add returns the union of the set and the range [from, to).
func (s Spans) Add(from, to uint64) Spans {
	if from >= to {
		return s
	}
	i, _ := slices.BinarySearchFunc(s, from, func(x *pb.Span, v uint64) int {
		if x.To < v {
			return -1
		}
		return 1
	}) // the first span that touches or follows the range
	j := i
	for ; j < len(s) && s[j].From <= to; j++ {
		from, to = min(from, s[j].From), max(to, s[j].To)
	}
	return slices.Replace(slices.Clone(s), i, j, &pb.Span{From: from, To: to})
}

// Remove returns the set without the range [from, to).
func (s Spans) Remove(from, to uint64) Spans {
	var out Spans
	for _, x := range s {
		if x.To <= from || x.From >= to || from >= to {
			out = append(out, x)
			continue
		}
		if x.From < from {
			out = append(out, &pb.Span{From: x.From, To: from})
		}
		if x.To > to {
			out = append(out, &pb.Span{From: to, To: x.To})
		}
	}
	return out
}

// Missing returns the parts of the range [from, to) that are not in the set.
func (s Spans) Missing(from, to uint64) Spans {
	var out Spans
	for _, x := range s {
		if x.To <= from {
			continue
		}
		if x.From >= to {
			break
		}
		if x.From > from {
			out = append(out, &pb.Span{From: from, To: x.From})
		}
		from = max(from, x.To)
	}
	if from < to {
		out = append(out, &pb.Span{From: from, To: to})
	}
	return out
}

// SpanEnd returns the exclusive end of the span that contains seq, or seq itself if it is
// not in the set.
func (s Spans) SpanEnd(seq uint64) uint64 {
	for _, x := range s {
		if x.From <= seq && seq < x.To {
			return x.To
		}
	}
	return seq
}

// Next returns the smallest record number in the set that is at least seq.
func (s Spans) Next(seq uint64) (uint64, bool) {
	for _, x := range s {
		if seq < x.To {
			return max(seq, x.From), true
		}
	}
	return 0, false
}

// End returns the number after the last record, or 0 if the set is empty.
func (s Spans) End() uint64 {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].To
}

// Count returns the number of records in the set.
func (s Spans) Count() uint64 {
	n := uint64(0)
	for _, x := range s {
		n += x.To - x.From
	}
	return n
}
