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

const (
	workerDialTimeout = time.Second
	// workerResponseTimeout equals the time that workers wait for a response to a
	// heartbeat.
	workerResponseTimeout = 4 * time.Second
	workerReadBufferBytes = 2 << 10
	requestHeaderBytes    = 256 // estimated size of the request line and headers

	// maxHeartbeatBytes bounds a worker's heartbeat, which lists every task of its
	// machine and can be large.
	maxHeartbeatBytes = 8 << 20
)

// WorkerClient sends commands directly to workers. It opens a new connection for each
// request: a request whose connection could not be established was certainly not sent,
// which is unknown for a reused connection that breaks.
type WorkerClient struct {
	DialTimeout     time.Duration // for connecting; an attempt that times out never completes
	ResponseTimeout time.Duration // from the established connection until the response has been read
	MaxBodyBytes    int64         // of the response
}

// NewWorkerClient returns a client with the default limits.
func NewWorkerClient() *WorkerClient {
	return &WorkerClient{
		DialTimeout:     workerDialTimeout,
		ResponseTimeout: workerResponseTimeout,
		MaxBodyBytes:    maxHeartbeatBytes,
	}
}

// CommandResult is the known outcome of a request to a worker. If Sent is true and
// StatusCode is 0, no response was received and the worker may still execute the request
// at any later time.
type CommandResult struct {
	Sent       bool // at least part of the request may have been sent
	StatusCode int
	Heartbeat  *protocol.Heartbeat // worker's state after the commands; nil if the response has no valid heartbeat
}

// Do sends commands to the worker at address (host:port).
func (w *WorkerClient) Do(ctx context.Context, address string, commands protocol.DirectCommands) CommandResult {
	body, err := json.Marshal(commands)
	if err != nil {
		return CommandResult{}
	}
	return w.send(ctx, address, http.MethodPost, "/do", body)
}

// Inspect requests a heartbeat from the worker at address (host:port).
func (w *WorkerClient) Inspect(ctx context.Context, address string) CommandResult {
	return w.send(ctx, address, http.MethodGet, "/inspect", nil)
}

func (w *WorkerClient) send(ctx context.Context, address, method, path string, body []byte) CommandResult {
	conn, err := w.dial(ctx, address)
	if err != nil {
		return CommandResult{}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(w.ResponseTimeout))
	if _, err := conn.Write(encodeRequest(address, method, path, body)); err != nil {
		return CommandResult{Sent: true}
	}
	status, raw, err := w.readResponse(conn)
	if err != nil {
		return CommandResult{Sent: true}
	}
	result := CommandResult{Sent: true, StatusCode: status}
	if heartbeat, err := protocol.ParseHeartbeat(raw); err == nil {
		result.Heartbeat = heartbeat
	}
	return result
}

func (w *WorkerClient) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, w.DialTimeout)
	defer cancel()
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// encodeRequest returns the encoded request; nil means no body.
func encodeRequest(address, method, path string, body []byte) []byte {
	var buffer bytes.Buffer
	buffer.Grow(requestHeaderBytes + len(body))
	buffer.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n")
	if body != nil {
		buffer.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(body)
	return buffer.Bytes()
}

func (w *WorkerClient) readResponse(conn net.Conn) (status int, body []byte, err error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, workerReadBufferBytes), nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, w.MaxBodyBytes))
	return resp.StatusCode, body, err
}
