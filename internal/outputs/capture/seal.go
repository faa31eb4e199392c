package capture

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// seal ships the artefacts and seals the attempt.
func (s *shipper) seal(ctx context.Context, result *Result) error {
	seal := &pb.Seal{
		Records: s.acked,
		EndedNs: result.AtNs,
		Exit:    result.Exit,
		Signal:  result.Signal,
		Cause:   result.Cause,
		Digest:  s.digest.Sum(),
		Missing: s.missing,
	}
	if s.digestIncomplete {
		seal.Digest = make([]byte, sha256.Size) // unknown; see outputs.IsUnknownDigest
	}
	for _, f := range result.Refused {
		seal.Refused = append(seal.Refused, &pb.Refused{Path: f.Path, Reason: f.Reason})
	}
	size := uint64(0)
	for _, f := range result.Files {
		if s.maxArtefactBytes > 0 && size+f.Size > s.maxArtefactBytes { // it was collected before the stores' limit was known
			reason := fmt.Sprintf("too large: the stores take %d bytes of one attempt", s.maxArtefactBytes)
			seal.Refused = append(seal.Refused, &pb.Refused{Path: f.Path, Reason: reason})
			continue
		}
		size += f.Size
		if err := s.shipFile(ctx, f); err != nil {
			return err
		}
		seal.Artefacts = append(seal.Artefacts, f.artefact())
	}
	request := &pb.SealRequest{Attempt: s.attempt.attempt(), Secret: s.attempt.Secret, Meta: s.attempt.meta(), Seal: seal}
	_, err := call(ctx, s, request, outputsv1connect.WriterServiceClient.Seal)
	return err
}

func (f *collectedFile) artefact() *pb.Artefact {
	return &pb.Artefact{
		Path:      f.Path,
		Size:      f.Size,
		ChangedNs: f.ChangedNs,
		Mode:      f.Mode,
		Sha256:    f.SHA256,
		Chunks:    f.Chunks,
		ChunkSize: outputs.ChunkSize,
	}
}

// shipFile ships those chunks of a file that the stores lack.
func (s *shipper) shipFile(ctx context.Context, f collectedFile) error {
	missing, err := s.missingChunks(ctx, f)
	if err != nil || len(missing) == 0 {
		return err
	}
	in, err := os.Open(filepath.Join(s.spool.Dir(), f.Copy))
	if err != nil {
		return err
	}
	defer in.Close()
	buf := make([]byte, outputs.ChunkSize)
	for i, hash := range f.Chunks {
		if !missing[string(hash)] {
			continue
		}
		n, err := in.ReadAt(buf, int64(i)*outputs.ChunkSize)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		chunk := outputs.PackChunk(buf[:n])
		if string(chunk.Sha256) != string(hash) {
			return fmt.Errorf("%s: changed in the spool", f.Copy)
		}
		request := &pb.PutChunkRequest{Attempt: s.attempt.attempt(), Secret: s.attempt.Secret, Chunk: chunk}
		if _, err := call(ctx, s, request, outputsv1connect.WriterServiceClient.PutChunk); err != nil {
			return err
		}
		delete(missing, string(hash)) // the file may contain the same chunk more than once
	}
	return nil
}

// missingChunks returns the hashes of those chunks of a file that the stores lack.
func (s *shipper) missingChunks(ctx context.Context, f collectedFile) (map[string]bool, error) {
	if len(f.Chunks) == 0 {
		return nil, nil
	}
	request := &pb.MissingChunksRequest{Attempt: s.attempt.attempt(), Secret: s.attempt.Secret, Sha256: f.Chunks}
	answer, err := call(ctx, s, request, outputsv1connect.WriterServiceClient.MissingChunks)
	if err != nil {
		return nil, err
	}
	missing := map[string]bool{}
	for _, hash := range answer.Sha256 {
		missing[string(hash)] = true
	}
	return missing, nil
}
