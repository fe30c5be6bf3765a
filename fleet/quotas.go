package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/quota"
)

const (
	// quotaTick is the interval at which shares and shortages are updated.
	quotaTick = 200 * time.Millisecond
	// startTick is the interval at which shares are updated while an instance starts: callers wait until it knows them.
	startTick = 50 * time.Millisecond
	// maxShareAgeRatio is the fraction of the bound on the age of the proof of the keys from which this instance refills
	// nothing: an instance that is cut off may believe that it holds the shares of others, which they refill too. Others
	// detect its absence and take over its shares only after a part of that time.
	maxShareAgeRatio = 0.75
	// admissionPause is the wait of an operation without a token before it tries again: a call to another instance.
	admissionPause = 5 * time.Millisecond
	// maxAdmissionWaiters is the most operations of an account that wait for a token here; the others are refused at once.
	maxAdmissionWaiters = 4
	// maxAdmissionWaitersAtStart is that number while the instance starts. The operations of the time without service arrive at
	// once then; the refill serves them within a second, while a refusal would use up their clients' retries.
	maxAdmissionWaitersAtStart = 64
)

// quotas admits the operations of client accounts within their quotas; it is safe for concurrent use.
type quotas[L Link[L]] struct {
	instance *Instance[L]
	// shortage receives a value when an operation finds no token.
	shortage chan struct{}
	mu       sync.Mutex
	ledger   *quota.Ledger
	lenders  *lenders
	// short are the accounts of which an operation has found no token since the last plan.
	short map[string]bool
	// revision is the version of the configuration whose limits the ledger holds.
	revision uint64
	// sharesOf describes the state from which the shares in the ledger were computed.
	sharesOf shareState
	// waiting is the number of operations of each account that wait for a token.
	waiting map[string]int
	usage   *quotaUsage
}

func newQuotas[L Link[L]](i *Instance[L]) *quotas[L] {
	return &quotas[L]{
		instance: i, shortage: make(chan struct{}, 1), ledger: quota.NewLedger(i.cfg.QuotaTolerance), lenders: newLenders(),
		waiting: map[string]int{}, short: map[string]bool{}, usage: newQuotaUsage(i.cfg.Scope, i.cfg.Logger),
	}
}

// Name returns the service's name.
func (q *quotas[L]) Name() string { return "quotas" }

// Run updates the shares and borrows tokens until ctx ends.
func (q *quotas[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	start := time.NewTicker(startTick)
	defer start.Stop()
	started := time.AfterFunc(maxJoinWait, start.Stop)
	defer started.Stop()
	reports := time.NewTicker(usageInterval)
	defer reports.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		var plan map[string]map[string]float64
		select {
		case <-ticker.C:
			q.update(clock.Now())
			plan = q.planLoans(clock.Now())
		case <-start.C:
			q.update(clock.Now())
		case <-q.shortage:
			plan = q.planShort(clock.Now())
		case <-reports.C:
			q.report()
		case <-ctx.Done():
			return nil
		}
		for lender, amounts := range plan {
			calls.Add(1)
			go func() {
				defer calls.Done()
				q.borrow(ctx, lender, amounts)
			}()
		}
	}
}

// update applies a new configuration, and the shares that follow from the fleet.
func (q *quotas[L]) update(now time.Time) {
	i := q.instance
	if !i.directory.HasAccounts() {
		return
	}
	q.applyLimits(now)
	state := q.shareState(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if state == q.sharesOf {
		return
	}
	q.sharesOf = state
	q.ledger.SetShares(now, q.share(state.fresh))
	if state.restarted {
		q.ledger.ForgetHolders(now)
	}
}

// share returns the shares that this instance refills, by account.
func (q *quotas[L]) share(fresh bool) func(account string) float64 {
	if !fresh {
		return func(string) float64 { return 0 }
	}
	return q.instance.accountShare
}

// applyLimits takes over the limits of a new version of the configuration.
func (q *quotas[L]) applyLimits(now time.Time) {
	registry, version := q.instance.directory.AccountsOf()
	q.mu.Lock()
	defer q.mu.Unlock()
	if registry == nil || version <= q.revision {
		return
	}
	q.revision = version
	names := registry.Names()
	limits := make(map[string]quota.Limits, len(names))
	for _, name := range names {
		l, _ := registry.Limits(name)
		limits[name] = quota.Limits{Rate: l.Rate, Burst: l.Burst}
	}
	q.ledger.Apply(now, limits)
	q.ledger.SetShares(now, q.share(q.sharesOf.fresh))
	q.lenders.Retain(names)
}

// Admit takes a token for an operation of an account, and may wait for it until the given times.
//
// It fails with KindOverloaded; nothing ran.
func (q *quotas[L]) Admit(ctx context.Context, account string, wait engine.AdmissionWait) error {
	if account == "" {
		return nil
	}
	until := wait.Until
	starting := q.instance.Starting()
	if starting {
		until = wait.UntilAtStart
	}
	now := clock.Now()
	q.applyLimits(now)
	due, ok := q.take(now, account, q.ledger.Take)
	if ok {
		return nil
	}
	limit := maxAdmissionWaiters
	if starting {
		limit = maxAdmissionWaitersAtStart
	}
	if !q.mayWait(account, limit) {
		return q.refuse(account, due)
	}
	defer q.endWait(account)
	for clock.Now().Add(admissionPause).Before(until) {
		if engine.Sleep(ctx, admissionPause) != nil {
			return engine.ErrDraining()
		}
		if due, ok = q.take(clock.Now(), account, q.ledger.Retry); ok {
			return nil
		}
	}
	return q.refuse(account, due)
}

// refuse counts the refusal of an operation and returns its error.
func (q *quotas[L]) refuse(account string, wait time.Duration) error {
	q.mu.Lock()
	q.usage.accounts.Refuse(account)
	q.mu.Unlock()
	return quotaError(account, wait)
}

// take takes a token by a method of the ledger; if there is none, it starts to borrow.
func (q *quotas[L]) take(now time.Time, account string, method func(time.Time, string) (time.Duration, bool)) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait, ok = method(now, account)
	if ok {
		q.usage.accounts.Admit(account)
	} else {
		q.short[account] = true
		select {
		case q.shortage <- struct{}{}:
		default:
		}
	}
	return wait, ok
}

// mayWait reports whether another operation of an account may wait beside fewer than limit others, and counts it.
func (q *quotas[L]) mayWait(account string, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[account] >= limit {
		return false
	}
	q.waiting[account]++
	return true
}

func (q *quotas[L]) endWait(account string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[account]--; q.waiting[account] == 0 {
		delete(q.waiting, account)
	}
}

// quotaError returns the error of an operation beyond the quota.
func quotaError(account string, wait time.Duration) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: "the quota of client account " + account + " is used up; the request did not run",
		Remedy:  fmt.Sprintf("try again in %v, or raise the account's rate", wait.Round(time.Millisecond)),
	})
}

// Return gives back the token of an operation that was sent to no endpoint.
func (q *quotas[L]) Return(account string) {
	if account == "" {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Return(clock.Now(), account)
}

// Lend gives up tokens for another instance.
func (q *quotas[L]) Lend(amounts map[string]float64) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	lent := q.ledger.Lend(clock.Now(), amounts)
	q.usage.lent.add(lent)
	return lent
}

// planLoans returns the amounts to borrow now from each instance, by account.
func (q *quotas[L]) planLoans(now time.Time) map[string]map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.short)
	return q.plan(now, q.ledger.Shortages(now))
}

// planShort is like planLoans for the accounts of which an operation has found no token since the last plan.
//
// Every try of a waiting operation of an account above its limit calls for it, which is too often to compute the shortages
// of all accounts.
func (q *quotas[L]) planShort(now time.Time) map[string]map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	shortages := map[string]float64{}
	for account := range q.short {
		if tokens := q.ledger.Shortage(now, account); tokens > 0 {
			shortages[account] = tokens
		}
	}
	clear(q.short)
	return q.plan(now, shortages)
}

// plan chooses the lenders for shortages.
func (q *quotas[L]) plan(now time.Time, shortages map[string]float64) map[string]map[string]float64 {
	if len(shortages) == 0 {
		return nil
	}
	return q.lenders.Plan(now, shortages, q.instance.shareHolders)
}

// borrow asks one instance for tokens; an answer that arrives too late is dropped, since the lender has refilled them.
func (q *quotas[L]) borrow(ctx context.Context, lender string, amounts map[string]float64) {
	sentAt := clock.Now()
	var lent map[string]float64
	if identity, ok := q.instance.findInstance(lender); ok {
		answer, err := q.instance.node.BorrowTokens(ctx, identity, amounts)
		if err == nil && clock.Since(sentAt) <= quota.LoanTimeout {
			lent = answer
		} else {
			q.usage.failedCalls.Inc(1)
		}
	}
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lenders.Answered(now, lender, amounts, lent)
	q.ledger.Receive(now, lent)
	q.usage.borrowed.add(lent)
}

// findInstance returns the identity of another live instance.
func (i *Instance[L]) findInstance(name string) (identity membership.Identity, ok bool) {
	for _, other := range i.node.Others() {
		if other.Name() == name {
			return other, true
		}
	}
	return identity, false
}

// shareHolders returns the names of the other instances that refill a share of an account's quota, sorted by group.
func (i *Instance[L]) shareHolders(account string) []string {
	var holders []string
	seen := map[string]bool{i.cfg.Name: true}
	for _, group := range i.directory.GroupNames() {
		home, ok := membership.First(accountKey(group, account), i.homes(group))
		if !ok || seen[home.Name()] {
			continue
		}
		seen[home.Name()] = true
		holders = append(holders, home.Name())
	}
	return holders
}

// Admit admits an operation of a client account within its quota; it fails with KindOverloaded.
func (i *Instance[L]) Admit(ctx context.Context, account string, wait engine.AdmissionWait) error {
	return i.quotas.Admit(ctx, account, wait)
}

// Return gives back the admission of an operation that was sent to no endpoint.
func (i *Instance[L]) Return(account string) { i.quotas.Return(account) }
