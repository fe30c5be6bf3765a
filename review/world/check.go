package main

import (
	"fmt"
	"strings"
	"time"
)

// staleWindow is how long before a read the commits are that the check looks at: longer than any member of a case falls
// behind.
const staleWindow = 10 * time.Second

// thawSlack is ThawSlackMs of bairdlennox-pool: a write counts only if the link to its member was sound for that long.
const thawSlack = 300 * time.Millisecond

// checkOne returns the writes that were committed at a member after the promotion of another one had taken effect, and
// that were acknowledged to their callers.
func checkOne(g *group, l *ledger) (broken []string) {
	acknowledged := map[string]answered{}
	for _, a := range l.all {
		if a.succeeded() {
			acknowledged[a.id] = a
		}
	}
	lightAt := map[string]time.Time{}
	for _, m := range g.members {
		lightAt[m.id] = m.lightAt
	}
	for _, c := range g.commits {
		a, ok := acknowledged[c.id]
		if !ok || c.committed.Sub(lightAt[c.member]) < thawSlack {
			continue
		}
		for _, p := range g.promotions {
			if p.member != c.member && p.term > c.term && c.committed.After(p.at) {
				broken = append(broken, fmt.Sprintf(
					"ONE: write %s was committed at %s in term %d %v after %s led term %d, and acknowledged at %.4f",
					c.id, c.member, c.term, c.committed.Sub(p.at), p.member, p.term, a.at.Sub(l.record.started).Seconds()))
				break
			}
		}
	}
	return broken
}

// checkStale returns the successful reads of primary routes that ran on a log without a commit that was acknowledged
// before the read was sent, unless a promotion rolled that commit back.
func checkStale(g *group, l *ledger) (broken []string) {
	kept := map[string]bool{}
	leader := g.leader()
	for _, e := range leader.log {
		kept[e.id] = true
	}
	answers := map[string]answered{}
	for _, a := range l.all {
		if a.succeeded() {
			answers[a.id] = a
		}
	}
	for _, r := range g.reads {
		a, ok := answers[r.id]
		if !ok {
			continue
		}
		for n := len(g.commits) - 1; n >= 0 && a.sent.Sub(g.commits[n].committed) < staleWindow; n-- {
			c := g.commits[n]
			w, ok := answers[c.id]
			if !ok || !kept[c.id] || !w.at.Before(a.sent) {
				continue
			}
			if len(r.log) < c.number || r.log[c.number-1].id != c.id {
				broken = append(broken, fmt.Sprintf(
					"STALE: read %s, sent at %.4f, ran at %s without the write %s, acknowledged at %.4f and committed at %s in term %d",
					r.id, a.sent.Sub(l.record.started).Seconds(), r.member, c.id, w.at.Sub(l.record.started).Seconds(), c.member, c.term))
				break
			}
		}
	}
	return broken
}

// checkPrepared returns the executions of prepared statements that differ from what their callers prepared and sent;
// prepared is the shape that the caller of each request prepared.
func checkPrepared(g *group, l *ledger, prepared map[string]string) (broken []string) {
	sent := map[string]answered{}
	for _, a := range l.all {
		sent[a.id] = a
	}
	for _, e := range g.executions {
		a := sent[e.id]
		// EXECUTE, the name and the arguments.
		fields := strings.SplitN(a.text, " ", 3)
		switch {
		case e.unknown:
			broken = append(broken, fmt.Sprintf("PINNED: %s, %q, was executed at %s under a name that is not prepared there", e.id, a.text, e.member))
		case e.shape != prepared[e.id] || e.arguments != fields[2]:
			broken = append(broken, fmt.Sprintf("PINNED: %s, %q of the shape %q, ran at %s as the shape %q with the arguments %q",
				e.id, a.text, prepared[e.id], e.member, e.shape, e.arguments))
		}
	}
	return broken
}

// checkAsked returns the requests that members received and no caller sent, or not with that text.
func checkAsked(g *group, l *ledger) (broken []string) {
	sent := map[string]string{}
	for _, a := range l.all {
		sent[a.id] = a.text
	}
	for _, s := range g.statements {
		text, ok := sent[s.id]
		switch {
		case !ok:
			broken = append(broken, fmt.Sprintf("UNASKED: %s received %s %q, an id that no caller sent", s.member, s.id, s.text))
		case text != s.text:
			broken = append(broken, fmt.Sprintf("UNASKED: %s received %s as %q; the caller sent %q", s.member, s.id, s.text, text))
		}
	}
	return broken
}

// checkLost returns the writes that were acknowledged before a promotion took effect and are missing from what the promoted
// member had received.
func checkLost(g *group, l *ledger) (broken []string) {
	acknowledged := map[string]answered{}
	for _, a := range l.all {
		if a.succeeded() {
			acknowledged[a.id] = a
		}
	}
	for _, p := range g.promotions {
		for _, c := range g.commits {
			a, ok := acknowledged[c.id]
			if !ok || c.term >= p.term || !a.at.Before(p.at) {
				continue
			}
			if len(p.log) < c.number || p.log[c.number-1].id != c.id {
				broken = append(broken, fmt.Sprintf(
					"LOST: write %s, committed at %s in term %d and acknowledged at %.4f, is not in the log of %s, which led term %d with %d entries at %.4f",
					c.id, c.member, c.term, a.at.Sub(l.record.started).Seconds(), p.member, p.term, len(p.log), p.at.Sub(l.record.started).Seconds()))
			}
		}
	}
	return broken
}
