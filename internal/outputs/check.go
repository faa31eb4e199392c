package outputs

import (
	"crypto/sha256"
	"fmt"
	"path"
	"strings"
	"unicode"
	"unicode/utf8"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/protocol"
)

const (
	maxPathBytes   = 4096 // of an artefact's path
	maxReasonBytes = 200  // of the reason why an artefact was refused
	maxSignalBytes = 20   // of a signal name
)

// CheckPath validates the path of an artefact, as [EscapePath] returns it.
func CheckPath(name string) error {
	bad := func(why string) error { return &protocol.InvalidFieldError{Field: "artefact.path", Reason: why} }
	switch {
	case name == "" || len(name) > maxPathBytes:
		return bad(fmt.Sprintf("must hold 1 to %d bytes", maxPathBytes))
	case path.IsAbs(name) || path.Clean(name) != name || name == "." || name == ".." || strings.HasPrefix(name, "../"):
		return bad("must stay below the task's directory")
	}
	for i, r := range name {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return bad(fmt.Sprintf("byte %d is to be escaped", i))
		}
	}
	return nil
}

// sealField returns a validation error for a field of a seal.
func sealField(field, reason string) error {
	return &protocol.InvalidFieldError{Field: "seal." + field, Reason: reason}
}

// CheckSeal validates a seal, whose artefacts may have artefactBytes in total
// (0: no limit). Every error is a *protocol.InvalidFieldError.
func CheckSeal(s *pb.Seal, artefactBytes uint64) error {
	switch s.GetCause() {
	case "exit", "signal", "not_started", "lost":
	default:
		return sealField("cause", "must be exit, signal, not_started or lost")
	}
	if len(s.Digest) != sha256.Size {
		return sealField("digest", "must hold 32 bytes")
	}
	if len(s.Signal) > maxSignalBytes || EscapePath(s.Signal) != s.Signal {
		return sealField("signal", "must be a signal's name")
	}
	if len(s.Artefacts) > MaxFiles || len(s.Refused) > MaxFiles {
		return sealField("artefacts", fmt.Sprintf("must be at most %d", MaxFiles))
	}
	size, chunks, err := checkArtefacts(s.Artefacts)
	if err != nil {
		return err
	}
	for _, r := range s.Refused {
		isHidden := func(c rune) bool { return !unicode.IsPrint(c) }
		if len(r.Path) > maxPathBytes || strings.ContainsFunc(r.Path, isHidden) || len(r.Reason) > maxReasonBytes {
			return sealField("refused", "names are to be escaped")
		}
	}
	if chunks > MaxChunks || artefactBytes > 0 && size > artefactBytes {
		return sealField("artefacts", fmt.Sprintf("%d bytes in all; at most %d are kept", size, artefactBytes))
	}
	return nil
}

// checkArtefacts validates each artefact and returns their total bytes and chunks.
func checkArtefacts(artefacts []*pb.Artefact) (size uint64, chunks int, err error) {
	seen := map[string]bool{}
	for _, f := range artefacts {
		if err := CheckPath(f.Path); err != nil {
			return 0, 0, err
		}
		if seen[f.Path] {
			return 0, 0, sealField("artefacts", f.Path+" comes twice")
		}
		seen[f.Path] = true
		if err := checkChunks(f); err != nil {
			return 0, 0, err
		}
		size += f.Size
		chunks += len(f.Chunks)
	}
	return size, chunks, nil
}

// checkChunks checks that an artefact's list of chunks matches its size.
func checkChunks(f *pb.Artefact) error {
	needed := (f.Size + ChunkSize - 1) / ChunkSize
	if f.ChunkSize != ChunkSize || uint64(len(f.Chunks)) != needed || len(f.Sha256) != sha256.Size {
		return sealField("artefacts", f.Path+" does not fit its chunks")
	}
	for _, hash := range f.Chunks {
		if len(hash) != sha256.Size {
			return sealField("artefacts", f.Path+" has a chunk without a hash")
		}
	}
	return nil
}
