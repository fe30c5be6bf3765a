package tunnel

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// DialConfig describes a tunnel to an endpoint.
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
		return nil, errUnavailable(cfg, err)
	}
	if err := requestTunnel(ctx, nc, cfg.Target); err != nil {
		nc.Close()
		return nil, errUnavailable(cfg, err)
	}
	return nc, nil
}

// requestTunnel requests a tunnel to target and waits for the peer's reply, until ctx's deadline.
func requestTunnel(ctx context.Context, nc net.Conn, target string) error {
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := io.WriteString(nc, requestPrefix+target+"\n"); err != nil {
		return err
	}
	reply := make([]byte, len(replyAccepted))
	if _, err := io.ReadFull(nc, reply); err != nil {
		return err
	}
	if string(reply) != replyAccepted {
		return io.ErrUnexpectedEOF
	}
	return nc.SetDeadline(time.Time{})
}

func errUnavailable(cfg DialConfig, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "endpoint " + cfg.Target + " cannot be reached through instance " + cfg.Peer,
		Remedy:  "no action needed; another instance is tried",
		Cause:   cause,
	})
}
