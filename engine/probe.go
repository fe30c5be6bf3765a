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

// Order sends a command to a member over a connection and returns the member's status afterwards.
type Order[L Link[L]] func(ctx context.Context, c L) (group.Status, error)

// maxOrders bounds the orders queued for one member; further ones are dropped, which senders must tolerate like a lost
// message.
const maxOrders = 16

// Send queues an order to a member; the observer receives its result like that of a probe.
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

// Terminate ends the endpoint's side of link, over the connection for probes, and reports whether that succeeded in
// time.
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

// recentTrafficStatus returns a member's status if a request or another instance obtained it after the last probe and
// within the probe interval, so that a probe is unnecessary.
func (g *Group[L]) recentTrafficStatus(m *member[L]) (group.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	recent := g.cfg.Clock().Sub(m.lastStatus.sentAt) < g.cfg.ProbeInterval
	return m.lastStatus.status, recent && m.answeredAt.Before(m.lastStatus.sentAt)
}

// ProbeNow triggers a probe of every member now.
func (g *Group[L]) ProbeNow() { g.triggerProbes() }

// triggerProbes triggers a probe in every probe loop.
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

// probeLoop probes one member at every interval and on every trigger, and sends it the orders.
func (g *Group[L]) probeLoop(ctx context.Context, m *member[L]) {
	ticker := time.NewTicker(g.cfg.ProbeInterval)
	defer ticker.Stop()
	var unset, conn L
	var backoff dialBackoff
	order := Order[L](statusOrder[L])
	var usedAt time.Time
	for {
		// At its connection limit a member is dialed less often: each dial costs it a slot.
		if order != nil && (conn != unset || backoff.delay(clock.Now()) == 0) {
			conn = g.probe(ctx, m, conn, order, &backoff)
			usedAt = clock.Now()
		}
		order = statusOrder[L]
		select {
		case <-ticker.C:
			if s, ok := g.recentTrafficStatus(m); ok && (conn != unset || g.cfg.MaxLinkIdle > 0) {
				g.notifyObserver(s)
				order = nil
			}
			if !g.due(m, false) {
				order = nil
			}
			if order == nil && conn != unset && g.probeLinkIdle(usedAt) {
				g.closeGracefully(conn)
				conn = unset
			}
			if g.cfg.MaxLinkIdle > 0 {
				m.connections.CloseIdle(g.cfg.MaxLinkIdle)
			}
		case order = <-m.orders:
		case <-m.trigger:
			g.awaitRedial(ctx, conn)
			if !g.due(m, true) {
				order = nil
			}
		case <-ctx.Done():
			if conn != unset {
				conn.CloseGracefully(gracefulCloseTimeout)
				conn.Close()
			}
			return
		}
	}
}

// probeLinkIdle reports whether to close the link for probes, last used at usedAt.
//
// It does so if the link has been idle for MaxLinkIdle and another instance relays
// the statuses.
func (g *Group[L]) probeLinkIdle(usedAt time.Time) bool {
	return g.cfg.MaxLinkIdle > 0 && clock.Since(usedAt) >= g.cfg.MaxLinkIdle && g.cfg.Standby != nil && g.cfg.Standby()
}

// closeGracefully closes a link for probes in the background; Run waits for it to end.
func (g *Group[L]) closeGracefully(conn L) {
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		conn.CloseGracefully(gracefulCloseTimeout)
		conn.Close()
	}()
}

// due reports whether to probe a member now; without GroupConfig.Probing, every tick and every trigger probes.
func (g *Group[L]) due(m *member[L], triggered bool) bool {
	if g.cfg.Probing == nil {
		return true
	}
	factor := 1.0
	if g.cfg.Standby != nil && g.cfg.Standby() {
		factor = standbyFactor
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Probing.Due(g.cfg.Clock(), g.tracker, m.address.Endpoint, factor, triggered)
}

// standbyFactor scales the evidence ages that make a probe due on an instance to which another one relays statuses.
//
// It leaves the other instance time for one renewal and its relay, and this instance
// time for a probe of its own before the lease ends.
const standbyFactor = 2.4

// statusOrder is an order that only requests the member's status.
func statusOrder[L Link[L]](ctx context.Context, c L) (group.Status, error) { return c.Status(ctx) }

// awaitRedial waits for redialInterval if there is no connection, so that triggers do not redial an unreachable member
// continuously.
func (g *Group[L]) awaitRedial(ctx context.Context, conn L) {
	var unset L
	if conn != unset {
		return
	}
	select {
	case <-time.After(redialInterval):
	case <-ctx.Done():
	}
}

// redialInterval is the minimum time between two triggered dials of an unreachable member.
const redialInterval = 20 * time.Millisecond

// probe sends the member an order over conn, dialing first if conn is unset, and returns the connection for the next
// order, which is unset after a failure.
func (g *Group[L]) probe(ctx context.Context, m *member[L], conn L, order Order[L], backoff *dialBackoff) L {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.ProbeTimeout)
	defer cancel()
	var unset L
	var err error
	if conn == unset {
		conn, err = g.cfg.Dial(ctx, m.address, "")
		backoff.record(clock.Now(), err)
	}
	if err != nil {
		g.probeFailed(m, err)
		return unset
	}
	sentAt := g.cfg.Clock()
	s, err := order(ctx, conn)
	if fault.KindOf(err) == fault.KindOverloaded {
		return conn
	}
	if err != nil {
		conn.Close()
		g.probeFailed(m, err)
		return unset
	}
	g.mu.Lock()
	m.lastError = nil
	m.answeredAt = sentAt
	g.mu.Unlock()
	g.Observe(sentAt, s)
	g.notifyObserver(s)
	return conn
}

// notifyObserver passes a member's status to the observer.
func (g *Group[L]) notifyObserver(s group.Status) {
	if g.cfg.Observer != nil {
		g.cfg.Observer.Probed(s)
	}
}

// probeFailed marks a member as down and notifies the observer.
func (g *Group[L]) probeFailed(m *member[L], err error) {
	g.mu.Lock()
	m.lastError = err
	g.tracker.SetDown(m.address.Endpoint, true)
	g.updatePaceLocked()
	g.broadcastLocked()
	g.mu.Unlock()
	if g.cfg.Observer != nil {
		g.cfg.Observer.ProbeFailed(m.address.Endpoint, isRefused(err))
	}
}

// isRefused reports whether the member's host refused the connection, reset it, or closed it during an answer.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF)
}

// AnsweredAt returns the time at which the newest answered probe of an endpoint was sent, or the zero time.
func (g *Group[L]) AnsweredAt(endpoint string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[endpoint]; m != nil {
		return m.answeredAt
	}
	return time.Time{}
}

// LastError returns the error of an endpoint's newest probe, or nil if it succeeded.
func (g *Group[L]) LastError(endpoint string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[endpoint]; m != nil {
		return m.lastError
	}
	return nil
}
