package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// reloadInterval is how often a certificate's file is looked at for a newer one.
const reloadInterval = 10 * time.Second

// certificate serves a key pair from files and takes up a newer one without a restart.
type certificate struct {
	certFile string
	keyFile  string
	mu       sync.Mutex
	pair     *tls.Certificate
	modified time.Time
	lookedAt time.Time
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
		Remedy:  "name a readable PEM file that fits its key",
		Cause:   cause,
	})
}

// current returns the newest key pair; a file that cannot be read leaves the last good one in use.
func (c *certificate) current(now time.Time) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pair != nil && now.Sub(c.lookedAt) < reloadInterval {
		return c.pair, nil
	}
	c.lookedAt = now
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

// CallerTLS returns the configuration for callers, or nil when no certificate is set.
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

// EndpointTLS returns the configuration towards endpoints, or nil when no authority is set.
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

// PeerTLS returns the configurations for serving and calling peers and operators, both with mutual authentication, or nil.
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
