package pace

import "time"

// slowRatio is how many times longer than expected answers must take to count as much slower: more than a full queue at an
// endpoint (two requests for each slot) adds, and less than the slowdowns of 5 and more that an endpoint has to be spared.
const slowRatio = 3

// Config configures a Controller.
type Config struct {
	// Ceiling is the number of requests at which the controller restricts nothing; less than 1 counts as 1.
	Ceiling int
}

// Controller gives the number of requests that one instance may have in flight at an endpoint; it is not safe for
// concurrent use.
type Controller struct {
	ceiling int
	// limited is set from a restart until the limit has reached the ceiling; limit is only valid while it is set.
	limited bool
	limit   int
	// additive is set by the first failure or slow answer after a restart: the limit then grows by 1 instead of doubling.
	additive bool
	// changedAt is when the limit last changed: answers to requests sent earlier do not raise it.
	changedAt time.Time
	// reducedAt is when the limit was last reduced: answers to requests sent earlier say nothing about the new limit.
	reducedAt time.Time
	// ratio is the mean of the times taken relative to the expected ones, over about the last limit answers, and answers
	// their number since the last reduction.
	ratio   float64
	answers int
}

// New returns a controller that limits nothing until its first restart.
func New(cfg Config) *Controller { return &Controller{ceiling: max(1, cfg.Ceiling)} }

// Restart reduces the limit to one request: the endpoint has started, come back, or been promoted.
func (c *Controller) Restart(now time.Time) {
	c.limited = true
	c.additive = false
	c.reduce(now, 1)
}

// Answered records an answer that took so long; expected is the usual time, or 0 if it is not known.
//
// The limit grows at most once in the time that an answer takes, since only an answer
// to a request sent under the present limit raises it: it doubles until the first sign
// of difficulty, and grows by 1 after that.
func (c *Controller) Answered(now time.Time, took, expected time.Duration) {
	sentAt := now.Add(-took)
	if !c.limited || sentAt.Before(c.reducedAt) {
		return
	}
	if expected > 0 {
		c.answers++
		c.ratio += (float64(took)/float64(expected) - c.ratio) / float64(min(c.answers, c.limit))
		if c.ratio > slowRatio {
			c.backOff(now)
			return
		}
	}
	if !sentAt.Before(c.changedAt) {
		c.raise(now)
	}
}

// Failed records a request that was refused as busy, was lost, or failed.
func (c *Controller) Failed(now time.Time) {
	if c.limited {
		c.backOff(now)
	}
}

// Limit returns the number of requests that may be in flight, from 1 to the ceiling.
func (c *Controller) Limit() int {
	if !c.limited {
		return c.ceiling
	}
	return min(c.limit, c.ceiling)
}

// SetCeiling changes the ceiling; less than 1 counts as 1.
func (c *Controller) SetCeiling(n int) { c.ceiling = max(1, n) }

// backOff halves the limit.
func (c *Controller) backOff(now time.Time) {
	c.additive = true
	c.reduce(now, max(1, c.Limit()/2))
}

func (c *Controller) reduce(now time.Time, limit int) {
	c.limit = limit
	c.changedAt, c.reducedAt = now, now
	c.ratio, c.answers = 0, 0
}

// raise doubles the limit or adds 1, and ends the limitation at the ceiling.
func (c *Controller) raise(now time.Time) {
	switch {
	case c.limit >= c.ceiling:
	case c.additive:
		c.limit++
	default:
		c.limit *= 2
	}
	c.changedAt = now
	c.limited = c.limit < c.ceiling
}
