package route

import (
	"fmt"
	"strings"
	"time"
)

// Describe returns the known state of all members on one line, for logs.
func (t *Tracker) Describe(now time.Time) string {
	var b strings.Builder
	for i, name := range t.order {
		m := t.members[name]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s at %v sampled %v ago, lag %v, answers in %v, load %d, status %v ago", name, m.point,
			age(now, m.sampledAt), m.lag.Round(time.Millisecond), m.service.Round(time.Millisecond), m.load, age(now, m.statusAt))
		for _, flag := range []struct {
			set  bool
			name string
		}{{name == t.primary, "primary"}, {m.down, "down"}, {m.leaving, "leaving"}, {m.ejection.active(now), "ejected"}, {now.Before(m.behindUntil), "behind"}} {
			if flag.set {
				b.WriteString(", " + flag.name)
			}
		}
	}
	return b.String()
}

// age returns how long ago at was, in whole milliseconds, or -1ms for never.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(at).Round(time.Millisecond)
}
