package disk

import (
	"context"
	"fmt"
	"testing"
	"time"

	"reedtrack/internal/outputs"
)

// hookFS calls a function before the next transaction of the index, to simulate a
// goroutine that runs concurrently with a checkpoint.
type hookFS struct {
	osFS
	beforeTransaction func()
}

func (fs *hookFS) Transact(update func() error) error {
	if hook := fs.beforeTransaction; hook != nil {
		fs.beforeTransaction = nil
		hook()
	}
	return update()
}

// A reader finds a block damaged while a checkpoint is writing it, and other blocks arrive
// during the checkpoint. The damaged block can be written again, and the new blocks reach the
// index.
// Truncating the list of new blocks by the number that the checkpoint had taken crashed a
// process once, and would have omitted a block that arrived later from the index.
func TestDamageDuringCheckpoint(t *testing.T) {
	for _, late := range []uint64{0, 2} {
		t.Run(fmt.Sprintf("%d concurrent blocks", late), func(t *testing.T) {
			clock := time.Unix(1e6, 0)
			fs := &hookFS{}
			s := openTestStore(t, t.TempDir(), fs, &clock)
			ctx := context.Background()
			key := outputs.Key(testAttempt(0, 1))
			for i := range uint64(3) {
				if err := s.Put(ctx, blockEntry(key, 4*i, 4*i+4)); err != nil {
					t.Fatal(err)
				}
			}
			refs, err := s.findBlocks(key, 4, 8, 0, 1<<20)
			if err != nil || len(refs) != 1 {
				t.Fatal(refs, err)
			}
			fs.beforeTransaction = func() {
				s.markBlockDamaged(key, refs[0])
				for i := range late {
					if err := s.Put(ctx, blockEntry(key, 12+4*i, 16+4*i)); err != nil {
						t.Error(err)
					}
				}
			}
			s.Checkpoint()
			if n := len(s.attempts[string(key)].newBlocks); n != int(late) {
				t.Errorf("%d blocks are not in the index, want the %d written during the checkpoint", n, late)
			}
			s.Checkpoint()
			if n := len(s.attempts[string(key)].newBlocks); n != 0 {
				t.Errorf("%d blocks are not in the index after another checkpoint", n)
			}
			if blocks, _, err := s.Blocks(key, 0, 0, 0, 1<<20); len(blocks) != 2+int(late) || err != nil {
				t.Errorf("%d blocks beside the damaged one, %v", len(blocks), err)
			}
			if err := s.Put(ctx, blockEntry(key, 4, 8)); err != nil {
				t.Fatal(err)
			}
			if blocks, next, err := s.Blocks(key, 0, 0, 0, 1<<20); len(blocks) != 3+int(late) || next != 12+4*late || err != nil {
				t.Errorf("repaired: %d blocks up to %d, %v", len(blocks), next, err)
			}
		})
	}
}
