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
	// secretPrefix tells people and search tools what a secret is a token of.
	secretPrefix = "rt_"
	// secretBytes is the randomness of a token: more than can be guessed.
	secretBytes = 24
	// forbiddenPermissions are those that a file with a secret must not have.
	forbiddenPermissions = 0o077
)

// Role is what a token is for.
type Role string

// The roles of tokens, as they stand in the settings.
const (
	RoleWrite Role = "write" // reads and writes its team's outputs
	RoleRead  Role = "read"  // reads its team's outputs
	RoleAll   Role = "all"   // reads every team's: operators
	RolePeer  Role = "peer"  // stores among themselves
)

// Token is one that is accepted. Only the SHA-256 of the secret is known.
type Token struct {
	Team string // of RoleWrite and RoleRead
	Role Role
	Hash [sha256.Size]byte
}

// What can be wrong with a request's token.
var (
	ErrNoToken      = errors.New("no token: set REEDTRACK_TOKEN or name a file that holds it")
	ErrUnknownToken = errors.New("the token is not known here")
)

// TokenSet holds the tokens that are accepted. An empty one allows everything.
type TokenSet struct {
	byHash map[[sha256.Size]byte]Token
}

// NewTokenSet makes a set of a list, in which no token may stand twice.
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

// Authenticate finds who sends a request with a header: by a bearer token, or by
// the password of basic authentication, which is what a browser can send. Tokens
// are looked up by their hash, so the time that this takes tells nothing of them.
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

// secretFromHeader returns the token in a header, or nothing.
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

// GenerateToken makes a token and the hash of it that the settings keep.
func GenerateToken() (secret, hash string) {
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

// ReadTokenFile reads a token from a file, which others must not be allowed to read.
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
