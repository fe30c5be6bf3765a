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
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/tunnel"
)

// Timing of connections to endpoints.
const (
	// directTimeout is how long a dial may take before a peer is asked: several times the way there and back.
	directTimeout = 200 * time.Millisecond
	// partitionMemory is how long a failed dial makes this instance ask a peer first.
	partitionMemory = time.Second
	// tunnelTries is the number of peers that are asked for one connection.
	tunnelTries = 2
)

// reach dials endpoints, through a peer where this instance is partitioned from them; it is safe for concurrent use.
type reach[L Link[L]] struct {
	instance *Instance[L]
	mu       sync.Mutex
	paths    map[string]path
}

// path is what is known of the way to an address.
type path struct {
	// failedAt is when the direct way last gave no answer.
	failedAt time.Time
	// peer is the address of the instance that last reached it.
	peer string
}

// Dial opens a connection to an endpoint's address, directly or through a peer.
func (r *reach[L]) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	r.mu.Lock()
	p := r.paths[address]
	r.mu.Unlock()
	if clock.Since(p.failedAt) >= partitionMemory {
		nc, err := r.direct(ctx, network, address)
		if err == nil || !silent(err) || ctx.Err() != nil {
			return nc, err
		}
	}
	return r.throughPeer(ctx, address, p.peer)
}

// direct dials the address itself and remembers a dial without an answer.
func (r *reach[L]) direct(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	nc, err := r.instance.cfg.Adapter.Dialer(ctx, network, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.paths, address)
		return nc, nil
	}
	if silent(err) {
		if _, known := r.paths[address]; !known {
			logLine(r.instance.cfg.Logger, "level", "warn", "msg", "endpoint_unreachable_directly", "address", address, "error", err.Error())
		}
		r.paths[address] = path{failedAt: clock.Now(), peer: r.paths[address].peer}
	}
	return nil, err
}

// silent reports whether a dial failed for want of an answer, rather than by a refusal.
func silent(err error) bool {
	return !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET)
}

// throughPeer asks the peer that last reached the address, then others.
func (r *reach[L]) throughPeer(ctx context.Context, address, last string) (nc net.Conn, err error) {
	err = errNoPeer
	for _, peer := range r.candidates(last) {
		nc, err = r.through(ctx, peer, address)
		if err == nil {
			r.mu.Lock()
			r.paths[address] = path{failedAt: r.paths[address].failedAt, peer: peer}
			r.mu.Unlock()
			return nc, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

var errNoPeer = errors.New("no peer is known that could reach the endpoint")

func (r *reach[L]) through(ctx context.Context, peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout+tunnel.DefaultDialTimeout)
	defer cancel()
	return tunnel.Dial(ctx, tunnel.DialConfig{Peer: peer, Target: address, Dial: r.instance.cfg.Adapter.Dialer})
}

// candidates returns the peers to ask, the one that reached the address last first.
func (r *reach[L]) candidates(last string) []string {
	var out []string
	if last != "" {
		out = append(out, last)
	}
	others := r.instance.node.Others()
	for _, at := range rand.Perm(len(others)) {
		if len(out) >= tunnelTries {
			break
		}
		host, _, err := net.SplitHostPort(others[at].PeerAddress())
		if err != nil {
			continue
		}
		peer := net.JoinHostPort(host, r.instance.cfg.TunnelPort)
		if peer != last {
			out = append(out, peer)
		}
	}
	return out
}

// dial opens a link to a member of a group.
func (r *reach[L]) dial(ctx context.Context, group string, m engine.Address) (L, error) {
	return r.instance.cfg.Adapter.Dial(ctx, group, m, r.Dial)
}
