package caller_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/monsoontiller/monsoontiller/scram"
)

// certificate returns a self-signed certificate for 127.0.0.1.
func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "entry"},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func TestTLSAndPasswordAreRequired(t *testing.T) {
	verifier, err := scram.NewVerifier("glass-eyes")
	if err != nil {
		t.Fatal(err)
	}
	o := options{
		contract: contractText + "verifier = \"" + verifier.String() + "\"\n",
		tls:      &tls.Config{Certificates: []tls.Certificate{certificate(t)}},
	}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	ctx := context.Background()
	if _, err := pgx.Connect(ctx, p.url()); code(err) != "28000" {
		t.Errorf("a caller without TLS got %v, want SQLSTATE 28000", err)
	}
	secure := strings.Replace(p.url(), "sslmode=disable", "sslmode=require", 1)
	for _, password := range []string{"", "wrong"} {
		url := strings.Replace(secure, customer+"@", customer+":"+password+"@", 1)
		if _, err := pgx.Connect(ctx, url); err == nil {
			t.Errorf("the password %q was accepted", password)
		}
	}
	c, err := pgx.Connect(ctx, strings.Replace(secure, customer+"@", customer+":glass-eyes@", 1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	exec(t, c, "SELECT 1")
}

func TestCustomerCannotAccessAnotherCustomersDatabase(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	for _, change := range []struct{ from, to string }{{customer + "@", "lellu@"}, {"/" + database, "/orders-1"}} {
		_, err := pgx.Connect(context.Background(), strings.Replace(p.url(), change.from, change.to, 1))
		if code(err) != "3D000" {
			t.Errorf("%s gave %v, want SQLSTATE 3D000", change.to, err)
		}
	}
}
