package scram

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Mechanism is the name of the SASL mechanism.
const Mechanism = "SCRAM-SHA-256"

const (
	nonceBytes        = 18
	saltBytes         = 16
	defaultIterations = 4096
	maxIterations     = 1_000_000
	gs2Header         = "n,,"
	// gs2HeaderUnbound is the header of a client that supports channel binding but was not offered it.
	gs2HeaderUnbound = "y,,"
	verifierPrefix   = Mechanism + "$"
)

// keys are the SCRAM keys derived from a password.
type keys struct {
	stored [sha256.Size]byte
	server []byte
	client []byte
}

func deriveKeys(password string, salt []byte, iterationCount int) (keys, error) {
	salted, err := pbkdf2.Key(sha256.New, password, salt, iterationCount, sha256.Size)
	if err != nil {
		return keys{}, err
	}
	client := sign(salted, "Client Key")
	return keys{stored: sha256.Sum256(client), server: sign(salted, "Server Key"), client: client}, nil
}

func sign(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

func xor(a, b []byte) []byte {
	out := make([]byte, len(a))
	subtle.XORBytes(out, a, b)
	return out
}

func nonce() (string, error) {
	raw := make([]byte, nonceBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(raw), nil
}

// attributes splits "k=v,k=v" into values by key.
func attributes(text string) map[byte]string {
	out := map[byte]string{}
	for _, part := range strings.Split(text, ",") {
		if len(part) >= 2 && part[1] == '=' {
			out[part[0]] = part[2:]
		}
	}
	return out
}

func errAuthentication(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnauthorized,
		Message: "password authentication failed: " + message,
		Remedy:  "check the user name and password",
	})
}

// Verifier holds the keys by which a server verifies a password that it does not store.
type Verifier struct {
	salt       []byte
	iterations int
	stored     []byte
	server     []byte
}

// NewVerifier returns the verifier of a password with a random salt.
func NewVerifier(password string) (Verifier, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Verifier{}, err
	}
	k, err := deriveKeys(password, salt, defaultIterations)
	if err != nil {
		return Verifier{}, err
	}
	return Verifier{salt: salt, iterations: defaultIterations, stored: k.stored[:], server: k.server}, nil
}

// String returns the verifier as PostgreSQL stores it.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, v.iterations, b64(v.salt), b64(v.stored), b64(v.server))
}

// ParseVerifier parses a verifier in the form that PostgreSQL stores; it fails with KindInvalid on any other text.
func ParseVerifier(text string) (Verifier, error) {
	rest, ok := strings.CutPrefix(text, verifierPrefix)
	left, right, ok2 := strings.Cut(rest, "$")
	iterationCount, salt, ok3 := strings.Cut(left, ":")
	stored, server, ok4 := strings.Cut(right, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return Verifier{}, errMalformedVerifier()
	}
	n, err := strconv.Atoi(iterationCount)
	if err != nil || n < 1 || n > maxIterations {
		return Verifier{}, errMalformedVerifier()
	}
	v := Verifier{iterations: n}
	for _, field := range []struct {
		text   string
		target *[]byte
	}{{salt, &v.salt}, {stored, &v.stored}, {server, &v.server}} {
		raw, err := base64.StdEncoding.DecodeString(field.text)
		if err != nil || len(raw) == 0 {
			return Verifier{}, errMalformedVerifier()
		}
		*field.target = raw
	}
	if len(v.stored) != sha256.Size || len(v.server) != sha256.Size {
		return Verifier{}, errMalformedVerifier()
	}
	return v, nil
}

func errMalformedVerifier() error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "the SCRAM verifier is malformed",
		Remedy:  "write it as SCRAM-SHA-256$iterations:salt$stored_key:server_key, as `monsoontiller verifier` prints it",
	})
}
