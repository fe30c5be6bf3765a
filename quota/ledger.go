package quota

import "time"

// Ledger holds one instance's buckets of the accounts of the configuration; it is not safe for concurrent use.
//
// It keeps state for the accounts of the last Apply only.
type Ledger struct {
	tolerance Tolerance
	buckets   map[string]*Bucket
}

// NewLedger returns a ledger without accounts.
func NewLedger(t Tolerance) *Ledger {
	return &Ledger{tolerance: t, buckets: map[string]*Bucket{}}
}

// Apply takes over the limits of a configuration version; new accounts have a share of 0 until SetShares.
func (l *Ledger) Apply(now time.Time, limits map[string]Limits) {
	for account := range l.buckets {
		if _, ok := limits[account]; !ok {
			delete(l.buckets, account)
		}
	}
	for account, limit := range limits {
		if b := l.buckets[account]; b != nil {
			b.SetLimits(now, limit)
			continue
		}
		l.buckets[account] = New(Config{Limits: limit, Tolerance: l.tolerance, Now: now})
	}
}

// SetShares sets this instance's share of each account.
func (l *Ledger) SetShares(now time.Time, share func(account string) float64) {
	for account, b := range l.buckets {
		b.SetShare(now, share(account))
	}
}

// Share returns this instance's share of an account, 0 if the account is not in the configuration.
func (l *Ledger) Share(account string) float64 {
	if b := l.buckets[account]; b != nil {
		return b.Share()
	}
	return 0
}

// ForgetHolders records that no other instance can have lent tokens: all instances have restarted.
func (l *Ledger) ForgetHolders(now time.Time) {
	for _, b := range l.buckets {
		b.ForgetHolders(now)
	}
}

// Take takes a token of an account, as Bucket.Take; an account that is not in the configuration is not limited.
func (l *Ledger) Take(now time.Time, account string) (wait time.Duration, ok bool) {
	b := l.buckets[account]
	if b == nil {
		return 0, true
	}
	return b.Take(now)
}

// Retry takes a token for an operation that Take has refused, as Bucket.Retry.
func (l *Ledger) Retry(now time.Time, account string) (wait time.Duration, ok bool) {
	b := l.buckets[account]
	if b == nil {
		return 0, true
	}
	return b.Retry(now)
}

// Return gives back the token of an operation that has reached no endpoint.
func (l *Ledger) Return(now time.Time, account string) {
	if b := l.buckets[account]; b != nil {
		b.Return(now)
	}
}

// Lend deducts tokens for another instance and returns the amounts by account, without those that are zero.
func (l *Ledger) Lend(now time.Time, want map[string]float64) map[string]float64 {
	lent := map[string]float64{}
	for account, tokens := range want {
		b := l.buckets[account]
		if b == nil {
			continue
		}
		if amount := b.Lend(now, tokens); amount > 0 {
			lent[account] = amount
		}
	}
	return lent
}

// Receive adds the tokens that another instance has lent no longer than LoanTimeout ago.
func (l *Ledger) Receive(now time.Time, amounts map[string]float64) {
	for account, tokens := range amounts {
		if b := l.buckets[account]; b != nil {
			b.Receive(now, tokens)
		}
	}
}

// Shortages returns the tokens worth borrowing now by account, without those that are zero.
func (l *Ledger) Shortages(now time.Time) map[string]float64 {
	short := map[string]float64{}
	for account, b := range l.buckets {
		if tokens := b.Shortage(now); tokens > 0 {
			short[account] = tokens
		}
	}
	return short
}

// Shortage returns the tokens of an account that are worth borrowing now, or 0.
func (l *Ledger) Shortage(now time.Time, account string) float64 {
	b := l.buckets[account]
	if b == nil {
		return 0
	}
	return b.Shortage(now)
}
