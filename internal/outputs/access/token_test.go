package access

import (
	"crypto/sha256"
	"net/http"
	"os"
	"path/filepath"
	"testing"
)

// newTokens returns a set with one token per role, the list of its tokens and their
// secrets. Tokens of roles that need a team belong to team red.
func newTokens(t *testing.T) (set *TokenSet, list []Token, secrets map[Role]string) {
	t.Helper()
	secrets = map[Role]string{}
	for _, token := range []Token{{Team: "red", Role: RoleWrite}, {Team: "red", Role: RoleRead}, {Role: RoleAll}, {Role: RolePeer}} {
		secret, _ := GenerateToken()
		token.Hash = sha256.Sum256([]byte(secret))
		secrets[token.Role] = secret
		list = append(list, token)
	}
	set, err := NewTokenSet(list)
	if err != nil {
		t.Fatal(err)
	}
	return set, list, secrets
}

func TestNewTokenSetRefusesDuplicate(t *testing.T) {
	_, list, _ := newTokens(t)
	if _, err := NewTokenSet(append(list, list[0])); err == nil {
		t.Error("a duplicate token was accepted")
	}
}

func TestRolePermissions(t *testing.T) {
	set, _, secrets := newTokens(t)
	type permissions struct{ writeRed, writeBlue, readRed, readBlue, peer bool }
	tests := map[Role]permissions{
		RoleWrite: {writeRed: true, readRed: true},
		RoleRead:  {readRed: true},
		RoleAll:   {readRed: true, readBlue: true},
		RolePeer:  {peer: true},
	}
	for role, want := range tests {
		for _, scheme := range []string{"Bearer ", "bearer  "} {
			t.Run(scheme+string(role), func(t *testing.T) {
				caller, err := set.Authenticate(http.Header{"Authorization": {scheme + secrets[role]}})
				got := permissions{
					writeRed:  caller.AuthorizeWrite("red") == nil,
					writeBlue: caller.AuthorizeWrite("blue") == nil,
					readRed:   caller.AuthorizeRead("red") == nil,
					readBlue:  caller.AuthorizeRead("blue") == nil,
					peer:      caller.AuthorizePeer() == nil,
				}
				if err != nil || got != want {
					t.Errorf("permissions %+v, want %+v; error %v", got, want, err)
				}
			})
		}
	}
}

// Browsers can send a token only as the password of basic authentication.
func TestAuthenticateByBasicAuth(t *testing.T) {
	set, _, secrets := newTokens(t)
	request, err := http.NewRequest("GET", "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.SetBasicAuth("anybody", secrets[RoleRead])
	if caller, err := set.Authenticate(request.Header); err != nil || caller.Team != "red" {
		t.Errorf("caller %+v, error %v", caller, err)
	}
}

func TestAuthenticateRefusesBadHeaders(t *testing.T) {
	set, _, secrets := newTokens(t)
	for _, header := range []string{"", "Bearer", "Bearer x", "Basic x", "Basic " + secrets[RoleAll]} {
		if _, err := set.Authenticate(http.Header{"Authorization": {header}}); err == nil {
			t.Errorf("header %q was accepted", header)
		}
	}
}

func TestReadTokenFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("secret\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadTokenFile(file); err == nil {
		t.Error("a file that others may read was accepted")
	}
	if err := os.Chmod(file, 0o600); err != nil {
		t.Fatal(err)
	}
	if secret, err := ReadTokenFile(file); err != nil || secret != "secret" {
		t.Errorf("secret %q, error %v", secret, err)
	}
}
