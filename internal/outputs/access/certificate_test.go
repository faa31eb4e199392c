package access

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// authority is a certificate authority.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// certificateServer is an HTTPS server whose certificate files can be replaced.
type certificateServer struct {
	t        *testing.T
	certFile string
	keyFile  string
	caFile   string
	reloader *CertificateReloader
	addr     string
	now      time.Time
	changes  int
}

// newCertificateServer starts a server with a certificate of an authority that the
// clients of the test trust.
func newCertificateServer(t *testing.T, ca *authority) *certificateServer {
	t.Helper()
	dir := t.TempDir()
	s := &certificateServer{
		t:        t,
		certFile: filepath.Join(dir, "cert"),
		keyFile:  filepath.Join(dir, "key"),
		caFile:   filepath.Join(dir, "ca"),
		now:      time.Now(),
	}
	s.write(s.caFile, ca.pem())
	s.issue(ca, "127.0.0.1", 3, time.Hour)
	var err error
	if s.reloader, err = LoadCertificate(s.certFile, s.keyFile); err != nil {
		t.Fatal(err)
	}
	s.now = time.Now()
	s.reloader.Now = func() time.Time { return s.now }
	ln, err := tls.Listen("tcp", "127.0.0.1:0", s.reloader.ServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s.addr = ln.Addr().String()
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	return s
}

func (s *certificateServer) write(file string, content []byte) {
	s.t.Helper()
	if err := os.WriteFile(file, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// issue writes a certificate for an IP address that expires after the given duration.
func (s *certificateServer) issue(ca *authority, ip string, serial int64, after time.Duration) {
	s.t.Helper()
	issue(s.t, ca, s.certFile, s.keyFile, ip, serial, after)
}

func issue(t *testing.T, ca *authority, certFile, keyFile, ip string, serial int64, after time.Duration) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     time.Now().Add(after),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	blocks := map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: raw},
		keyFile:  {Type: "PRIVATE KEY", Bytes: der},
	}
	for file, block := range blocks {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// replace changes the certificate files and advances the clock until the server checks
// them again. Each change sets a different modification time.
func (s *certificateServer) replace(change func()) {
	s.t.Helper()
	change()
	s.changes += 3
	for _, file := range []string{s.certFile, s.keyFile} {
		if err := os.Chtimes(file, s.now, s.now.Add(time.Duration(s.changes)*time.Second)); err != nil {
			s.t.Fatal(err)
		}
	}
	s.now = s.now.Add(2 * time.Second)
}

// servedSerial returns the serial number of the certificate that the server presents.
func (s *certificateServer) servedSerial() int64 {
	s.t.Helper()
	conn, err := tls.Dial("tcp", s.addr, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// get sends a request as a client that trusts the CA file.
func (s *certificateServer) get() error {
	s.t.Helper()
	c, err := NewHTTPClient(s.caFile, 1)
	if err != nil {
		return err
	}
	defer c.CloseIdleConnections()
	r, err := c.Get("https://" + s.addr)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.ProtoMajor != 2 {
		s.t.Errorf("protocol %s, want HTTP/2", r.Proto)
	}
	return nil
}

func TestLoadCertificateRefusesUnusableFiles(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	if _, err := LoadCertificate(certFile, keyFile); err == nil || !strings.Contains(err.Error(), certFile) {
		t.Errorf("missing files: error %v, want one that names %s", err, certFile)
	}
	issue(t, newAuthority(t), certFile, keyFile, "127.0.0.1", 2, -time.Hour)
	if _, err := LoadCertificate(certFile, keyFile); err == nil || !strings.Contains(err.Error(), "expired on") {
		t.Errorf("expired certificate: error %v", err)
	}
}

func TestCertificateReloadedWhenFilesChange(t *testing.T) {
	ca := newAuthority(t)
	s := newCertificateServer(t, ca)
	if err := s.get(); err != nil || s.servedSerial() != 3 {
		t.Fatal(err)
	}
	s.replace(func() { s.issue(ca, "127.0.0.1", 4, time.Hour) })
	if got := s.servedSerial(); got != 4 {
		t.Errorf("after a change: certificate %d, want 4", got)
	}
	s.replace(func() { s.write(s.certFile, []byte("nonsense")) })
	if got := s.servedSerial(); got != 4 {
		t.Errorf("after an invalid certificate file: certificate %d, want 4", got)
	}
	s.replace(func() { s.issue(ca, "127.0.0.1", 5, -time.Minute) })
	if got := s.servedSerial(); got != 4 || !strings.Contains(s.reloader.lastLoadError, "expired on") {
		t.Errorf("after an expired certificate: certificate %d, want 4; refusal %q", got, s.reloader.lastLoadError)
	}
	s.now = s.now.Add(2 * time.Hour)
	if _, err := s.reloader.Certificate(nil); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("certificate that expired in use: error %v", err)
	}
}

func TestHTTPClientExplainsRefusedCertificate(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	s := newCertificateServer(t, ca)
	s.replace(func() { s.issue(other, "127.0.0.1", 6, time.Hour) })
	if err := s.get(); err == nil || !strings.Contains(err.Error(), "not from an authority in the CA file") {
		t.Errorf("another authority: error %v", err)
	}
	s.replace(func() { s.issue(ca, "10.0.0.9", 7, time.Hour) })
	if err := s.get(); err == nil || !strings.Contains(err.Error(), "not one of 127.0.0.1") {
		t.Errorf("another address: error %v", err)
	}
}

func TestHTTPClientReloadsCAFile(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	s := newCertificateServer(t, ca)
	s.replace(func() { s.issue(other, "127.0.0.1", 8, time.Hour) })
	s.write(s.caFile, append(ca.pem(), other.pem()...))
	if err := s.get(); err != nil {
		t.Errorf("both authorities in the file: error %v", err)
	}
}

func TestNewHTTPClientRefusesFileWithoutCertificates(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ca")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewHTTPClient(file, 1); err == nil {
		t.Error("a CA file without certificates was accepted")
	}
}

func TestIsLoopback(t *testing.T) {
	tests := map[string]bool{
		"127.0.0.1:1": true,
		"[::1]:1":     true,
		"10.0.0.1:1":  false,
		"0.0.0.0:1":   false,
		"localhost:1": false,
	}
	for addr, want := range tests {
		if got := IsLoopback(addr); got != want {
			t.Errorf("IsLoopback(%q) = %v, want %v", addr, got, want)
		}
	}
}
