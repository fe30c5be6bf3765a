package scram_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/scram"
)

// exchange authenticates with the attempted password against a verifier of password and returns the first error.
func exchange(t *testing.T, password, attempted string) error {
	t.Helper()
	v, err := scram.NewVerifier(password)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := scram.ParseVerifier(v.String())
	if err != nil {
		t.Fatal(err)
	}
	client, err := scram.NewClient(scram.ClientConfig{Password: attempted})
	if err != nil {
		t.Fatal(err)
	}
	server := scram.NewServer(stored)
	challenge, err := server.Challenge(client.First())
	if err != nil {
		return err
	}
	final, err := client.Final(challenge)
	if err != nil {
		return err
	}
	signature, err := server.Finish(final)
	if err != nil {
		return err
	}
	return client.Verify(signature)
}

func TestExchange(t *testing.T) {
	if err := exchange(t, "glass eyes", "glass eyes"); err != nil {
		t.Errorf("the right password: %v", err)
	}
	if err := exchange(t, "glass eyes", "glass eye"); err == nil {
		t.Error("a wrong password was accepted")
	}
}

func FuzzVerifier(f *testing.F) {
	f.Add("SCRAM-SHA-256$4096:c2FsdA==$AAAA:AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		v, err := scram.ParseVerifier(text)
		if err != nil {
			return
		}
		if _, err := scram.ParseVerifier(v.String()); err != nil {
			t.Fatalf("%q parses, but the result of String does not: %v", text, err)
		}
	})
}
