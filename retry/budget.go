package retry

import "time"

// BudgetConfig sets the rates at which a budget allows retries.
type BudgetConfig struct {
	// Ratio is the number of retries credited per request.
	Ratio float64
	// PerSecond is the number of retries credited per second.
	PerSecond float64
	// Burst is the largest number of retries that can accumulate.
	Burst float64
}

// Budget limits retries to a share of requests plus a small constant rate; it is not safe for concurrent use.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Request credits the budget for one new request.
func (b *Budget) Request() { b.add(b.cfg.Ratio) }

// Allow consumes one retry of the budget at now, and reports whether the budget held one.
func (b *Budget) Allow(now time.Time) bool {
	if !b.last.IsZero() {
		b.add(now.Sub(b.last).Seconds() * b.cfg.PerSecond)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.cfg.Burst)
}

// BackoffConfig bounds the wait between attempts.
type BackoffConfig struct {
	// FirstBackoff is the upper bound of the first wait.
	FirstBackoff time.Duration
	// MaxBackoff is the upper bound of every wait.
	MaxBackoff time.Duration
}

// Backoff computes waits that double up to a maximum, with full jitter.
type Backoff struct {
	cfg BackoffConfig
}

// NewBackoff returns a backoff within cfg.
func NewBackoff(cfg BackoffConfig) Backoff { return Backoff{cfg: cfg} }

// Wait returns the wait after n failed attempts, for a random number in [0, 1).
func (b Backoff) Wait(n int, random float64) time.Duration {
	ceiling := b.cfg.FirstBackoff
	for i := 1; i < n && ceiling < b.cfg.MaxBackoff; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, b.cfg.MaxBackoff)
	return time.Duration(random * float64(ceiling))
}
