package access

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// connectTimeout limits the TCP and the TLS handshake each, so that an unreachable
	// store is detected early enough to try another one.
	connectTimeout = 3 * time.Second
	// idleConnTimeout is how long idle connections are kept; the default of net/http.
	idleConnTimeout = 90 * time.Second
	// expectedHosts is the number of stores to which a client is expected to keep
	// connections.
	expectedHosts = 4
)

// NewHTTPClient returns an HTTP client that trusts the certificate authorities in a CA
// file, or those of the system if caFile is empty. The file is reloaded when it
// changes. Up to idleConnsPerHost idle connections per address are kept.
func NewHTTPClient(caFile string, idleConnsPerHost int) (*http.Client, error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerHost,
		MaxIdleConns:        expectedHosts * idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		ForceAttemptHTTP2:   true,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSHandshakeTimeout: connectTimeout,
		DisableCompression:  true, // outputs are compressed already
	}
	if caFile == "" {
		return &http.Client{Transport: transport}, nil
	}
	authorities := &reloadingCertPool{file: caFile}
	if _, err := authorities.load(); err != nil {
		return nil, err
	}
	dialer := &tlsDialer{dial: transport.DialContext, authorities: authorities}
	transport.DialTLSContext = dialer.dialTLS
	return &http.Client{Transport: transport}, nil
}

// tlsDialer opens TLS connections and verifies certificates itself, because crypto/tls
// verifies only against the authorities that were configured initially.
type tlsDialer struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	authorities *reloadingCertPool
}

func (d *tlsDialer) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	raw, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, d.config(host))
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// config returns the TLS configuration of a connection to a host. The host is passed to
// the verification because a connection state has no server name for an IP address.
func (d *tlsDialer) config(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: host,
		NextProtos: alpnProtocols,
		// VerifyConnection replaces the verification that this disables.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return d.authorities.verify(host, state) },
	}
}

// reloadingCertPool holds the certificate authorities of a CA file and reloads them when
// the file changes. If the new file is invalid, the previous authorities stay in use.
type reloadingCertPool struct {
	file string

	mu     sync.Mutex
	loaded os.FileInfo // state of the file when pool was loaded
	pool   *x509.CertPool
}

func (p *reloadingCertPool) load() (*x509.CertPool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.file)
	if err == nil && p.pool != nil && hasSameContent(info, p.loaded) {
		return p.pool, nil
	}
	pool, err := readCertPool(p.file)
	if err != nil {
		if p.pool != nil {
			return p.pool, nil
		}
		return nil, err
	}
	p.pool, p.loaded = pool, info
	return pool, nil
}

func readCertPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("%s: holds no certificate", file)
	}
	return pool, nil
}

// verify verifies the certificates that a host presented.
func (p *reloadingCertPool) verify(host string, state tls.ConnectionState) error {
	pool, err := p.load()
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{Roots: pool, DNSName: host, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return describeVerifyError(host, err)
}

// describeVerifyError returns an error that describes a verification failure in terms of
// the operator's configuration.
func describeVerifyError(host string, err error) error {
	var invalid x509.CertificateInvalidError
	var unknownAuthority x509.UnknownAuthorityError
	var wrongHost x509.HostnameError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return fmt.Errorf("the certificate of %s is valid from %s to %s only", host, invalid.Cert.NotBefore.Format(time.DateTime), invalid.Cert.NotAfter.Format(time.DateTime))
	case errors.As(err, &unknownAuthority):
		return fmt.Errorf("the certificate of %s is not from an authority in the CA file: %w", host, err)
	case errors.As(err, &wrongHost):
		return fmt.Errorf("the certificate is not one of %s: %w", host, err)
	}
	return err
}

// IsLoopback reports whether an address of the form IP:PORT is a loopback address. Host
// names are not resolved and do not count as loopback.
func IsLoopback(addr string) bool {
	addrPort, err := netip.ParseAddrPort(addr)
	return err == nil && addrPort.Addr().IsLoopback()
}
