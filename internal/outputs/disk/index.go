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

// Buckets of the index.
var (
	bMeta     = []byte("meta")     // "position", "format"
	bAttempts = []byte("attempts") // key -> AttemptState
	bFailed   = []byte("failed")   // keys of attempts sealed with another status than 0
	bSeals    = []byte("seals")    // key -> Seal
	bBlocks   = []byte("blocks")   // id, first -> Place
	bChunks   = []byte("chunks")   // team, 0, hash -> Place
	bUses     = []byte("uses")     // team, 0, hash, id -> key of the attempt
	bSegments = []byte("segments") // number -> SegmentState
	bTeams    = []byte("teams")    // name -> bytes on disk, uint64
	buckets   = [][]byte{bMeta, bAttempts, bFailed, bSeals, bBlocks, bChunks, bUses, bSegments, bTeams}
)

const (
	indexName   = "index.db"
	indexFormat = "1"
)

var (
	kPosition = []byte("position")
	kFormat   = []byte("format")
)

// ErrInUse says that another process has the directory.
var ErrInUse = errors.New("another store runs on this directory")

// openIndex opens the index, or an empty one in place of one that can't be read.
func openIndex(dir string) (db *bbolt.DB, err error) {
	path := filepath.Join(dir, indexName)
	db, err = tryIndex(path)
	if err == nil || errors.Is(err, ErrInUse) {
		return db, err
	}
	aside := fmt.Sprintf("%s.bad-%d", path, time.Now().UnixNano())
	slog.Error("index can't be read, it is made anew from the segments", "index", path, "kept_as", aside, "err", err)
	if err := os.Rename(path, aside); err != nil {
		return nil, err
	}
	return tryIndex(path)
}

func tryIndex(path string) (db *bbolt.DB, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics over pages that make no sense
			err = fmt.Errorf("%v", p)
		}
	}()
	db, err = bbolt.Open(path, 0o640, &bbolt.Options{Timeout: 2 * time.Second, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true})
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
		m := tx.Bucket(bMeta)
		if f := m.Get(kFormat); f != nil && string(f) != indexFormat {
			return fmt.Errorf("index of form %q", f)
		}
		return m.Put(kFormat, []byte(indexFormat))
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

func be32(v uint32) []byte { return binary.BigEndian.AppendUint32(nil, v) }
func be64(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func blockKey(id, first uint64) []byte { return binary.BigEndian.AppendUint64(be64(id), first) }

func chunkKey(team string, hash []byte) []byte { return append(append([]byte(team), 0), hash...) }

func teamOfChunk(k []byte) string {
	i := bytes.IndexByte(k, 0)
	return string(k[:max(i, 0)])
}

func put(b *bbolt.Bucket, k []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(k, raw)
}

// get reads a message; false: there is none.
func get(b *bbolt.Bucket, k []byte, m proto.Message) bool {
	raw := b.Get(k)
	return raw != nil && proto.Unmarshal(raw, m) == nil
}

func getPosition(tx *bbolt.Tx) *pb.Position {
	p := new(pb.Position)
	get(tx.Bucket(bMeta), kPosition, p)
	return p
}
