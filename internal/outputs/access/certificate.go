package access

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// reloadInterval bounds how often the files of a certificate are looked at, so
// that many handshakes cost few system calls.
const reloadInterval = time.Second

// alpnProtocols are offered in a TLS handshake, by preference.
var alpnProtocols = []string{"h2", "http/1.1"}

// CertificateReloader serves a certificate and its key and loads them again when
// their files change, so that a renewed certificate needs no restart. Files that
// can't be used are refused with the reason, and the certificate before stays in
// use until it expires. It is safe for concurrent use.
type CertificateReloader struct {
	CertFile string
	KeyFile  string
	Now      func() time.Time // time.Now but in tests

	mu            sync.Mutex
	cert          *tls.Certificate
	files         keyPairFiles // as they were when cert was loaded
	checkedAt     time.Time
	lastLoadError string // logged once; empty when the files were good
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

// Certificate returns the certificate in use, for the field GetCertificate of
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

// reloadIfChanged takes up changed files. Called with mu held.
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

// ServerConfig returns the TLS configuration of a server with this certificate.
func (r *CertificateReloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: r.Certificate,
		NextProtos:     alpnProtocols,
	}
}

// keyPairFiles are the states of a certificate's and its key's file; nil for one
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

// isSameFile reports whether a file is surely unchanged.
func isSameFile(a, b os.FileInfo) bool {
	return a != nil && b != nil && hasSameContent(a, b) && os.SameFile(a, b)
}

// hasSameContent compares the time of the last change and the size of two states.
func hasSameContent(a, b os.FileInfo) bool {
	return a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
