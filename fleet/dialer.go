package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/tunnel"
)

// Timing and limits of connections to endpoints.
const (
	// directTimeout is how long a direct dial may take before a peer is used: several round-trip times.
	directTimeout = 200 * time.Millisecond
	// directBackoff is how long after an unanswered direct dial this instance dials only through peers.
	directBackoff = time.Second
	// maxTunnelPeers is the number of peers that are tried for one connection.
	maxTunnelPeers = 2
)

// endpointDialer dials endpoints, through a peer's tunnel where this instance is partitioned from them; it is safe for
// concurrent use.
type endpointDialer[L Link[L]] struct {
	instance *Instance[L]
	mu       sync.Mutex
	paths    map[string]path
}

// path records the results of earlier dials of an address.
type path struct {
	// failedAt is the time of the last direct dial without an answer.
	failedAt time.Time
	// peer is the tunnel address of the peer that last reached the endpoint.
	peer string
}

// Dial opens a connection to an endpoint's address, directly or through a peer.
func (d *endpointDialer[L]) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	p := d.paths[address]
	d.mu.Unlock()
	if clock.Since(p.failedAt) >= directBackoff {
		nc, err := d.dialDirect(ctx, network, address)
		if err == nil || !unanswered(err) || ctx.Err() != nil {
			return nc, err
		}
	}
	return d.dialThroughPeers(ctx, address, p.peer)
}

// dialDirect dials the address without a peer, and records a dial without an answer.
func (d *endpointDialer[L]) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	nc, err := d.instance.cfg.Adapter.Dialer(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		delete(d.paths, address)
		return nc, nil
	}
	if unanswered(err) {
		if _, known := d.paths[address]; !known {
			logLine(d.instance.cfg.Logger, "level", "warn", "msg", "endpoint_unreachable_directly", "address", address, "error", err.Error())
		}
		d.paths[address] = path{failedAt: clock.Now(), peer: d.paths[address].peer}
	}
	return nil, err
}

// unanswered reports whether a dial failed without an answer, rather than by a refusal or a reset.
func unanswered(err error) bool {
	return !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET)
}

// dialThroughPeers tries the peer that last reached the address, then others.
func (d *endpointDialer[L]) dialThroughPeers(ctx context.Context, address, last string) (nc net.Conn, err error) {
	err = errNoPeer
	for _, peer := range d.candidates(last) {
		nc, err = d.dialThrough(ctx, peer, address)
		if err == nil {
			d.mu.Lock()
			d.paths[address] = path{failedAt: d.paths[address].failedAt, peer: peer}
			d.mu.Unlock()
			return nc, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

var errNoPeer = errors.New("no peer is known that could reach the endpoint")

func (d *endpointDialer[L]) dialThrough(ctx context.Context, peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout+tunnel.DefaultDialTimeout)
	defer cancel()
	return tunnel.Dial(ctx, tunnel.DialConfig{Peer: peer, Target: address, Dial: d.instance.cfg.Adapter.Dialer})
}

// candidates returns the tunnel addresses of the peers to try; the peer that last reached the endpoint comes first.
func (d *endpointDialer[L]) candidates(last string) []string {
	var out []string
	if last != "" {
		out = append(out, last)
	}
	others := d.instance.node.Others()
	for _, n := range rand.Perm(len(others)) {
		if len(out) >= maxTunnelPeers {
			break
		}
		host, _, err := net.SplitHostPort(others[n].PeerAddress())
		if err != nil {
			continue
		}
		peer := net.JoinHostPort(host, d.instance.cfg.TunnelPort)
		if peer != last {
			out = append(out, peer)
		}
	}
	return out
}

// dialMember opens a link to a member of a group.
func (d *endpointDialer[L]) dialMember(ctx context.Context, t Target) (L, error) {
	return d.instance.cfg.Adapter.Dial(ctx, t, d.Dial)
}
