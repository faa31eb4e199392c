package daemon

import (
	"reedtrack/internal/outputs/access"
)

// credentials are the tokens with which a store authenticates callers, and its own
// certificate and token.
type credentials struct {
	tokens      *access.TokenSet
	certificate *access.CertificateReloader // nil: no TLS
	peerToken   string                      // sent to other stores; empty: none
}

func loadCredentials(c *Config) (*credentials, error) {
	set := &c.Settings
	var list []access.Token
	for _, token := range set.Tokens {
		list = append(list, access.Token{Team: token.Team, Role: access.Role(token.Role), Hash: token.Hash})
	}
	creds := &credentials{}
	var err error
	if creds.tokens, err = access.NewTokenSet(list); err != nil {
		return nil, err
	}
	if set.Cert != "" {
		if creds.certificate, err = access.LoadCertificate(set.Cert, set.Key); err != nil {
			return nil, err
		}
	}
	if set.PeerToken != "" {
		if creds.peerToken, err = access.ReadTokenFile(set.PeerToken); err != nil {
			return nil, err
		}
	}
	return creds, nil
}

// scheme returns the scheme of the store's URL.
func (c *credentials) scheme() string {
	if c.certificate != nil {
		return "https"
	}
	return "http"
}
