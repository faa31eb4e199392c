// Package disk keeps outputs on one store's disk: append-only segments of
// entries, and an index in an embedded database that can be made anew from them.
//
// What Put has returned for was synced. Everything is written by one goroutine,
// which gathers what waits into one write and one sync.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// File is an open file of a segment.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is the file layer under the segments; tests put a failing one there.
type FS interface {
	Create(name string) (File, error) // fails if there is one
	Open(name string) (File, error)   // to read, and to write what was torn
	Remove(name string) error
	List(dir string) ([]string, error)
	SyncDir(dir string) error
	Free(dir string) (uint64, error) // bytes that may still be written
	// Transact runs a transaction of the index.
	Transact(f func() error) error
}

// OS is the system's file layer.
func OS() FS { return osFS{} }

type osFS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

func (osFS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (osFS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (osFS) Remove(name string) error { return os.Remove(name) }

func (osFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

func (osFS) SyncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (osFS) Free(dir string) (uint64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return st.Bavail * uint64(st.Bsize), nil
}

func (osFS) Transact(f func() error) error { return f() }
