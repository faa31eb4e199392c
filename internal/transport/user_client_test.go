package transport

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The client retries requests without a final response at the next controller, respects
// Retry-After, and gives up after one minute.
func TestUserClientRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hosts []string
		start := time.Now()
		client := NewUserClient([]string{"one", "two"})
		client.HTTPClient.Transport = roundTripperFunc(func(r *http.Request) (*http.Response, error) {
			hosts = append(hosts, r.URL.Host)
			resp := &http.Response{StatusCode: 503, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}
			switch len(hosts) {
			case 1:
				resp.Header.Set("Retry-After", "7")
			case 2:
				return nil, errors.New("refused")
			case 3:
				resp.StatusCode = 201
			}
			return resp, nil
		})
		if _, err := client.Send(t.Context(), "POST", "/v1/jobs", nil); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took != 8*time.Second || strings.Join(hosts, " ") != "one two one" {
			t.Errorf("took %v over %v", took, hosts)
		}
		start = time.Now()
		if _, err := client.Send(t.Context(), "POST", "/v1/jobs", nil); !errors.Is(err, ErrRetriesExhausted) || time.Since(start) > time.Minute {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}
