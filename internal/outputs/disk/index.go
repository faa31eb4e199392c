package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Buckets of the index, and their keys and values.
var (
	bucketMeta     = []byte("meta")     // "position", "format"
	bucketAttempts = []byte("attempts") // key -> AttemptState
	bucketFailed   = []byte("failed")   // keys of attempts sealed with a non-zero exit status
	bucketSeals    = []byte("seals")    // key -> Seal
	bucketBlocks   = []byte("blocks")   // attempt ID, first record -> Place
	bucketChunks   = []byte("chunks")   // team, zero byte, hash -> Place
	bucketUses     = []byte("uses")     // team, zero byte, hash, attempt ID -> key of the attempt
	bucketSegments = []byte("segments") // segment ID -> SegmentState
	bucketTeams    = []byte("teams")    // team -> bytes on disk, uint64
)

var buckets = [][]byte{
	bucketMeta,
	bucketAttempts,
	bucketFailed,
	bucketSeals,
	bucketBlocks,
	bucketChunks,
	bucketUses,
	bucketSegments,
	bucketTeams,
}

const (
	indexName   = "index.db"
	indexFormat = "1"
	// lockTimeout is how long to wait for a terminating process to release the index.
	lockTimeout = 2 * time.Second
)

// Keys of bucketMeta.
var (
	keyPosition = []byte("position")
	keyFormat   = []byte("format")
)

// ErrInUse means that another process uses the directory.
var ErrInUse = errors.New("another store runs on this directory")

// openIndex opens the index. One that can't be read is renamed and kept, and replaced by
// an empty one.
func openIndex(dir string) (db *bbolt.DB, err error) {
	path := filepath.Join(dir, indexName)
	db, err = openIndexFile(path)
	if err == nil || errors.Is(err, ErrInUse) {
		return db, err
	}
	aside := fmt.Sprintf("%s.bad-%d", path, time.Now().UnixNano())
	slog.Error("index replaced by a rebuild from the segments", "index", path, "kept_as", aside, "err", err)
	if err := os.Rename(path, aside); err != nil {
		return nil, err
	}
	return openIndexFile(path)
}

// openIndexFile opens an index and creates missing buckets.
func openIndexFile(path string) (db *bbolt.DB, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on damaged pages
			err = fmt.Errorf("%v", p)
		}
	}()
	db, err = bbolt.Open(path, 0o640, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, ErrInUse
	}
	if err != nil {
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range buckets {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		m := tx.Bucket(bucketMeta)
		if f := m.Get(keyFormat); f != nil && string(f) != indexFormat {
			return fmt.Errorf("index of form %q", f)
		}
		return m.Put(keyFormat, []byte(indexFormat))
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

func encodeUint32(v uint32) []byte { return binary.BigEndian.AppendUint32(nil, v) }
func encodeUint64(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func blockKey(id, first uint64) []byte { return binary.BigEndian.AppendUint64(encodeUint64(id), first) }

func chunkKey(team string, hash []byte) []byte { return append(append([]byte(team), 0), hash...) }

// teamOfChunk returns the team in a chunk's key.
func teamOfChunk(k []byte) string {
	i := bytes.IndexByte(k, 0)
	return string(k[:max(i, 0)])
}

// putMessage stores a protobuf message under a key.
func putMessage(b *bbolt.Bucket, k []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(k, raw)
}

// getMessage reads a protobuf message, and reports whether one was found.
func getMessage(b *bbolt.Bucket, k []byte, m proto.Message) bool {
	raw := b.Get(k)
	return raw != nil && proto.Unmarshal(raw, m) == nil
}

// getPosition returns the position in the segments that the index covers.
func getPosition(tx *bbolt.Tx) *pb.Position {
	p := new(pb.Position)
	getMessage(tx.Bucket(bucketMeta), keyPosition, p)
	return p
}
