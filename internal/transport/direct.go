package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"reedtrack/internal/protocol"
)

// Workers sends commands straight to workers. Each message has a connection of
// its own, so that one which was never made is known to carry nothing: on a kept
// connection that has broken it could not be told whether the message had gone.
type Workers struct {
	Dial    time.Duration // to make a connection; given up, it never completes
	Answer  time.Duration // from then until the answer
	MaxBody int64
}

// NewWorkers returns a sender that waits as long for an answer as workers do
// for theirs.
func NewWorkers() *Workers {
	return &Workers{Dial: time.Second, Answer: 4 * time.Second, MaxBody: 8 << 20}
}

// Told is what came of a message. Status 0 means that no answer came; if the
// message has left it may still be carried out, at any later time.
type Told struct {
	Left   bool
	Status int
	Report *protocol.Report // of the worker after the commands; nil if there was none that can be read
}

// Do sends orders to a worker.
func (w *Workers) Do(ctx context.Context, address string, d protocol.Direct) Told {
	body, err := json.Marshal(d)
	if err != nil {
		return Told{}
	}
	return w.ask(ctx, address, http.MethodPost, "/do", body)
}

// Inspect asks a worker for its report.
func (w *Workers) Inspect(ctx context.Context, address string) Told {
	return w.ask(ctx, address, http.MethodGet, "/inspect", nil)
}

func (w *Workers) ask(ctx context.Context, address, method, path string, body []byte) Told {
	dial, cancel := context.WithTimeout(ctx, w.Dial)
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(dial, "tcp", address)
	cancel()
	if err != nil {
		return Told{}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(w.Answer))
	var b bytes.Buffer
	b.Grow(256 + len(body))
	b.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n")
	if body != nil {
		b.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return Told{Left: true} // some of it may have
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 2048), nil)
	if err != nil {
		return Told{Left: true}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, w.MaxBody))
	if err != nil {
		return Told{Left: true}
	}
	t := Told{Left: true, Status: resp.StatusCode}
	if r, err := protocol.ParseReport(raw); err == nil {
		t.Report = r
	}
	return t
}
