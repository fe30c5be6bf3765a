package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// reloadInterval is the interval at which a certificate's file is checked for changes.
const reloadInterval = 10 * time.Second

// certificate holds a key pair and reloads it when the certificate's file changes; it is safe for concurrent use.
type certificate struct {
	certFile  string
	keyFile   string
	mu        sync.Mutex
	pair      *tls.Certificate
	modified  time.Time
	checkedAt time.Time
}

// newCertificate loads a key pair; it fails with KindInvalid.
func newCertificate(certFile, keyFile string) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile}
	if _, err := c.current(time.Now()); err != nil {
		return nil, invalidFile(certFile, err)
	}
	return c, nil
}

func invalidFile(name string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "the certificate file " + name + " cannot be used",
		Remedy:  "specify a readable PEM file; a certificate must match its key",
		Cause:   cause,
	})
}

// current returns the newest key pair. If a changed file does not form a valid pair with its key, the last valid pair stays
// in use; a missing certificate file is an error even then.
func (c *certificate) current(now time.Time) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pair != nil && now.Sub(c.checkedAt) < reloadInterval {
		return c.pair, nil
	}
	c.checkedAt = now
	info, err := os.Stat(c.certFile)
	if err != nil || (c.pair != nil && info.ModTime().Equal(c.modified)) {
		return c.pair, err
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		if c.pair != nil {
			return c.pair, nil
		}
		return nil, err
	}
	c.pair = &pair
	c.modified = info.ModTime()
	return c.pair, nil
}

func loadPool(name string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(name)
	if err != nil {
		return nil, invalidFile(name, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, invalidFile(name, nil)
	}
	return pool, nil
}

// CallerTLS returns the configuration for connections from callers, or nil if no certificate is set.
func (t TLS) CallerTLS() (*tls.Config, error) {
	if t.CallerCert == "" {
		return nil, nil
	}
	c, err := newCertificate(t.CallerCert, t.CallerKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current(time.Now())
		},
	}, nil
}

// EndpointTLS returns the configuration for connections to endpoints, or nil if no certificate authority is set.
func (t TLS) EndpointTLS() (*tls.Config, error) {
	if t.EndpointCA == "" {
		return nil, nil
	}
	pool, err := loadPool(t.EndpointCA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// PeerTLS returns the server and client configurations for peers and operators, or nil if no certificate is set. Both
// authenticate the other side.
func (t TLS) PeerTLS() (server, client *tls.Config, err error) {
	if t.PeerCert == "" {
		return nil, nil, nil
	}
	c, err := newCertificate(t.PeerCert, t.PeerKey)
	if err != nil {
		return nil, nil, err
	}
	pool, err := loadPool(t.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current(time.Now())
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current(time.Now())
		},
	}
	return server, client, nil
}
