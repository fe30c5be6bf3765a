package engine

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// Order asks a member for something over a connection and returns the status that follows.
type Order[L Link[L]] func(ctx context.Context, c L) (group.Status, error)

// maxOrders is the number of orders that may wait for one member; more are dropped, as lost messages are.
const maxOrders = 16

// Send queues an order to a member; its result reaches the observer like a probe's.
func (g *Group[L]) Send(endpoint string, order Order[L]) {
	m := g.member(endpoint)
	if m == nil {
		return
	}
	select {
	case m.orders <- order:
	default:
	}
}

// Terminate ends the endpoint's side of link, over the probe's connection.
func (g *Group[L]) Terminate(endpoint string, link L) bool {
	result := make(chan bool, 1)
	g.Send(endpoint, func(ctx context.Context, c L) (group.Status, error) {
		ended, err := c.Terminate(ctx, link)
		result <- err == nil && ended
		if err != nil {
			return group.Status{}, err
		}
		return c.Status(ctx)
	})
	select {
	case ended := <-result:
		return ended
	case <-time.After(g.cfg.Quarantine):
		return false
	}
}

// recentTrafficStatus returns a member's status if a request brought one within the probe interval, so that a probe can be left out.
func (g *Group[L]) recentTrafficStatus(m *member[L]) (group.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	recent := g.cfg.Clock().Sub(m.lastStatus.sentAt) < g.cfg.ProbeInterval
	return m.lastStatus.status, recent && m.answeredAt.Before(m.lastStatus.sentAt)
}

// Kick asks for a probe of every member now.
func (g *Group[L]) Kick() { g.triggerProbes() }

// triggerProbes asks every prober to probe now.
func (g *Group[L]) triggerProbes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		select {
		case m.trigger <- struct{}{}:
		default:
		}
	}
}

// probeLoop probes one member at every interval and on every kick, and sends it the orders.
func (g *Group[L]) probeLoop(ctx context.Context, m *member[L]) {
	ticker := time.NewTicker(g.cfg.ProbeInterval)
	defer ticker.Stop()
	var none, conn L
	order := Order[L](statusOrder[L])
	var usedAt time.Time
	for {
		if order != nil {
			conn = g.probe(ctx, m, conn, order)
			usedAt = clock.Now()
		}
		order = statusOrder[L]
		select {
		case <-ticker.C:
			if s, ok := g.recentTrafficStatus(m); ok && (conn != none || g.cfg.LinkIdle > 0) {
				g.notifyObserver(s)
				order = nil
			}
			if !g.due(m, false) {
				order = nil
			}
			if order == nil && conn != none && g.probeLinkIdle(usedAt) {
				g.closeGracefully(conn)
				conn = none
			}
			if g.cfg.LinkIdle > 0 {
				m.connections.CloseIdle(g.cfg.LinkIdle)
			}
		case order = <-m.orders:
		case <-m.trigger:
			g.awaitRedial(ctx, conn)
			if !g.due(m, true) {
				order = nil
			}
		case <-ctx.Done():
			if conn != none {
				conn.Goodbye(gracefulCloseTimeout)
				conn.Close()
			}
			return
		}
	}
}

// probeLinkIdle reports whether the link for probes is to be closed: this instance gets what it needs from another one.
func (g *Group[L]) probeLinkIdle(since time.Time) bool {
	return g.cfg.LinkIdle > 0 && clock.Since(since) >= g.cfg.LinkIdle && g.cfg.Standby != nil && g.cfg.Standby()
}

// closeGracefully closes a link for probes; the group's end awaits it.
func (g *Group[L]) closeGracefully(conn L) {
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		conn.Goodbye(gracefulCloseTimeout)
		conn.Close()
	}()
}

// due reports whether to probe a member now; without a rule, every tick and every kick probes.
func (g *Group[L]) due(m *member[L], kicked bool) bool {
	if g.cfg.Probing == nil {
		return true
	}
	factor := 1.0
	if g.cfg.Standby != nil && g.cfg.Standby() {
		factor = standbyFactor
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Probing.Due(g.cfg.Clock(), g.tracker, m.address.Endpoint, factor, kicked)
}

// standbyFactor stretches the ages of evidence on an instance that usually gets it from another one.
//
// It leaves the other time for one renewal and its relay, and this instance time
// for a probe of its own before the lease ends.
const standbyFactor = 2.4

func statusOrder[L Link[L]](ctx context.Context, c L) (group.Status, error) { return c.Status(ctx) }

// awaitRedial keeps kicks from redialing an unreachable member without pause.
func (g *Group[L]) awaitRedial(ctx context.Context, conn L) {
	var none L
	if conn != none {
		return
	}
	select {
	case <-time.After(redialInterval):
	case <-ctx.Done():
	}
}

// redialInterval is the least time between two dials of an unreachable member.
const redialInterval = 20 * time.Millisecond

// probe sends the member a order over conn, dialing first if conn is unset, and returns the connection for the next one.
func (g *Group[L]) probe(ctx context.Context, m *member[L], conn L, order Order[L]) L {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.ProbeTimeout)
	defer cancel()
	var none L
	var err error
	if conn == none {
		conn, err = g.cfg.Dial(ctx, m.address, "")
	}
	if err != nil {
		g.probeFailed(m, err)
		return none
	}
	sentAt := g.cfg.Clock()
	s, err := order(ctx, conn)
	if fault.KindOf(err) == fault.KindOverloaded {
		return conn
	}
	if err != nil {
		conn.Close()
		g.probeFailed(m, err)
		return none
	}
	g.mu.Lock()
	m.lastError = nil
	m.answeredAt = sentAt
	g.mu.Unlock()
	g.Observe(sentAt, s)
	g.notifyObserver(s)
	return conn
}

// notifyObserver hands a member's status to the observer.
func (g *Group[L]) notifyObserver(s group.Status) {
	if g.cfg.Observer != nil {
		g.cfg.Observer.Probed(s)
	}
}

func (g *Group[L]) probeFailed(m *member[L], err error) {
	g.mu.Lock()
	m.lastError = err
	g.tracker.SetDown(m.address.Endpoint, true)
	g.broadcastLocked()
	g.mu.Unlock()
	if g.cfg.Observer != nil {
		g.cfg.Observer.ProbeFailed(m.address.Endpoint, isRefused(err))
	}
}

// isRefused reports whether the member's host answered that nothing listens, or reset the connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF)
}

// AnsweredAt returns when the newest probe that an endpoint answered was sent.
func (g *Group[L]) AnsweredAt(endpoint string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[endpoint]; m != nil {
		return m.answeredAt
	}
	return time.Time{}
}

// LastError returns why the newest probe of an endpoint failed, or nil.
func (g *Group[L]) LastError(endpoint string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[endpoint]; m != nil {
		return m.lastError
	}
	return nil
}
