package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

const (
	// keysPerAccount is the number of keys of an account; the faults change all but the first.
	keysPerAccount = 4
	// usualRate bounds the operations per second of a caller that is not hot: each takes more than the mean pause.
	usualRate = float64(time.Second / (usualPause / 2))
	// usualPause bounds the random pause between two operations of a caller with a key.
	usualPause = 10 * maxClientPause
	// hotPause bounds the pause of a caller whose account is hot.
	hotPause = maxClientPause / 5
	// rateToLoad is the rate of an account as a multiple of its usual load, as on the platform.
	rateToLoad = 1.6
	// burstSeconds is the burst of an account, in seconds of its rate.
	burstSeconds = 0.5
	// minHotTime is enough for the callers of a hot account to send more than its limit permits in a window.
	minHotTime = 3 * time.Second
	// meanAccountInterval is the mean time between two faults of accounts.
	meanAccountInterval = 2 * time.Second
	// settleTime is how long after a fault refusals because of a quota are not counted.
	settleTime = 3 * time.Second
)

// DrawAccounts returns the number of accounts for a seed: none for half of the seeds, otherwise two to four.
func DrawAccounts(seed uint64) int {
	if seed%2 == 0 {
		return 0
	}
	return 2 + int(seed/2%3)
}

// accountFaults are the kinds of faults of accounts, which are drawn separately.
var accountFaults = map[string]func(ctx context.Context, f *fixture, fault Fault){
	"key_removed": func(ctx context.Context, f *fixture, fault Fault) {
		account, key := f.accounts.target(fault)
		f.operator.RemoveKey(key)
		// The key stays removed for longer than the bound, so that a session that goes on with it is noticed.
		pause(ctx, f.accounts.bounds.Revoke+fault.Duration)
		f.operator.AddKey(account, key)
	},
	"key_moved": func(ctx context.Context, f *fixture, fault Fault) {
		account, key := f.accounts.target(fault)
		f.operator.MoveKey(key, accountName((fault.Target+1)%f.accounts.count))
		pause(ctx, f.accounts.bounds.Revoke+fault.Duration)
		f.operator.MoveKey(key, account)
	},
	"limit_lowered": func(ctx context.Context, f *fixture, fault Fault) {
		account, _ := f.accounts.target(fault)
		rate, burst := f.accounts.limit()
		f.operator.SetLimit(account, rate/2, burst/2)
		pause(ctx, f.accounts.bounds.Revoke+f.accounts.bounds.QuotaWindow+fault.Duration)
		f.operator.SetLimit(account, rate, burst)
	},
	"hot_account": func(ctx context.Context, f *fixture, fault Fault) {
		account := fault.Target % f.accounts.count
		f.accounts.hot[account].Add(1)
		pause(ctx, fault.Duration+minHotTime)
		f.accounts.hot[account].Add(-1)
	},
}

// AccountFaults returns the faults of accounts for a run of the given length, in order of their start.
func AccountFaults(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0xacc0))
	kinds := make([]string, 0, len(accountFaults))
	for kind := range accountFaults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var out []Fault
	for at := time.Second; at < length*4/5; at += time.Duration(r.ExpFloat64() * float64(meanAccountInterval)) {
		out = append(out, Fault{
			At: at, Duration: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxRandomDuration))),
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16),
		})
	}
	return out
}

func accountName(account int) string { return fmt.Sprintf("account-%d", account) }

func keyName(account, key int) string { return fmt.Sprintf("key-%d-%d", account, key) }

// accounts are the accounts of a run and the oracle that checks them.
type accounts struct {
	count  int
	bounds platformtest.AccountBounds
	// callersPerAccount is the number of callers of each account.
	callersPerAccount int
	oracle            *platformtest.AccountOracle
	// hot holds the number of faults that make each account hot.
	hot []atomic.Int32
}

// newAccounts returns the accounts of a run, or nil if it has none.
func newAccounts(cfg Config) *accounts {
	if cfg.Accounts == 0 {
		return nil
	}
	bounds := platformtest.DefaultAccountBounds
	return &accounts{
		count: cfg.Accounts, bounds: bounds, callersPerAccount: (cfg.Clients + cfg.Accounts - 1) / cfg.Accounts,
		oracle: platformtest.NewAccountOracle(bounds), hot: make([]atomic.Int32, cfg.Accounts),
	}
}

// limit returns the limit of each account, in operations per second and operations.
func (a *accounts) limit() (rate, burst float64) {
	rate = rateToLoad * usualRate * float64(a.callersPerAccount)
	return rate, rate * burstSeconds
}

// tenants returns the accounts of the first configuration.
func (a *accounts) tenants() []platformtest.Tenant {
	if a == nil {
		return nil
	}
	var out []platformtest.Tenant
	rate, burst := a.limit()
	for account := range a.count {
		t := platformtest.Tenant{Name: accountName(account), RatePerS: rate, Burst: burst}
		for key := range keysPerAccount {
			t.ApiKeys = append(t.ApiKeys, keyName(account, key))
		}
		out = append(out, t)
	}
	return out
}

// oracleOrNil returns the oracle of the accounts, or nil if there are none.
func (a *accounts) oracleOrNil() *platformtest.AccountOracle {
	if a == nil {
		return nil
	}
	return a.oracle
}

// target returns the account and the key that a fault changes.
func (a *accounts) target(fault Fault) (account, key string) {
	n := fault.Target % a.count
	return accountName(n), keyName(n, 1+fault.Target/a.count%(keysPerAccount-1))
}

// key returns a random key of the account of a caller, which may be removed or moved now.
func (a *accounts) key(caller int, r *rand.Rand) string {
	if a == nil {
		return ""
	}
	return keyName(caller%a.count, r.IntN(keysPerAccount))
}

// maxPause returns the bound of a caller's random pause between two operations.
func (a *accounts) maxPause(caller int) time.Duration {
	switch {
	case a == nil:
		return maxClientPause
	case a.hot[caller%a.count].Load() > 0:
		return hotPause
	}
	return usualPause
}

// disturb makes refusals because of a quota count as allowed during a fault.
func (a *accounts) disturb(fault Fault) {
	if a != nil {
		a.oracle.Disturb(time.Now().Add(fault.Duration + settleTime))
	}
}
