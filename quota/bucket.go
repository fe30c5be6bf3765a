package quota

import (
	"math"
	"time"
)

const (
	// LoanTimeout is the longest time between a lender's deduction and the borrower's Receive. Answers that arrive later must
	// be dropped. Instances answer within some 10 ms; 250 ms covers two pauses of a throttled process.
	LoanTimeout = 250 * time.Millisecond
	// minLife and maxLife bound the time after which borrowed tokens must fit into the borrower's own capacity: one
	// round of borrowing, and some rounds, since tokens that wait longer are better kept by the lender.
	minLife = 50 * time.Millisecond
	maxLife = 250 * time.Millisecond
	// returnTime is the time for which a token taken occupies capacity, so that Return adds nothing to the sum. Most
	// operations that reach no endpoint are refused within it.
	returnTime = 100 * time.Millisecond
)

// Config holds the limits of an account and the share of them that a bucket has at the time Now.
type Config struct {
	Limits    Limits
	Tolerance Tolerance
	// Share is a fraction, from 0 to 1.
	Share float64
	Now   time.Time
}

// Bucket is one instance's token bucket for an account; it is not safe for concurrent use.
//
// Tokens are fractions of operations. The tokens it owns, those lent that may still exist, and those taken in the last
// returnTime together never exceed its capacity.
type Bucket struct {
	tolerance Tolerance
	limits    Limits
	share     float64
	// refill is in tokens per second.
	refill   float64
	capacity float64
	// started is set once the bucket has received its allowance.
	started bool
	created time.Time
	at      time.Time

	owned float64
	lent  recent
	// assumed are the tokens that an earlier holder of the share may have lent.
	assumed recent
	taken   recent
	// borrowed are the tokens received, which become owned after their time as far as there is room for them.
	borrowed recent
	demand   demand
}

// New returns a bucket that holds no tokens but a small allowance out of the slack.
func New(cfg Config) *Bucket {
	b := &Bucket{
		tolerance: cfg.Tolerance,
		limits:    cfg.Limits,
		created:   cfg.Now,
		at:        cfg.Now,
		taken:     recent{length: returnTime / (slots - 1)},
		demand:    demand{at: cfg.Now},
	}
	b.setLife()
	b.SetShare(cfg.Now, cfg.Share)
	return b
}

// SetLimits sets the limits of the account; tokens beyond the new capacity are lost.
func (b *Bucket) SetLimits(now time.Time, l Limits) {
	b.advance(now)
	b.limits = l
	b.setLife()
	b.resize()
}

// SetShare sets the share of the account's limits that this bucket has; 0 stops the refill and drops the tokens.
func (b *Bucket) SetShare(now time.Time, share float64) {
	b.advance(now)
	b.share = min(sanitize(share), 1)
	b.resize()
	if b.share > 0 && !b.started {
		b.started = true
		allowance := min(startAllowance*b.tolerance.Slack*b.share, b.capacity)
		b.owned += b.assumed.remove(allowance)
	}
}

// ForgetHolders records that no other instance can have lent tokens of this share: all instances have restarted.
//
// The refill is then available at once, rather than after the longest time for which lent tokens exist.
func (b *Bucket) ForgetHolders(now time.Time) {
	b.advance(now)
	b.assumed.remove(b.assumed.total())
}

// Share returns the share of the account's limits that this bucket has.
func (b *Bucket) Share() float64 { return b.share }

// setLife derives from the limits how long loans exist: as long as the refill of all buckets takes to fill them. Lenders
// then never run out of capacity for loans, whatever part of the demand comes to one bucket.
//
// A loan occupies the lender's capacity until the borrower has spent the tokens, holds them in its own capacity, or has let
// them expire.
func (b *Bucket) setLife() {
	life := maxLife
	if refill, capacity := b.tolerance.divide(b.limits); refill > 0 {
		seconds := min(capacity/refill, maxLife.Seconds())
		life = max(minLife, time.Duration(seconds*float64(time.Second))-LoanTimeout)
	}
	age := b.at.Sub(b.created)
	b.lent.setLength((LoanTimeout+life)/(slots-1), age)
	b.assumed.setLength((LoanTimeout+life)/(slots-1), age)
	b.borrowed.setLength(life/slots, age)
}

// resize derives the refill and the capacity from the limits and the share.
//
// Added capacity is occupied at first: another instance may have held that share and lent its tokens.
func (b *Bucket) resize() {
	refill, capacity := b.tolerance.divide(b.limits)
	if b.limits.Unlimited() {
		refill, capacity = 0, 0
	}
	b.refill = refill * b.share
	capacity *= b.share
	if added := capacity - b.capacity; added > 0 {
		b.assumed.add(added)
	}
	b.capacity = capacity
	b.owned = min(b.owned, max(0, b.owned+b.room()))
}

// advance adds the refill since the last call; a time before it adds nothing.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	age := now.Sub(b.created)
	b.lent.advance(age)
	b.assumed.advance(age)
	b.taken.advance(age)
	b.demand.advance(now)
	b.owned += max(0, min(b.borrowed.advance(age)+b.refill*elapsed.Seconds(), b.room()))
}

// room returns how many tokens fit into the capacity; it is negative after a reduction.
func (b *Bucket) room() float64 {
	return b.capacity - b.owned - b.lent.total() - b.assumed.total() - b.taken.total()
}

// tokenError is the error of sums of fractions of a token that add up to a whole one.
const tokenError = 1e-9

// Take takes a token for an operation; if there is none, it returns the time until the next token is due.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	b.advance(now)
	if !b.limits.Unlimited() {
		b.demand.add(now)
	}
	return b.Retry(now)
}

// Retry is like Take for an operation that Take has refused: it does not count as demand again.
func (b *Bucket) Retry(now time.Time) (wait time.Duration, ok bool) {
	b.advance(now)
	if b.limits.Unlimited() {
		return 0, true
	}
	missing := 1 - b.owned - b.borrowed.total()
	if missing > tokenError {
		return b.due(missing), false
	}
	own := min(1-b.borrowed.remove(1), b.owned)
	b.owned -= own
	b.taken.add(own)
	return 0, true
}

// due returns the time until the refill has added the missing tokens, at most a window.
func (b *Bucket) due(missing float64) time.Duration {
	seconds := b.tolerance.Window.Seconds()
	if b.refill > 0 {
		seconds = min(seconds, missing/b.refill)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Return gives back the token of an operation that has reached no endpoint.
//
// The tokens of operations that took longer than returnTime, and borrowed ones, may be lost.
func (b *Bucket) Return(now time.Time) {
	b.advance(now)
	returned := b.taken.remove(1)
	b.owned += min(returned, max(0, b.room()))
}

// Lend deducts up to want tokens that this bucket's own demand does not need, and returns how many.
func (b *Bucket) Lend(now time.Time, want float64) float64 {
	b.advance(now)
	keep := 0.0
	if b.capacity >= 1 {
		keep = max(0, b.need()-b.borrowed.total())
	}
	amount := min(sanitize(want), b.owned-keep)
	if !(amount > 0) {
		return 0
	}
	b.owned -= amount
	b.lent.add(amount)
	return amount
}

// Receive adds tokens that another bucket has lent no longer than LoanTimeout ago.
func (b *Bucket) Receive(now time.Time, tokens float64) {
	b.advance(now)
	b.borrowed.add(sanitize(tokens))
}

// Shortage returns the number of tokens worth borrowing now, from recent demand.
//
// Beyond the bucket's own capacity these are at most a whole token, or what the demand uses up before it expires.
func (b *Bucket) Shortage(now time.Time) float64 {
	b.advance(now)
	if b.limits.Unlimited() {
		return 0
	}
	need, held := b.need(), b.owned+b.borrowed.total()
	if held >= need {
		return 0
	}
	return min(need-held, max(0, 1-held, max(b.room(), b.soonSpent())-b.borrowed.total()))
}

// soonSpent returns how many borrowed tokens the demand almost certainly uses up before they expire.
func (b *Bucket) soonSpent() float64 {
	life := b.borrowed.length * (slots - 1)
	mean := b.demand.rate * life.Seconds()
	return mean - deviations*math.Sqrt(mean)
}

// need returns the tokens that the demand of the next horizon requires beyond the refill, with a margin for chance.
//
// The same figure decides what a borrower asks for and what a lender keeps: buckets in need do not lend to each other.
func (b *Bucket) need() float64 {
	mean := b.demand.rate * horizon.Seconds()
	need := max(0, mean-b.refill*horizon.Seconds()) + deviations*math.Sqrt(mean)
	if b.at.Sub(b.demand.last) < b.memory() {
		return max(1, need)
	}
	return need
}

// memory returns how long after an operation the bucket keeps a whole token ready for another one. A token that does not fit
// into the capacity would expire and be borrowed again and again; it is kept for a retry only.
func (b *Bucket) memory() time.Duration {
	if b.capacity < 1 {
		return retryTime
	}
	return quietAfter
}
