package access

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of a certificate's files, so
// that frequent handshakes cost few system calls.
const reloadInterval = time.Second

// alpnProtocols are the protocols offered in a TLS handshake, in order of preference.
var alpnProtocols = []string{"h2", "http/1.1"}

// CertificateReloader provides a certificate and its key and reloads them when their
// files change, so that a renewed certificate needs no restart. If the new files are
// invalid, it logs the reason, and the previous certificate stays in use until it
// expires. It is safe for concurrent use.
type CertificateReloader struct {
	CertFile string
	KeyFile  string
	Now      func() time.Time // time.Now except in tests

	mu            sync.Mutex
	cert          *tls.Certificate
	files         keyPairFiles // state of the files when cert was loaded
	checkedAt     time.Time
	lastLoadError string // logged once; empty if the last load succeeded
}

// LoadCertificate loads a certificate and its key.
func LoadCertificate(certFile, keyFile string) (*CertificateReloader, error) {
	r := &CertificateReloader{CertFile: certFile, KeyFile: keyFile, Now: time.Now}
	cert, err := r.load()
	if err != nil {
		return nil, err
	}
	r.cert, r.files, r.checkedAt = cert, r.stat(), time.Now()
	return r, nil
}

func (r *CertificateReloader) load() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(r.CertFile, r.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("%s with %s: %w", r.CertFile, r.KeyFile, err)
	}
	if err := r.checkExpiry(&cert); err != nil {
		return nil, err
	}
	if leaf := cert.Leaf; r.Now().Before(leaf.NotBefore) {
		return nil, fmt.Errorf("%s: is not valid before %s", r.CertFile, leaf.NotBefore.Format(time.DateTime))
	}
	return &cert, nil
}

func (r *CertificateReloader) checkExpiry(cert *tls.Certificate) error {
	if expires := cert.Leaf.NotAfter; r.Now().After(expires) {
		return fmt.Errorf("%s: has expired on %s", r.CertFile, expires.Format(time.DateTime))
	}
	return nil
}

// Certificate returns the current certificate. It is meant for GetCertificate in
// [tls.Config].
func (r *CertificateReloader) Certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.Now(); now.Sub(r.checkedAt) >= reloadInterval {
		r.checkedAt = now
		r.reloadIfChanged()
	}
	if err := r.checkExpiry(r.cert); err != nil {
		return nil, err
	}
	return r.cert, nil
}

// reloadIfChanged loads the files if they have changed. The caller holds mu.
func (r *CertificateReloader) reloadIfChanged() {
	files := r.stat()
	if files.equal(r.files) {
		return
	}
	cert, err := r.load()
	if err != nil {
		if err.Error() != r.lastLoadError {
			r.lastLoadError = err.Error()
			slog.Error("new certificate refused, previous one kept", "err", err)
		}
		return
	}
	r.cert, r.files, r.lastLoadError = cert, files, ""
	slog.Info("certificate reloaded", "file", r.CertFile, "expires", cert.Leaf.NotAfter.Format(time.DateTime))
}

// ServerConfig returns a TLS configuration for servers with this certificate.
func (r *CertificateReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: r.Certificate,
		NextProtos:     alpnProtocols,
	}
}

// keyPairFiles is the state of a certificate's file and its key's file; nil for a file
// that can't be found.
type keyPairFiles struct {
	cert os.FileInfo
	key  os.FileInfo
}

func (r *CertificateReloader) stat() keyPairFiles {
	var files keyPairFiles
	files.cert, _ = os.Stat(r.CertFile)
	files.key, _ = os.Stat(r.KeyFile)
	return files
}

func (f keyPairFiles) equal(other keyPairFiles) bool {
	return isSameFile(f.cert, other.cert) && isSameFile(f.key, other.key)
}

// isSameFile reports whether a file exists in both states and is unchanged.
func isSameFile(a, b os.FileInfo) bool {
	return a != nil && b != nil && hasSameContent(a, b) && os.SameFile(a, b)
}

// hasSameContent compares the modification times and sizes of two states of a file.
func hasSameContent(a, b os.FileInfo) bool {
	return a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
