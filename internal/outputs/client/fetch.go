package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"os"

	"connectrpc.com/connect"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// ErrDamaged reports that the content of a fetched file does not match its recorded
// size and hash.
var ErrDamaged = errors.New("what was fetched is not what was kept")

// partSuffix is appended to the name of a file while it is incomplete.
const partSuffix = ".part"

// modeMask is applied to the mode of an artefact, so that only its owner can write to
// the fetched file.
const modeMask = 0o755

// Progress is a callback that receives the number of bytes fetched so far and the size of
// the file.
type Progress func(fetched, size uint64)

// Fetch downloads an artefact to a file. Until the download is complete, the content
// is in a file with the suffix .part, from which a later Fetch resumes; it is then
// renamed. progress may be nil.
func (c *Client) Fetch(ctx context.Context, attempt *pb.Attempt, path, to string, progress Progress) error {
	part := to + partSuffix
	file, err := os.OpenFile(part, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	artefact, err := c.resume(ctx, file, &pb.FetchRequest{Attempt: attempt, Path: path}, progress)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if artefact.Mode != 0 {
		os.Chmod(part, os.FileMode(artefact.Mode)&modeMask)
	}
	return os.Rename(part, to)
}

// resume downloads the part of an artefact that a partial file lacks.
func (c *Client) resume(ctx context.Context, file *os.File, request *pb.FetchRequest, progress Progress) (*pb.Artefact, error) {
	sum := sha256.New()
	present, err := io.Copy(sum, file)
	if err != nil {
		return nil, err
	}
	request.Offset = uint64(present)
	artefact, err := c.download(ctx, request, sum, file, progress)
	if !errors.Is(err, ErrDamaged) || present == 0 {
		return artefact, err
	}
	// The partial file may be of another attempt, so start from the beginning.
	if err := file.Truncate(0); err != nil {
		return nil, err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	sum.Reset()
	request.Offset = 0
	return c.download(ctx, request, sum, file, progress)
}

// FetchTo downloads an artefact to a writer. progress may be nil.
func (c *Client) FetchTo(ctx context.Context, attempt *pb.Attempt, path string, to io.Writer, progress Progress) error {
	_, err := c.download(ctx, &pb.FetchRequest{Attempt: attempt, Path: path}, sha256.New(), to, progress)
	return err
}

// fileDownload downloads one artefact, over several streams if connections break.
type fileDownload struct {
	request  *pb.FetchRequest // Offset advances with each message
	sum      hash.Hash        // of the file's content up to Offset
	to       io.Writer
	progress Progress

	artefact   *pb.Artefact // from the first message that has it
	progressed bool         // the current stream has received data
}

// download fetches an artefact from the offset in the request to its end, and verifies
// the size and hash of the whole file.
func (c *Client) download(ctx context.Context, request *pb.FetchRequest, sum hash.Hash, to io.Writer, progress Progress) (*pb.Artefact, error) {
	start := request.Offset
	d := &fileDownload{request: request, sum: sum, to: to, progress: progress}
	for {
		d.progressed = false
		writeErr, err := receiveStream(ctx, c, idleTimeout, d.open, d.receive)
		switch {
		case writeErr != nil:
			return nil, writeErr
		case err == nil && !d.isComplete():
			return nil, ErrDamaged
		case err == nil:
			return d.artefact, nil
		case connect.CodeOf(err) == connect.CodeInvalidArgument && start > 0:
			return nil, ErrDamaged // the partial file is longer than the artefact
		case IsPermanent(err) || !d.progressed || ctx.Err() != nil:
			return nil, err
		}
	}
}

func (d *fileDownload) open(ctx context.Context, store outputsv1connect.ReaderServiceClient) (*connect.ServerStreamForClient[pb.FetchResponse], error) {
	return store.Fetch(ctx, connect.NewRequest(d.request))
}

func (d *fileDownload) receive(_ context.Context, message *pb.FetchResponse) error {
	if message.Artefact != nil {
		d.artefact = message.Artefact
	}
	if len(message.Data) > 0 {
		d.progressed = true
		d.sum.Write(message.Data)
		if _, err := d.to.Write(message.Data); err != nil {
			return err
		}
		d.request.Offset += uint64(len(message.Data))
	}
	if d.artefact != nil && d.progress != nil {
		d.progress(d.request.Offset, d.artefact.Size)
	}
	return nil
}

// isComplete reports whether the received content matches the artefact's size and hash.
func (d *fileDownload) isComplete() bool {
	return d.artefact != nil && d.request.Offset == d.artefact.Size && bytes.Equal(d.sum.Sum(nil), d.artefact.Sha256)
}
