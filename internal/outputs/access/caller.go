package access

import (
	"errors"
	"fmt"
)

// Caller is the authenticated sender of a request.
type Caller struct {
	Team         string // empty: not limited to a team
	Role         Role
	Unrestricted bool // all requests are authorized: a store on loopback without tokens
}

// AuthorizeWrite returns an error if a caller may not write a team's outputs.
func (c Caller) AuthorizeWrite(team string) error {
	switch {
	case c.Unrestricted, c.Role == RoleWrite && c.Team == team:
		return nil
	case c.Role == RoleWrite:
		return fmt.Errorf("the token is team %s's; it does not write for team %s", c.Team, team)
	}
	return errors.New("the token is not one to write with")
}

// AuthorizeRead returns an error if a caller may not read a team's outputs.
func (c Caller) AuthorizeRead(team string) error {
	readsTeam := c.Role == RoleWrite || c.Role == RoleRead
	switch {
	case c.Unrestricted, c.Role == RoleAll, readsTeam && c.Team == team:
		return nil
	case c.Role == RolePeer:
		return errors.New("the stores' own token does not read for people")
	}
	return fmt.Errorf("the token is team %s's; it does not read what is team %s's", c.Team, team)
}

// AuthorizePeer returns an error if a caller is not another store.
func (c Caller) AuthorizePeer() error {
	if c.Unrestricted || c.Role == RolePeer {
		return nil
	}
	return errors.New("only stores may ask this")
}

// TeamScope returns the team that a caller's listings are limited to; empty: all.
func (c Caller) TeamScope() string {
	if c.Unrestricted || c.Role == RoleAll {
		return ""
	}
	return c.Team
}
