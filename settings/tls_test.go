package settings_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/settings"
)

// writeIdentity writes a self-signed certificate for 127.0.0.1, which is its own authority.
func writeIdentity(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return settings.TLS{PeerCert: certFile, PeerKey: write("key.pem", "PRIVATE KEY", secret), PeerCA: certFile}
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	server, client, err := writeIdentity(t).PeerTLS()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s := &http.Server{Handler: answer, TLSConfig: server, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	ended := make(chan error, 1)
	go func() { ended <- s.ServeTLS(l, "", "") }()
	defer func() {
		s.Close()
		<-ended
	}()
	url := "https://" + l.Addr().String()
	if _, err := peer.NewClient(client).Get(url); err != nil {
		t.Errorf("a peer of the fleet: %v", err)
	}
	nobody := client.Clone()
	nobody.GetClientCertificate = nil
	if _, err := peer.NewClient(nobody).Get(url); err == nil {
		t.Error("a peer without a certificate was answered")
	}
	_, stranger, err := writeIdentity(t).PeerTLS()
	if err != nil {
		t.Fatal(err)
	}
	stranger.RootCAs = nil
	stranger.InsecureSkipVerify = true
	if _, err := peer.NewClient(stranger).Get(url); err == nil {
		t.Error("a peer of another fleet was answered")
	}
}
