package serve

import (
	"fmt"
	"mime"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// streamNames are the values of the query parameter "stream".
var streamNames = map[string]pb.Stream{"stdout": pb.Stream_STREAM_STDOUT, "stderr": pb.Stream_STREAM_STDERR}

// log sends an attempt's output as text, with terminal control sequences escaped, or
// unchanged with raw=1.
func (p pages) log(c echo.Context) error {
	s, err := p.findAttempt(c)
	if err != nil {
		return err
	}
	req, err := parseReadRequest(c, s.Attempt)
	if err != nil {
		return err
	}
	raw := queryFlag(c, "raw")
	w := c.Response()
	// The status is sent with the first message, so that errors before it can still
	// set another status.
	begin := func() {
		if w.Committed {
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if raw {
			w.Header().Set("Content-Type", "application/octet-stream")
		}
		w.Header().Set("Reedtrack-Attempt", outputs.FormatAttempt(s.Attempt))
		w.WriteHeader(http.StatusOK)
	}
	err = p.reader.read(c.Request().Context(), req, func(m *pb.ReadResponse) error {
		begin()
		if _, err := w.Write(appendLog(nil, m, raw)); err != nil {
			return err
		}
		w.Flush()
		return nil
	})
	if err == nil {
		begin()
	}
	return err
}

func parseReadRequest(c echo.Context, a *pb.Attempt) (*pb.ReadRequest, error) {
	req := &pb.ReadRequest{Attempt: a, Follow: queryFlag(c, "follow")}
	if name := c.QueryParam("stream"); name != "" {
		stream, ok := streamNames[name]
		if !ok {
			return nil, invalidField("stream", "must be stdout or stderr")
		}
		req.Streams = []pb.Stream{stream}
	}
	if tail := c.QueryParam("tail"); tail != "" {
		lines, err := strconv.ParseUint(tail, 10, 31)
		if err != nil {
			return nil, invalidField("tail", "must be a number of lines")
		}
		req.TailLines = lines
	}
	return req, nil
}

// appendLog appends the log text of a read message. In raw mode this is only the task's
// output; otherwise each gap and hole is described on a line of its own.
func appendLog(to []byte, m *pb.ReadResponse, raw bool) []byte {
	for _, r := range m.Records {
		switch {
		case r.Stream == pb.Stream_STREAM_GAP:
			var gap pb.Gap
			if proto.Unmarshal(r.Data, &gap) == nil && !raw {
				to = append(append(to, outputs.FormatGap(&gap)...), '\n')
			}
		case raw:
			to = append(to, r.Data...)
		default:
			to = outputs.Escape(to, r.Data)
		}
	}
	if m.Hole != nil && !raw {
		to = fmt.Appendf(to, "[reedtrack: records %d to %d can't be had now]\n", m.Hole.From, m.Hole.To-1)
	}
	return to
}

// fetch sends an artefact. It supports ranges that extend to the end of the artefact.
func (p pages) fetch(c echo.Context) error {
	s, err := p.findAttempt(c)
	if err != nil {
		return err
	}
	name := c.Param("*")
	if c.Request().URL.RawPath != "" { // in this case echo leaves the parameter escaped
		if name, err = url.PathUnescape(name); err != nil {
			return invalidField("path", "not an escaped path")
		}
	}
	offset, partial := parseRange(c.Request().Header.Get("Range"))
	req := &pb.FetchRequest{Attempt: s.Attempt, Path: name, Offset: offset}
	w := c.Response()
	return p.reader.fetch(c.Request().Context(), req, func(m *pb.FetchResponse) error {
		if m.Artefact != nil {
			setArtefactHeader(w.Header(), m.Artefact, name, offset, partial)
			status := http.StatusOK
			if partial {
				status = http.StatusPartialContent
			}
			w.WriteHeader(status)
		}
		_, err := w.Write(m.Data)
		return err
	})
}

// parseRange parses a Range header of the form bytes=N-. Other forms are ignored, as
// HTTP allows.
func parseRange(header string) (offset uint64, ok bool) {
	from, ok := strings.CutPrefix(header, "bytes=")
	if !ok || !strings.HasSuffix(from, "-") {
		return 0, false
	}
	offset, err := strconv.ParseUint(strings.TrimSuffix(from, "-"), 10, 63)
	return offset, err == nil
}

func setArtefactHeader(h http.Header, f *pb.Artefact, name string, offset uint64, partial bool) {
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Disposition", mime.FormatMediaType("attachment", map[string]string{"filename": path.Base(name)}))
	h.Set("Content-Length", strconv.FormatUint(f.Size-offset, 10))
	h.Set("ETag", fmt.Sprintf(`"%x"`, f.Sha256))
	h.Set("Accept-Ranges", "bytes")
	if partial {
		h.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", offset, max(f.Size, 1)-1, f.Size))
	}
}
