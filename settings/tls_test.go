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

// writeIdentity writes a self-signed certificate for 127.0.0.1, which is also its certificate authority, and returns the
// settings of a peer that uses it.
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
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, blockType string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return settings.TLS{PeerCert: certFile, PeerKey: write("key.pem", "PRIVATE KEY", keyDER), PeerCA: certFile}
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
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s := &http.Server{Handler: handler, TLSConfig: server, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	served := make(chan error, 1)
	go func() { served <- s.ServeTLS(l, "", "") }()
	defer func() {
		s.Close()
		<-served
	}()
	url := "https://" + l.Addr().String()
	if _, err := peer.NewClient(client).Get(url); err != nil {
		t.Errorf("request of a peer of the fleet: %v", err)
	}
	withoutCert := client.Clone()
	withoutCert.GetClientCertificate = nil
	if _, err := peer.NewClient(withoutCert).Get(url); err == nil {
		t.Error("the server accepted a peer without a certificate")
	}
	_, otherFleet, err := writeIdentity(t).PeerTLS()
	if err != nil {
		t.Fatal(err)
	}
	otherFleet.RootCAs = nil
	otherFleet.InsecureSkipVerify = true
	if _, err := peer.NewClient(otherFleet).Get(url); err == nil {
		t.Error("the server accepted a peer of another fleet")
	}
}
