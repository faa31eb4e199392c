package disk

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"syscall"
	"time"
)

const (
	// freeReadInterval is how long a reading of the free disk space is used, less what was
	// written since.
	freeReadInterval = 200 * time.Millisecond
	// writeFailurePause is how long new writes are refused after a failed write.
	writeFailurePause = time.Second
)

// Stats describe the size and health of a store.
type Stats struct {
	Attempts   uint64 // stored
	DiskBytes  uint64 // total size of the segments
	Free       uint64 // free bytes on the disk, less the reserve
	Full       bool   // new writes are refused
	Damaged    uint64 // damaged entries found since the store was opened
	Segments   int
	TeamBytes  map[string]uint64 // disk space used, by team
	QueueBytes int64             // bytes of queued requests
}

// Stats returns the store's current statistics.
func (s *Store) Stats() Stats {
	full := s.checkSpace(1) != nil
	s.mu.Lock()
	stats := Stats{
		Attempts:   s.position.Attempts,
		DiskBytes:  s.segmentBytes,
		Full:       full,
		Damaged:    s.damagedEntries,
		Segments:   len(s.segments),
		TeamBytes:  maps.Clone(s.teamBytes),
		QueueBytes: s.queuedBytes,
	}
	s.mu.Unlock()
	s.freeMu.Lock()
	defer s.freeMu.Unlock()
	if s.freeBytes > s.options.ReserveBytes {
		stats.Free = s.freeBytes - s.options.ReserveBytes
	}
	return stats
}

// TeamBytes returns the disk space used by a team's outputs.
func (s *Store) TeamBytes(team string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teamBytes[team]
}

// addAttemptBytes adds n, which may be negative, to the usage of an attempt's team. The
// caller holds mu.
func (s *Store) addAttemptBytes(key string, n int64) {
	if strings.Count(key, "\x00") < 2 {
		return // the key has no team
	}
	s.addTeamBytes(teamOfKey(key), n)
}

// addTeamBytes adds n, which may be negative, to the usage of a team. The caller holds mu.
func (s *Store) addTeamBytes(team string, n int64) {
	if total := int64(s.teamBytes[team]) + n; total > 0 {
		s.teamBytes[team] = uint64(total)
	} else {
		delete(s.teamBytes, team)
	}
	s.dirtyTeams[team] = true
}

// checkSpace returns an ErrFull if the given number of bytes must not be written now.
func (s *Store) checkSpace(bytes int64) error {
	s.mu.Lock()
	total := s.segmentBytes
	s.mu.Unlock()
	if limit := s.options.MaxBytes; limit > 0 && total+uint64(bytes) > limit {
		return fmt.Errorf("%w: it may hold %d MB", ErrFull, limit>>20)
	}
	s.freeMu.Lock()
	defer s.freeMu.Unlock()
	now := time.Now()
	if now.Sub(s.freeReadAt) > freeReadInterval {
		free, err := s.fs.Free(s.options.Dir)
		if err != nil {
			return err
		}
		s.freeBytes, s.freeReadAt = free, now
	}
	if reserve := s.options.ReserveBytes; s.freeBytes < reserve+uint64(bytes) {
		return fmt.Errorf("%w: %d MB are free and %d MB stay so", ErrFull, s.freeBytes>>20, reserve>>20)
	}
	if now.Sub(s.writeFailedAt) < writeFailurePause {
		return fmt.Errorf("%w: a write failed just now", ErrFull)
	}
	return nil
}

// isReserveExhausted reports whether a write by compaction would leave less than half of
// the reserve. Compaction may use the other half since it frees space.
func (s *Store) isReserveExhausted(bytes int64) bool {
	s.freeMu.Lock()
	defer s.freeMu.Unlock()
	return s.freeBytes < s.options.ReserveBytes/2+uint64(bytes)
}

// recordWritten subtracts written bytes from the free space until that is read again.
func (s *Store) recordWritten(bytes int64) {
	s.freeMu.Lock()
	defer s.freeMu.Unlock()
	s.freeBytes -= min(s.freeBytes, uint64(bytes))
}

func (s *Store) recordWriteFailure() {
	s.freeMu.Lock()
	defer s.freeMu.Unlock()
	s.writeFailedAt = time.Now()
}

// errNoSpace is the operating system's error for a full disk.
var errNoSpace error = syscall.ENOSPC

// wrapNoSpace converts the operating system's error for a full disk to an ErrFull.
func wrapNoSpace(err error) error {
	if errors.Is(err, errNoSpace) {
		return fmt.Errorf("%w: %v", ErrFull, err)
	}
	return err
}
