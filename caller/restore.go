package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/fault"
)

// restore gives the connection the caller's settings and waits until the endpoint has confirmed them.
//
// The batch is sent only then: each query ends with its own Sync, so that the endpoint would run the batch whatever it
// answered to the queries before it.
func (x *exchange) restore() error {
	if x.pinned || x.conn.StateKey() == x.settings.key {
		return nil
	}
	if err := x.plan.queueRestore(x.settings); err != nil {
		return err
	}
	if _, err := x.send(); err != nil {
		return err
	}
	if err := x.readSteps(); err != nil {
		return err
	}
	x.conn.ClearPrepared()
	x.conn.SetStateKey(x.settings.key)
	return nil
}

// readInternal discards the answer to a query added by the proxy; it fails if a query that restores settings failed.
func (x *exchange) readInternal(restores bool) error {
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			if restores {
				x.unrestorable = true
				return errUnrestorable(m)
			}
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

func errUnrestorable(m *pgproto3.ErrorResponse) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "session settings cannot be restored: " + m.Code + " " + m.Message,
		Remedy:  "check the SET statements and startup parameters of the session",
	})
}
