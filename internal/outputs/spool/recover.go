package spool

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
)

// recover loads the files left by an earlier process. A tail that was open is moved to the
// queue.
func (s *Spool) recover() error {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return err
	}
	var queue, tail []string
	for _, e := range entries {
		switch {
		case strings.HasPrefix(e.Name(), "q-"):
			queue = append(queue, e.Name())
		case strings.HasPrefix(e.Name(), "t-"):
			tail = append(tail, e.Name())
		}
	}
	if err := s.recoverQueue(queue); err != nil {
		return err
	}
	if err := s.recoverTail(tail); err != nil {
		return err
	}
	return s.endTail()
}

func (s *Spool) recoverQueue(names []string) error {
	slices.Sort(names)
	for i, name := range names {
		f := &file{name: name}
		var number int
		if _, err := fmt.Sscanf(name, "q-%d-%d-%s", &number, &f.first, &f.kind); err != nil {
			return fmt.Errorf("%s: not a file of a spool", s.path(name))
		}
		if err := s.openExisting(f); err != nil {
			return err
		}
		if i+1 < len(names) {
			// The name of the next file gives the number of records, including damaged
			// ones.
			var nextFirst uint64
			if _, err := fmt.Sscanf(names[i+1], "q-%d-%d", new(int), &nextFirst); err == nil && nextFirst >= f.first {
				f.count = nextFirst - f.first
			}
		}
		s.nextNumber = number + 1
		s.next = f.end()
		s.size += f.size
		s.files = append(s.files, f)
	}
	return nil
}

// tailName is the parsed name of a tail file.
type tailName struct {
	name            string
	episode, number int
}

func parseTailName(name string) tailName {
	n := tailName{name: name}
	fmt.Sscanf(name, "t-%d-%d", &n.episode, &n.number)
	return n
}

func (s *Spool) recoverTail(names []string) error {
	var parsed []tailName
	for _, name := range names {
		parsed = append(parsed, parseTailName(name))
	}
	slices.SortFunc(parsed, func(a, b tailName) int {
		return cmp.Or(cmp.Compare(a.episode, b.episode), cmp.Compare(a.number, b.number))
	})
	for _, n := range parsed {
		f := &file{name: n.name}
		if err := s.openExisting(f); err != nil {
			return err
		}
		s.episode = n.episode
		if f.gapBefore == nil { // the process was killed before the gap was written
			f.handle.Close()
			os.Remove(s.path(n.name))
			continue
		}
		if len(s.tailFiles) == 0 && s.isSecondFile(f) {
			f.gapBefore = nil
		}
		s.tailFiles = append(s.tailFiles, f)
	}
	return nil
}

func (s *Spool) openExisting(f *file) (err error) {
	if f.handle, err = os.OpenFile(s.path(f.name), os.O_RDWR, 0); err != nil {
		return err
	}
	if err = f.scan(); err != nil {
		f.handle.Close()
	}
	return err
}

// isSecondFile reports whether the first file of the tail was already moved to the queue,
// because the process was killed between the two moves. The gap of the second file then
// counts the records of that file, which are still there.
func (s *Spool) isSecondFile(f *file) bool {
	if len(s.files) == 0 {
		return false
	}
	last := s.files[len(s.files)-1]
	if last.kind != kindGap {
		return false
	}
	gap := proto.CloneOf(last.gapBefore)
	addToGap(gap, last.tally)
	return proto.Equal(gap, f.gapBefore)
}
