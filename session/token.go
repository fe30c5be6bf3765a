package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// A token consists of a version byte, the term, the position, the truncated hash of the group's name, and a truncated MAC.
//
// A token of the first version has no hash, so that its log is not known.
const (
	tokenVersion      = 2
	firstTokenVersion = 1
	pointBytes        = 17
	groupBytes        = 8
	tokenMACBytes     = 16
	minKeyBytes       = 16
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

// Encode returns the token for a floor in a log, in scope.
func (c *Codec) Encode(scope Scope, log group.Log, floor group.Point) string {
	body := make([]byte, 1, pointBytes+groupBytes+tokenMACBytes)
	body[0] = tokenVersion
	body = binary.BigEndian.AppendUint64(body, uint64(floor.Term()))
	body = binary.BigEndian.AppendUint64(body, uint64(floor.Position()))
	body = append(body, groupHash(log)...)
	return base64.RawURLEncoding.EncodeToString(append(body, c.mac(scope, body)...))
}

// Decode returns the floor in a token of scope if it lies in log, and otherwise the zero point, with which the session gets its
// floor from a probe; it fails with KindUnauthorized on any other text.
func (c *Codec) Decode(scope Scope, log group.Log, token string) (group.Point, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) == 0 {
		return group.Point{}, invalidToken(err)
	}
	bodyBytes := pointBytes + groupBytes
	if raw[0] == firstTokenVersion {
		bodyBytes = pointBytes
	}
	if len(raw) != bodyBytes+tokenMACBytes || raw[0] != firstTokenVersion && raw[0] != tokenVersion {
		return group.Point{}, invalidToken(nil)
	}
	body := raw[:bodyBytes]
	if !hmac.Equal(raw[bodyBytes:], c.mac(scope, body)) {
		return group.Point{}, invalidToken(nil)
	}
	if !slices.Equal(body[pointBytes:], groupHash(log)) {
		return group.Point{}, nil
	}
	term := group.Term(binary.BigEndian.Uint64(body[1:]))
	position := group.Position(binary.BigEndian.Uint64(body[9:]))
	return group.NewPoint(term, position), nil
}

// groupHash returns the truncated hash of the name of the group that has the log.
func groupHash(log group.Log) []byte {
	sum := sha256.Sum256([]byte(log.Group()))
	return sum[:groupBytes]
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
