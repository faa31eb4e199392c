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

// maxReasonBytes is the length to which the reason for a refusal is truncated; see
// [outputs.CheckSeal].
const maxReasonBytes = 200

// CheckPattern validates a glob pattern of files to keep.
func CheckPattern(p string) error {
	if p == "" || path.IsAbs(p) || slices.Contains(strings.Split(p, "/"), "..") {
		return fmt.Errorf("pattern %q: must stay below the task's directory", p)
	}
	if !doublestar.ValidatePattern(p) {
		return fmt.Errorf("pattern %q: not a pattern", p)
	}
	return nil
}

// collector copies files from a task's directory into a spool.
type collector struct {
	root     *os.Root
	spoolDir string
	maxBytes uint64 // total size of all files

	files   []collectedFile
	bytes   uint64
	chunks  int
	refused []refusedFile
}

// collect copies the files that match the patterns from the task's directory into the
// spool, as far as they fit into maxBytes. It opens nothing outside the directory, even
// through symbolic links. Files that are not kept are returned with the reason.
func collect(taskDir, spoolDir string, patterns []string, maxBytes uint64) ([]collectedFile, []refusedFile) {
	if len(patterns) == 0 {
		return nil, nil
	}
	root, err := os.OpenRoot(taskDir)
	if err != nil {
		return nil, []refusedFile{{Path: outputs.EscapePath(taskDir), Reason: reasonOf(err)}}
	}
	defer root.Close()
	c := &collector{root: root, spoolDir: spoolDir, maxBytes: maxBytes}
	for i, name := range c.find(patterns) {
		c.collect(name, fmt.Sprintf("art-%06d", i))
	}
	return c.files, c.refused
}

// find returns the names that match any of the patterns, sorted and without duplicates.
func (c *collector) find(patterns []string) []string {
	var names []string
	for _, p := range patterns {
		found, err := doublestar.Glob(c.root.FS(), path.Clean(p), doublestar.WithNoFollow())
		if err != nil {
			c.refuse(p, reasonOf(err))
			continue
		}
		if len(found) == 0 {
			c.refuse(p, "nothing of this name was there")
		}
		names = append(names, found...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// collect copies a file, or lists it as refused. It skips directories.
func (c *collector) collect(name, copyName string) {
	if len(c.files) == outputs.MaxFiles {
		c.refuse(name, fmt.Sprintf("%d files are kept already", outputs.MaxFiles))
		return
	}
	f, err := c.copyFile(name, copyName)
	if errors.Is(err, errDirectory) {
		return
	}
	if err != nil {
		c.refuse(name, reasonOf(err))
		return
	}
	c.bytes += f.Size
	c.chunks += len(f.Chunks)
	c.files = append(c.files, *f)
}

func (c *collector) refuse(name, reason string) {
	if len(c.refused) < outputs.MaxFiles {
		c.refused = append(c.refused, refusedFile{Path: outputs.EscapePath(name), Reason: reason})
	}
}

var (
	errDirectory  = errors.New("a directory")
	errNotRegular = errors.New("not a regular file")
)

// tooLargeError reports that a file exceeds the space that is left for artefacts.
type tooLargeError struct {
	size uint64
	room uint64
}

func (e *tooLargeError) Error() string {
	return fmt.Sprintf("too large: %d bytes, %d more may be kept", e.size, e.room)
}

// reasonOf returns the text of an error for readers, without the path, which is listed
// separately.
func reasonOf(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	text := outputs.EscapePath(err.Error())
	return text[:min(len(text), maxReasonBytes)]
}

// copyFile copies a file and hashes its chunks. The copy of a file that changes
// concurrently contains the data that was read.
func (c *collector) copyFile(name, copyName string) (f *collectedFile, err error) {
	// O_NONBLOCK, because opening a named pipe would otherwise block until it has a writer.
	in, err := c.root.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return nil, err
	}
	room := c.maxBytes - min(c.maxBytes, c.bytes)
	if err := checkFile(name, info, room); err != nil {
		return nil, err
	}
	to := filepath.Join(c.spoolDir, copyName)
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
	f = &collectedFile{
		Path:      outputs.EscapePath(name),
		ChangedNs: info.ModTime().UnixNano(),
		Mode:      uint32(info.Mode().Perm()),
		Copy:      copyName,
	}
	err = f.copyChunks(in, out, room, outputs.MaxChunks-c.chunks)
	if errors.Is(err, errFileGrew) {
		err = &tooLargeError{size: uint64(info.Size()), room: room}
	}
	if err != nil {
		return nil, err
	}
	return f, nil
}

// checkFile returns an error if a file can't be kept.
func checkFile(name string, info fs.FileInfo, room uint64) error {
	if info.IsDir() {
		return errDirectory
	}
	if !info.Mode().IsRegular() {
		return errNotRegular
	}
	if err := outputs.CheckPath(outputs.EscapePath(name)); err != nil {
		return err
	}
	if size := uint64(info.Size()); size > room {
		return &tooLargeError{size: size, room: room}
	}
	return nil
}

// errFileGrew reports that a file turned out to have more bytes or chunks than may be
// kept.
var errFileGrew = errors.New("the file grew")

// copyChunks copies a file's content and computes the hashes of each chunk and of the
// whole file.
func (f *collectedFile) copyChunks(in io.Reader, out io.Writer, maxBytes uint64, maxChunks int) error {
	whole, buf := sha256.New(), make([]byte, outputs.ChunkSize)
	for {
		n, err := io.ReadFull(in, buf)
		if n > 0 {
			f.Size += uint64(n)
			if f.Size > maxBytes || len(f.Chunks) == maxChunks {
				return errFileGrew
			}
			sum := sha256.Sum256(buf[:n])
			f.Chunks = append(f.Chunks, sum[:])
			whole.Write(buf[:n])
			if _, err := out.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			f.SHA256 = whole.Sum(nil)
			return nil
		}
		if err != nil {
			return err
		}
	}
}
