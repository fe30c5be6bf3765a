package tunnel

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// DialConfig says through whom to reach an endpoint.
type DialConfig struct {
	// Peer is the address of the instance that carries the tunnel.
	Peer string
	// Target is the address of the endpoint.
	Target string
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial opens a connection to the target through the peer; it fails with KindUnavailable.
func Dial(ctx context.Context, cfg DialConfig) (net.Conn, error) {
	nc, err := cfg.Dial(ctx, "tcp", cfg.Peer)
	if err != nil {
		return nil, unavailable(cfg, err)
	}
	if err := greet(ctx, nc, cfg.Target); err != nil {
		nc.Close()
		return nil, unavailable(cfg, err)
	}
	return nc, nil
}

func greet(ctx context.Context, nc net.Conn, target string) error {
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := io.WriteString(nc, hello+target+"\n"); err != nil {
		return err
	}
	word := make([]byte, len(accepted))
	if _, err := io.ReadFull(nc, word); err != nil {
		return err
	}
	if string(word) != accepted {
		return io.ErrUnexpectedEOF
	}
	return nc.SetDeadline(time.Time{})
}

func unavailable(cfg DialConfig, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "endpoint " + cfg.Target + " cannot be reached through instance " + cfg.Peer,
		Remedy:  "nothing needs doing; another instance is tried",
		Cause:   cause,
	})
}
