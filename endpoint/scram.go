package endpoint

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/scram"
)

// authenticate performs the client side of SCRAM-SHA-256 authentication.
func (c *Conn) authenticate(cfg DialConfig) error {
	exchange, err := scram.NewClient(scram.ClientConfig{User: cfg.User, Password: cfg.Password})
	if err != nil {
		return err
	}
	c.frontend.Send(&pgproto3.SASLInitialResponse{
		AuthMechanism: scram.Mechanism,
		Data:          []byte(exchange.First()),
	})
	if err := c.frontend.Flush(); err != nil {
		return engine.Unreachable(cfg.Address, err)
	}
	msg, err := c.frontend.Receive()
	if err != nil {
		return engine.Unreachable(cfg.Address, err)
	}
	challenge, ok := msg.(*pgproto3.AuthenticationSASLContinue)
	if !ok {
		return unexpectedAuth(cfg.Address, msg)
	}
	final, err := exchange.Final(string(challenge.Data))
	if err != nil {
		return err
	}
	c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(final)})
	if err := c.frontend.Flush(); err != nil {
		return engine.Unreachable(cfg.Address, err)
	}
	msg, err = c.frontend.Receive()
	if err != nil {
		return engine.Unreachable(cfg.Address, err)
	}
	signature, ok := msg.(*pgproto3.AuthenticationSASLFinal)
	if !ok {
		return unexpectedAuth(cfg.Address, msg)
	}
	return exchange.Verify(string(signature.Data))
}

func unexpectedAuth(address string, msg pgproto3.BackendMessage) error {
	if m, ok := msg.(*pgproto3.ErrorResponse); ok {
		return errorFromResponse(address, m)
	}
	return fault.New(fault.Config{
		Kind:    fault.KindProtocol,
		Message: "endpoint " + address + " sent an unexpected message during SCRAM authentication",
		Remedy:  "check the user and password of the database in the contract",
	})
}
