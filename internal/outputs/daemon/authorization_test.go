package daemon

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
	"reedtrack/internal/outputs/settings"
)

// noError is the code of a successful request.
const noError = connect.Code(0)

func codeOf(err error) connect.Code {
	var connectErr *connect.Error
	switch {
	case err == nil:
		return noError
	case errors.As(err, &connectErr):
		return connectErr.Code()
	}
	return connect.CodeUnknown
}

// newProtectedStore starts a store with five tokens: writers of the teams red and blue,
// a reader of team red, an operator and a peer. It returns their secrets by name.
func newProtectedStore(t *testing.T) (*testCluster, *Daemon, map[string]string) {
	t.Helper()
	tokens := []struct{ name, team, role string }{
		{"red", "red", "write"},
		{"blue", "blue", "write"},
		{"reader", "red", "read"},
		{"operator", "", "all"},
		{"peer", "", "peer"},
	}
	secrets := map[string]string{}
	c := newTestCluster(t, func(o *settings.Outputs) {
		o.Copies = 1
		for _, token := range tokens {
			secret, _ := access.GenerateToken()
			secrets[token.name] = secret
			o.Tokens = append(o.Tokens, settings.Token{Team: token.team, Role: token.role, Hash: sha256.Sum256([]byte(secret))})
		}
	})
	c.settings.PeerToken = filepath.Join(c.dir, "peer")
	if err := os.WriteFile(c.settings.PeerToken, []byte(secrets["peer"]), 0o600); err != nil {
		t.Fatal(err)
	}
	return c, c.startStore("s0", "a"), secrets
}

// newSealedAttempt writes and seals an attempt of team red.
func newSealedAttempt(t *testing.T, c *testCluster, d *Daemon, token string) *testWriter {
	t.Helper()
	w := c.newWriter(0, 1, "k")
	w.token = token
	if err := errors.Join(w.append(d, 3), w.seal(d, 1)); err != nil {
		t.Fatal(err)
	}
	return w
}

// A team can read and write only its own outputs, a writer can append only to its own
// attempts, and only stores can use the peer service.
func TestTeamIsolation(t *testing.T) {
	c, d, secrets := newProtectedStore(t)
	w := newSealedAttempt(t, c, d, secrets["red"])

	t.Run("read", func(t *testing.T) {
		tests := map[string]connect.Code{
			"red":      noError,
			"reader":   noError,
			"operator": noError,
			"blue":     connect.CodePermissionDenied,
			"peer":     connect.CodePermissionDenied,
			"":         connect.CodeUnauthenticated,
		}
		for name, want := range tests {
			reader := *w
			reader.token = secrets[name]
			if got := codeOf(reader.read(d)); got != want {
				t.Errorf("%q reads: %v, want %v", name, got, want)
			}
		}
	})
	t.Run("list", func(t *testing.T) {
		tests := map[string]struct {
			code     connect.Code
			attempts int
		}{
			"red":      {noError, 1},
			"reader":   {noError, 1},
			"operator": {noError, 1},
			"blue":     {noError, 0}, // listings contain only the caller's team
			"peer":     {connect.CodePermissionDenied, 0},
			"":         {connect.CodeUnauthenticated, 0},
		}
		for name, want := range tests {
			page, err := c.listAttempts(d, secrets[name], &pb.ListRequest{Job: testJob})
			if codeOf(err) != want.code || len(page.GetAttempts()) != want.attempts {
				t.Errorf("%q lists: %d attempts, want %d; error %v, want %v", name, len(page.GetAttempts()), want.attempts, err, want.code)
			}
		}
	})
	t.Run("write", func(t *testing.T) {
		tests := map[string]connect.Code{
			"blue":     connect.CodePermissionDenied,
			"reader":   connect.CodePermissionDenied,
			"operator": connect.CodePermissionDenied,
			"peer":     connect.CodePermissionDenied,
			"none":     connect.CodeUnauthenticated,
		}
		for name, want := range tests {
			writer := c.newWriter(1, 1, "k")
			writer.token = secrets[name]
			if got := codeOf(writer.append(d, 1)); got != want {
				t.Errorf("%q writes: %v, want %v", name, got, want)
			}
		}
	})
	t.Run("scan as a peer", func(t *testing.T) {
		tests := map[string]connect.Code{
			"peer":     noError,
			"red":      connect.CodePermissionDenied,
			"operator": connect.CodePermissionDenied,
		}
		for name, want := range tests {
			peer := outputsv1connect.NewPeerServiceClient(http.DefaultClient, d.URL, connect.WithInterceptors(client.BearerToken(secrets[name])))
			_, err := peer.Scan(context.Background(), connect.NewRequest(&pb.ScanRequest{Job: testJob, Limit: 5}))
			if codeOf(err) != want {
				t.Errorf("%q scans: %v, want %v", name, err, want)
			}
		}
	})
	t.Run("browser is asked for a token", func(t *testing.T) {
		response, err := http.Get(d.URL + "/jobs/" + testJob)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusUnauthorized || !strings.HasPrefix(response.Header.Get("WWW-Authenticate"), "Basic") {
			t.Errorf("without a token: %v", response)
		}
	})
	t.Run("other writer of the team", func(t *testing.T) {
		other := c.newWriter(0, 2, "k")
		other.token, other.secret = secrets["red"], []byte(strings.Repeat("z", 16))
		if got := codeOf(other.append(d, 1)); got != connect.CodePermissionDenied {
			t.Errorf("append without the attempt's secret: %v", got)
		}
	})
}

func TestSealedAttemptIsImmutable(t *testing.T) {
	c, d, secrets := newProtectedStore(t)
	w := newSealedAttempt(t, c, d, secrets["red"])
	if err := w.append(d, 1); codeOf(err) != connect.CodeFailedPrecondition {
		t.Errorf("append after the seal: %v", err)
	}
	w.acked = w.acked[:2]
	if err := w.seal(d, 0); codeOf(err) != connect.CodeFailedPrecondition {
		t.Errorf("another seal: %v", err)
	}
}
