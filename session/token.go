package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// A token consists of a version byte, the term, the position and a truncated MAC.
const (
	tokenVersion   = 1
	tokenBodyBytes = 17
	tokenMACBytes  = 16
	minKeyBytes    = 16
)

// CodecConfig holds the secret of at least 16 bytes with which all instances sign tokens.
type CodecConfig struct {
	Key []byte
}

// Codec signs and verifies session tokens.
type Codec struct {
	key []byte
}

// NewCodec returns a codec; it fails with KindInvalid on a short key.
func NewCodec(cfg CodecConfig) (*Codec, error) {
	if len(cfg.Key) < minKeyBytes {
		return nil, fault.New(fault.Config{
			Kind:    fault.KindInvalid,
			Message: "the token key is shorter than 16 bytes",
			Remedy:  "set token_key to the same random text on every instance",
		})
	}
	return &Codec{key: append([]byte(nil), cfg.Key...)}, nil
}

// Scope is the customer and database that a token is valid for; a token of one scope is refused in another.
type Scope struct {
	Customer string
	Database string
}

// Encode returns the token for a floor in scope.
func (c *Codec) Encode(scope Scope, floor group.Point) string {
	body := make([]byte, tokenBodyBytes, tokenBodyBytes+tokenMACBytes)
	body[0] = tokenVersion
	binary.BigEndian.PutUint64(body[1:], uint64(floor.Term()))
	binary.BigEndian.PutUint64(body[9:], uint64(floor.Position()))
	return base64.RawURLEncoding.EncodeToString(append(body, c.mac(scope, body)...))
}

// Decode returns the floor in a token of scope; it fails with KindUnauthorized on any other text.
func (c *Codec) Decode(scope Scope, token string) (group.Point, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) != tokenBodyBytes+tokenMACBytes || raw[0] != tokenVersion {
		return group.Point{}, invalidToken(err)
	}
	body := raw[:tokenBodyBytes]
	if !hmac.Equal(raw[tokenBodyBytes:], c.mac(scope, body)) {
		return group.Point{}, invalidToken(nil)
	}
	term := group.Term(binary.BigEndian.Uint64(body[1:]))
	position := group.Position(binary.BigEndian.Uint64(body[9:]))
	return group.NewPoint(term, position), nil
}

func (c *Codec) mac(scope Scope, body []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(body)
	h.Write([]byte(scope.Customer))
	h.Write([]byte{0})
	h.Write([]byte(scope.Database))
	return h.Sum(nil)[:tokenMACBytes]
}

func invalidToken(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnauthorized,
		Message: "the session token is not valid for this customer and database",
		Remedy:  "connect without monsoontiller.token; read-your-writes holds without it",
		Cause:   cause,
	})
}
