package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

const (
	// secretPrefix makes tokens recognizable to people and secret scanners.
	secretPrefix = "rt_"
	// secretBytes is the number of random bytes of a token, too many to be guessed.
	secretBytes = 24
	// forbiddenPermissions are permissions that a file with a secret must not have.
	forbiddenPermissions = 0o077
)

// Role is the set of permissions of a token.
type Role string

// The roles of tokens, as written in the settings.
const (
	RoleWrite Role = "write" // reads and writes its team's outputs
	RoleRead  Role = "read"  // reads its team's outputs
	RoleAll   Role = "all"   // reads the outputs of every team; for operators
	RolePeer  Role = "peer"  // for requests between stores
)

// Token is an accepted token. Only the SHA-256 hash of its secret is stored.
type Token struct {
	Team string // for RoleWrite and RoleRead
	Role Role
	Hash [sha256.Size]byte
}

// Errors of [TokenSet.Authenticate].
var (
	ErrNoToken      = errors.New("no token: set REEDTRACK_TOKEN or name a file that holds it")
	ErrUnknownToken = errors.New("the token is not known here")
)

// TokenSet is a set of accepted tokens. An empty set disables authentication.
type TokenSet struct {
	byHash map[[sha256.Size]byte]Token
}

// NewTokenSet returns a set of the given tokens, which must not contain duplicates.
func NewTokenSet(list []Token) (*TokenSet, error) {
	set := &TokenSet{byHash: map[[sha256.Size]byte]Token{}}
	for _, token := range list {
		if _, exists := set.byHash[token.Hash]; exists {
			return nil, errors.New("two tokens are the same")
		}
		set.byHash[token.Hash] = token
	}
	return set, nil
}

// IsDisabled reports whether requests are not authenticated.
func (t *TokenSet) IsDisabled() bool { return len(t.byHash) == 0 }

// Authenticate returns the caller of a request with the given header. The token is a
// bearer token or the password of basic authentication, which browsers can send. Tokens
// are looked up by their hash, so the timing reveals nothing about them.
func (t *TokenSet) Authenticate(header http.Header) (Caller, error) {
	if t.IsDisabled() {
		return Caller{Unrestricted: true}, nil
	}
	secret := secretFromHeader(header)
	if secret == "" {
		return Caller{}, ErrNoToken
	}
	token, ok := t.byHash[sha256.Sum256([]byte(secret))]
	if !ok {
		return Caller{}, ErrUnknownToken
	}
	return Caller{Team: token.Team, Role: token.Role}, nil
}

// secretFromHeader returns the token in a header, or "".
func secretFromHeader(header http.Header) string {
	scheme, credentials, _ := strings.Cut(header.Get("Authorization"), " ")
	credentials = strings.TrimSpace(credentials)
	switch strings.ToLower(scheme) {
	case "bearer":
		return credentials
	case "basic":
		raw, err := base64.StdEncoding.DecodeString(credentials)
		if err != nil {
			return ""
		}
		_, password, _ := strings.Cut(string(raw), ":")
		return password
	}
	return ""
}

// GenerateToken returns a new token and its hash for the settings.
func GenerateToken() (secret, hash string) {
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

// ReadTokenFile reads a token from a file. Only the owner may have access to the file.
func ReadTokenFile(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&forbiddenPermissions != 0 {
		return "", fmt.Errorf("%s: others may read it; chmod 600", path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" || strings.ContainsAny(secret, " \t\r\n") {
		return "", fmt.Errorf("%s: holds no token", path)
	}
	return secret, nil
}
