package disk

import (
	"context"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Drop deletes attempts. Their disk space is freed by compaction.
func (s *Store) Drop(ctx context.Context, reason string, keys ...[]byte) error {
	var entries []*pb.Entry
	for _, key := range keys {
		entries = append(entries, &pb.Entry{Key: key, What: &pb.Entry_Drop{Drop: &pb.Drop{Reason: reason}}})
	}
	if err := s.Put(ctx, entries...); err != nil {
		return err
	}
	return s.Checkpoint()
}
