package scram

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
)

// Server is the server side of one authentication exchange.
type Server struct {
	verifier  Verifier
	header    string
	firstBare string
	challenge string
	nonce     string
}

// NewServer starts an exchange against a verifier.
func NewServer(v Verifier) *Server { return &Server{verifier: v} }

// Challenge answers the client's first message; it fails with KindUnauthorized on a malformed one.
func (s *Server) Challenge(first string) (string, error) {
	bare, ok := strings.CutPrefix(first, gs2Header)
	s.header = gs2Header
	if !ok {
		bare, ok = strings.CutPrefix(first, gs2HeaderUnbound)
		s.header = gs2HeaderUnbound
	}
	clientNonce := attributes(bare)['r']
	if !ok || clientNonce == "" {
		return "", errAuthentication("the first message is malformed; channel binding is not offered")
	}
	n, err := nonce()
	if err != nil {
		return "", err
	}
	s.firstBare = bare
	s.nonce = clientNonce + n
	salt := base64.StdEncoding.EncodeToString(s.verifier.salt)
	s.challenge = "r=" + s.nonce + ",s=" + salt + ",i=" + strconv.Itoa(s.verifier.iterations)
	return s.challenge, nil
}

// Finish checks the client's proof and returns the server's signature.
//
// It fails with KindUnauthorized on a malformed message or a wrong proof.
func (s *Server) Finish(final string) (string, error) {
	withoutProof, proofText, ok := strings.Cut(final, ",p=")
	proof, err := base64.StdEncoding.DecodeString(proofText)
	a := attributes(withoutProof)
	if !ok || err != nil || len(proof) != sha256.Size || a['r'] != s.nonce || a['c'] != base64.StdEncoding.EncodeToString([]byte(s.header)) {
		return "", errAuthentication("the final message is malformed")
	}
	message := s.firstBare + "," + s.challenge + "," + withoutProof
	client := xor(proof, sign(s.verifier.stored, message))
	stored := sha256.Sum256(client)
	if !hmac.Equal(stored[:], s.verifier.stored) {
		return "", errAuthentication("wrong password")
	}
	return "v=" + base64.StdEncoding.EncodeToString(sign(s.verifier.server, message)), nil
}
