package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"reedtrack/internal/protocol"
)

// User asks controllers on a user's behalf. It repeats a request that was not
// answered for good, at another controller, after Retry-After or a second, for
// up to a minute in all.
type User struct {
	Servers []string
	HTTP    *http.Client
	For     time.Duration
}

// NewUser returns a client of the controllers at the given addresses.
func NewUser(servers []string) *User {
	return &User{Servers: servers, HTTP: &http.Client{Timeout: 5 * time.Second}, For: time.Minute}
}

// ErrGaveUp says that no controller answered for good in time.
var ErrGaveUp = errors.New("no controller answered for good")

// Refused is a final answer that is not a success.
type Refused struct {
	Code int
	Body []byte
}

func (e *Refused) Error() string {
	var f protocol.Failure
	if json.Unmarshal(e.Body, &f) == nil && f.Error != "" {
		return "refused: " + f.Error
	}
	return fmt.Sprintf("refused with status %d: %s", e.Code, strings.TrimSpace(string(e.Body)))
}

// Ask sends one request until it has a final answer.
func (u *User) Ask(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	end := time.Now().Add(u.For)
	var last error
	for i := 0; ; i++ {
		wait := time.Second
		raw, code, after, err := u.once(ctx, method, u.Servers[i%len(u.Servers)], path, body)
		switch {
		case err != nil:
			last = err
		case code == http.StatusOK || code == http.StatusCreated:
			return raw, nil
		case code == http.StatusBadRequest || code == http.StatusUnprocessableEntity || code == http.StatusNotFound:
			return nil, &Refused{code, raw}
		default:
			last = fmt.Errorf("status %d: %.200s", code, raw)
			wait = max(wait, min(after, 30*time.Second))
		}
		if time.Now().Add(wait).After(end) {
			return nil, fmt.Errorf("%w: %v", ErrGaveUp, last)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (u *User) once(ctx context.Context, method, server, path string, body []byte) (raw []byte, code int, after time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, 0, err
	}
	resp, err := u.HTTP.Do(req)
	if err != nil {
		return nil, 0, 0, err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if s, bad := strconv.Atoi(resp.Header.Get("Retry-After")); bad == nil && s > 0 {
		after = time.Duration(s) * time.Second
	}
	return raw, resp.StatusCode, after, err
}
