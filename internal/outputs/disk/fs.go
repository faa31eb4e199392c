package disk

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// File is an open segment file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is the file system that holds the segments. Tests inject faults through it.
type FS interface {
	// Create creates a file, which must not exist.
	Create(name string) (File, error)
	// Open opens a file for reading and writing.
	Open(name string) (File, error)
	Remove(name string) error
	// List returns the names in a directory, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
	// Free returns the number of bytes that can still be written.
	Free(dir string) (uint64, error)
	// Transact runs an index transaction. It is part of FS so that tests can make a
	// transaction fail.
	Transact(update func() error) error
}

// OS returns the file system of the operating system.
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

func (osFS) Transact(update func() error) error { return update() }
