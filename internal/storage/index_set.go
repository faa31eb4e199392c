package storage

import (
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// indexBase is the base of stored indices. It is large enough for the set of a job array of
// 100,000 tasks to fit into a value for any usual order of completion.
const indexBase = 36

// IndexSet is a set of task indices of a job array. Its text form is a list of ranges such
// as "0-3,7", with numbers in base 36. The zero value is an empty set.
type IndexSet struct {
	bits  []uint64
	count int
}

// Contains reports whether i is in the set.
func (s *IndexSet) Contains(i int) bool {
	return i>>6 < len(s.bits) && s.bits[i>>6]&(1<<(i&63)) != 0
}

// Add adds i to the set and reports whether it was new.
func (s *IndexSet) Add(i int) bool {
	if s.Contains(i) {
		return false
	}
	for i>>6 >= len(s.bits) {
		s.bits = append(s.bits, 0)
	}
	s.bits[i>>6] |= 1 << (i & 63)
	s.count++
	return true
}

// Len returns the number of indices in the set.
func (s *IndexSet) Len() int { return s.count }

// CountBetween returns the number of indices of the set in [from, to).
func (s *IndexSet) CountBetween(from, to int) int {
	n := 0
	for i := from; i < to; i++ {
		if s.Contains(i) {
			n++
		}
	}
	return n
}

// ranges yields the first and last index of each range, in ascending order.
func (s *IndexSet) ranges() iter.Seq2[int, int] {
	return func(yield func(int, int) bool) {
		for i := 0; i < len(s.bits)*64; i++ {
			if !s.Contains(i) {
				continue
			}
			first := i
			for s.Contains(i + 1) {
				i++
			}
			if !yield(first, i) {
				return
			}
		}
	}
}

// String returns the set's text form, see ParseIndexSet.
func (s *IndexSet) String() string { return s.formatRanges(1) }

// StringWithin returns a text form of at most limit bytes, omitting the shortest ranges as
// necessary. An omitted completed task is only run again; its result is kept on the worker's
// side.
func (s *IndexSet) StringWithin(limit int) string {
	text := s.String()
	for minLength := 2; len(text) > limit; minLength *= 2 {
		text = s.formatRanges(minLength)
	}
	return text
}

// formatRanges writes the ranges of at least minLength indices.
func (s *IndexSet) formatRanges(minLength int) string {
	var b strings.Builder
	for first, last := range s.ranges() {
		if last-first+1 < minLength {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatInt(int64(first), indexBase))
		if last > first {
			b.WriteByte('-')
			b.WriteString(strconv.FormatInt(int64(last), indexBase))
		}
	}
	return b.String()
}

// ParseIndexSet parses the text form of a set. It returns an error for indices that are not
// below limit.
func ParseIndexSet(text string, limit int) (IndexSet, error) {
	var s IndexSet
	if text == "" {
		return s, nil
	}
	for _, part := range strings.Split(text, ",") {
		first, last, err := parseRange(part, limit)
		if err != nil {
			return IndexSet{}, err
		}
		for i := first; i <= last; i++ {
			s.Add(i)
		}
	}
	return s, nil
}

func parseRange(text string, limit int) (first, last int, err error) {
	firstText, lastText, hasLast := strings.Cut(text, "-")
	if !hasLast {
		lastText = firstText
	}
	low, lowErr := strconv.ParseInt(firstText, indexBase, 32)
	high, highErr := strconv.ParseInt(lastText, indexBase, 32)
	if lowErr != nil || highErr != nil || low < 0 || high < low || int(high) >= limit {
		return 0, 0, fmt.Errorf("range %q", text)
	}
	return int(low), int(high), nil
}
