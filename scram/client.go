package scram

import (
	"crypto/hmac"
	"encoding/base64"
	"strconv"
	"strings"
)

// ClientConfig holds a client's credentials.
type ClientConfig struct {
	// User is not sent in the exchange: PostgreSQL uses the user name of the startup message.
	User     string
	Password string
}

// Client is the client side of one authentication exchange.
type Client struct {
	password  string
	firstBare string
	nonce     string
	signature []byte
}

// NewClient starts an exchange with a random nonce.
func NewClient(cfg ClientConfig) (*Client, error) {
	n, err := nonce()
	if err != nil {
		return nil, err
	}
	return &Client{password: cfg.Password, nonce: n, firstBare: "n=,r=" + n}, nil
}

// First returns the client's first message.
func (c *Client) First() string { return gs2Header + c.firstBare }

// Final returns the client's answer to the server's challenge; it fails with KindUnauthorized on a bad challenge.
func (c *Client) Final(challenge string) (string, error) {
	a := attributes(challenge)
	salt, err := base64.StdEncoding.DecodeString(a['s'])
	iterationCount, err2 := strconv.Atoi(a['i'])
	if err != nil || err2 != nil || iterationCount < 1 || iterationCount > maxIterations || !strings.HasPrefix(a['r'], c.nonce) {
		return "", errAuthentication("the server's challenge is malformed")
	}
	k, err := deriveKeys(c.password, salt, iterationCount)
	if err != nil {
		return "", err
	}
	withoutProof := "c=" + base64.StdEncoding.EncodeToString([]byte(gs2Header)) + ",r=" + a['r']
	message := c.firstBare + "," + challenge + "," + withoutProof
	c.signature = sign(k.server, message)
	proof := xor(k.client, sign(k.stored[:], message))
	return withoutProof + ",p=" + base64.StdEncoding.EncodeToString(proof), nil
}

// Verify checks the server's signature; it fails with KindUnauthorized if the server has no verifier of the password.
func (c *Client) Verify(final string) error {
	got, err := base64.StdEncoding.DecodeString(attributes(final)['v'])
	if err != nil || !hmac.Equal(got, c.signature) {
		return errAuthentication("the server's signature is wrong")
	}
	return nil
}
