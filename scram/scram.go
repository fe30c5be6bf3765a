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

// Mechanism is the SASL name of the exchange.
const Mechanism = "SCRAM-SHA-256"

const (
	nonceBytes    = 18
	saltBytes     = 16
	iterations    = 4096
	maxIterations = 1_000_000
	gs2Header     = "n,,"
	// gs2HeaderUnbound is what a client sends that could bind to the channel and was not offered to.
	gs2HeaderUnbound = "y,,"
	verifierPrefix   = Mechanism + "$"
)

// keys are the values derived from a password.
type keys struct {
	stored [sha256.Size]byte
	server []byte
	client []byte
}

func deriveKeys(password string, salt []byte, rounds int) (keys, error) {
	salted, err := pbkdf2.Key(sha256.New, password, salt, rounds, sha256.Size)
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

func failed(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnauthorized,
		Message: "password authentication failed: " + message,
		Remedy:  "check the user name and password",
	})
}

// Verifier is the server's record of a password.
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
	k, err := deriveKeys(password, salt, iterations)
	if err != nil {
		return Verifier{}, err
	}
	return Verifier{salt: salt, iterations: iterations, stored: k.stored[:], server: k.server}, nil
}

// String returns the verifier as PostgreSQL stores it.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, v.iterations, b64(v.salt), b64(v.stored), b64(v.server))
}

// ParseVerifier returns the verifier in PostgreSQL's stored form; it fails with KindInvalid.
func ParseVerifier(text string) (Verifier, error) {
	rest, ok := strings.CutPrefix(text, verifierPrefix)
	left, right, ok2 := strings.Cut(rest, "$")
	rounds, salt, ok3 := strings.Cut(left, ":")
	stored, server, ok4 := strings.Cut(right, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return Verifier{}, badVerifier()
	}
	n, err := strconv.Atoi(rounds)
	if err != nil || n < 1 || n > maxIterations {
		return Verifier{}, badVerifier()
	}
	v := Verifier{iterations: n}
	for _, field := range []struct {
		text string
		into *[]byte
	}{{salt, &v.salt}, {stored, &v.stored}, {server, &v.server}} {
		raw, err := base64.StdEncoding.DecodeString(field.text)
		if err != nil || len(raw) == 0 {
			return Verifier{}, badVerifier()
		}
		*field.into = raw
	}
	if len(v.stored) != sha256.Size || len(v.server) != sha256.Size {
		return Verifier{}, badVerifier()
	}
	return v, nil
}

func badVerifier() error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "the SCRAM verifier is malformed",
		Remedy:  "write it as SCRAM-SHA-256$iterations:salt$stored_key:server_key, as `monsoontiller verifier` prints it",
	})
}
