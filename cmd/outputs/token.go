package main

import (
	"fmt"
	"os"

	"reedtrack/internal/config"
	"reedtrack/internal/outputs/access"
)

// tokenCmd implements the command token.
type tokenCmd struct {
	Team string `help:"The team; none for roles all and peer."`
	Role string `enum:"write,read,all,peer" default:"write" help:"write, read, all (operators, reads every team's) or peer (stores among themselves)."`
}

// Run generates a token. Only the secret goes to standard output, so that it can be
// redirected to a file.
func (t *tokenCmd) Run() error {
	role := access.Role(t.Role)
	needsTeam := role == access.RoleWrite || role == access.RoleRead
	if needsTeam != (t.Team != "") {
		return &config.FieldError{File: "outputs token", Field: "--team", Reason: "needed for roles write and read, and only for them"}
	}
	secret, hash := access.GenerateToken()
	team := ""
	if t.Team != "" {
		team = "<team>" + t.Team + "</team>"
	}
	fmt.Println(secret)
	fmt.Fprintf(os.Stderr, "the token above is not shown again; add to the stores' settings:\n<token>%s<role>%s</role><sha256>%s</sha256></token>\n", team, t.Role, hash)
	return nil
}
