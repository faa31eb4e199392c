package disk

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

var errCrashed = errors.New("simulated crash")

// faultFS is a file system that injects faults: it crashes at a given step and loses part
// of the unsynced data, runs out of space, or fails a sync.
type faultFS struct {
	osFS
	mu       sync.Mutex
	rnd      *rand.Rand
	steps    int
	crashAt  int // step of the crash; 0: never
	crashed  bool
	noSpace  bool
	failSync int  // first step at which a sync fails; 0: never
	failTx   bool // the next transaction of the index fails
	files    map[string]*faultFile
	newNames map[string]bool // created since the directory was synced
}

type faultFile struct {
	fs     *faultFS
	f      *os.File
	synced int64
	size   int64
}

func newFaultFS(seed uint64, crashAt int) *faultFS {
	return &faultFS{rnd: rand.New(rand.NewPCG(seed, uint64(crashAt))), crashAt: crashAt, files: map[string]*faultFile{}, newNames: map[string]bool{}}
}

// step counts a modification, and reports whether the machine crashes in it.
func (fs *faultFS) step() (crashes bool, err error) {
	if fs.crashed {
		return false, errCrashed
	}
	fs.steps++
	if fs.steps == fs.crashAt {
		fs.crashed = true
		return true, errCrashed
	}
	return false, nil
}

func (fs *faultFS) Create(name string) (File, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	crashes, err := fs.step()
	if err != nil && (!crashes || fs.rnd.IntN(2) == 0) {
		return nil, err
	}
	f, oerr := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o640)
	if oerr != nil {
		return nil, oerr
	}
	ff := &faultFile{fs: fs, f: f}
	fs.files[name], fs.newNames[name] = ff, true
	return ff, err
}

func (fs *faultFS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	st, _ := f.Stat()
	ff := &faultFile{fs: fs, f: f, synced: st.Size(), size: st.Size()}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.files[name] = ff
	return ff, nil
}

func (fs *faultFS) Remove(name string) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if _, err := fs.step(); err != nil {
		return err
	}
	delete(fs.files, name)
	return os.Remove(name)
}

func (fs *faultFS) SyncDir(string) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if _, err := fs.step(); err != nil {
		return err
	}
	clear(fs.newNames)
	return nil
}

func (fs *faultFS) Free(string) (uint64, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.noSpace {
		return 0, nil
	}
	return 1 << 40, nil
}

func (fs *faultFS) Transact(f func() error) error {
	fs.mu.Lock()
	crashes, err := fs.step()
	apply := err == nil || crashes && fs.rnd.IntN(2) == 0
	if fs.failTx {
		fs.failTx, apply, err = false, false, syscall.ENOSPC
	}
	fs.mu.Unlock()
	if !apply {
		return err
	}
	return errors.Join(f(), err)
}

// loseUnsynced leaves the files as a machine crash would: synced data is kept, with an
// arbitrary part of the rest.
func (fs *faultFS) loseUnsynced() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for name, f := range fs.files {
		if fs.newNames[name] && fs.rnd.IntN(3) == 0 {
			os.Remove(name)
			continue
		}
		if f.size > f.synced {
			unsynced := f.size - f.synced
			f.f.Truncate(f.synced + fs.rnd.Int64N(unsynced+1))
			if fs.rnd.IntN(2) == 0 { // a page that was not written back
				at := f.synced + fs.rnd.Int64N(unsynced)
				f.f.WriteAt(make([]byte, fs.rnd.IntN(64)), at)
			}
		}
		f.f.Close()
	}
}

func (f *faultFile) ReadAt(b []byte, at int64) (int, error) { return f.f.ReadAt(b, at) }

func (f *faultFile) WriteAt(b []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	crashes, err := f.fs.step()
	if crashes {
		b = b[:f.fs.rnd.IntN(len(b)+1)]
	} else if err != nil {
		return 0, err
	}
	if f.fs.noSpace {
		b, err = b[:f.fs.rnd.IntN(len(b)+1)], syscall.ENOSPC
	}
	n, werr := f.f.WriteAt(b, at)
	f.size = max(f.size, at+int64(n))
	return n, errors.Join(err, werr)
}

func (f *faultFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	crashes, err := f.fs.step()
	if f.fs.failSync > 0 && f.fs.steps >= f.fs.failSync {
		f.fs.failSync = 0
		return syscall.EIO
	}
	if err == nil || crashes && f.fs.rnd.IntN(2) == 0 {
		f.synced = f.size
	}
	return err
}

func (f *faultFile) Truncate(n int64) error { return f.f.Truncate(n) }

func (f *faultFile) Size() (int64, error) {
	st, err := f.f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

func (f *faultFile) Close() error { return f.f.Close() }

// flipBit changes one bit of a file.
func flipBit(path string, at int64, bit uint) error {
	f, err := os.OpenFile(filepath.Clean(path), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	b := make([]byte, 1)
	if _, err := f.ReadAt(b, at); err != nil {
		return err
	}
	b[0] ^= 1 << (bit % 8)
	_, err = f.WriteAt(b, at)
	return err
}
