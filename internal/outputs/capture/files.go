package capture

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/bmatcuk/doublestar/v4"

	"reedtrack/internal/outputs"
)

// CheckPattern says what is wrong with a pattern of files to keep.
func CheckPattern(p string) error {
	if p == "" || path.IsAbs(p) || slices.Contains(strings.Split(p, "/"), "..") {
		return fmt.Errorf("pattern %q: must stay below the task's directory", p)
	}
	if !doublestar.ValidatePattern(p) {
		return fmt.Errorf("pattern %q: not a pattern", p)
	}
	return nil
}

// collect copies the files that patterns name from the task's directory into the
// spool, as long as they fit. Nothing outside the directory is opened, whatever
// links lead there; what is not kept is listed with the reason.
func collect(taskDir, spoolDir string, patterns []string, most uint64) (kept []keptFile, left []leftFile) {
	if len(patterns) == 0 {
		return nil, nil
	}
	root, err := os.OpenRoot(taskDir)
	if err != nil {
		return nil, []leftFile{{outputs.PathName(taskDir), reasonOf(err)}}
	}
	defer root.Close()
	seen := map[string]bool{}
	var names []string
	refuse := func(name, why string) {
		if len(left) < outputs.MaxFiles {
			left = append(left, leftFile{outputs.PathName(name), why})
		}
	}
	for _, p := range patterns {
		found, err := doublestar.Glob(root.FS(), path.Clean(p), doublestar.WithNoFollow())
		if err != nil {
			refuse(p, reasonOf(err))
			continue
		}
		if len(found) == 0 {
			refuse(p, "nothing of this name was there")
		}
		for _, name := range found {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	used, chunks := uint64(0), 0
	for i, name := range names {
		if len(kept) == outputs.MaxFiles {
			refuse(name, fmt.Sprintf("%d files are kept already", outputs.MaxFiles))
			continue
		}
		f, err := copyFile(root, name, filepath.Join(spoolDir, fmt.Sprintf("art-%06d", i)), most-min(most, used), outputs.MaxChunks-chunks)
		if errors.Is(err, errDirectory) {
			continue
		}
		if err != nil {
			refuse(name, reasonOf(err))
			continue
		}
		used += f.Size
		chunks += len(f.Chunks)
		kept = append(kept, *f)
	}
	return kept, left
}

var errDirectory = errors.New("a directory")

func reasonOf(err error) string {
	var pe *fs.PathError
	if errors.As(err, &pe) {
		err = pe.Err
	}
	text := outputs.PathName(err.Error())
	return text[:min(len(text), 200)]
}

// copyFile copies a file and sums up its chunks. What changes meanwhile is kept as
// it was read.
func copyFile(root *os.Root, name, to string, most uint64, mostChunks int) (f *keptFile, err error) {
	// Not blocking: a pipe would wait for its writer.
	in, err := root.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	st, err := in.Stat()
	if err != nil {
		return nil, err
	}
	if st.IsDir() {
		return nil, errDirectory
	}
	if !st.Mode().IsRegular() {
		return nil, errors.New("not a regular file")
	}
	if err := outputs.CheckPath(outputs.PathName(name)); err != nil {
		return nil, err
	}
	tooLarge := fmt.Errorf("too large: %d bytes, %d more may be kept", st.Size(), most)
	if uint64(st.Size()) > most {
		return nil, tooLarge
	}
	out, err := os.OpenFile(to, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		out.Close()
		if err != nil {
			os.Remove(to)
		}
	}()
	f = &keptFile{Path: outputs.PathName(name), ChangedNs: st.ModTime().UnixNano(), Mode: uint32(st.Mode().Perm()), Copy: filepath.Base(to)}
	whole, buf := sha256.New(), make([]byte, outputs.ChunkSize)
	for {
		n, err := io.ReadFull(in, buf)
		if n > 0 {
			if f.Size += uint64(n); f.Size > most || len(f.Chunks) == mostChunks { // it grows
				return nil, tooLarge
			}
			sum := sha256.Sum256(buf[:n])
			f.Chunks = append(f.Chunks, sum[:])
			whole.Write(buf[:n])
			if _, err := out.Write(buf[:n]); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	f.SHA256 = whole.Sum(nil)
	return f, nil
}
