package fleet

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/quota"
)

const (
	// usageInterval is the interval at which the counters of the quotas are updated and refusals are logged: the lines are at
	// most one for each account and second.
	usageInterval = time.Second
	// labeledAccounts is the number of accounts with counters of their own at a time, and maxLabeledAccounts that of the
	// accounts that ever get them, which bounds the series of the metrics.
	labeledAccounts    = 10
	maxLabeledAccounts = 40
	// usageHalfLife is the number of intervals after which an operation counts half in the order of the accounts.
	usageHalfLife = 60
	// maxExhaustedLines limits the lines about exhausted quotas in a second; omitted lines are counted.
	maxExhaustedLines = 10
)

// quotaUsage holds the metrics of the quotas; accounts, borrowed and lent are guarded by the mutex of the quotas.
type quotaUsage struct {
	logger      log.Logger
	scope       tally.Scope
	accounts    *account.Usage
	admitted    tally.Counter
	refused     tally.Counter
	failedCalls tally.Counter
	borrowed    tokenCounter
	lent        tokenCounter
}

func newQuotaUsage(scope tally.Scope, logger log.Logger) *quotaUsage {
	return &quotaUsage{
		logger:      logger,
		scope:       scope,
		accounts:    account.NewUsage(account.UsageConfig{Labels: labeledAccounts, MaxLabels: maxLabeledAccounts, HalfLife: usageHalfLife}),
		admitted:    scope.Counter("quota_admitted_total"),
		refused:     scope.Counter("quota_refused_total"),
		failedCalls: scope.Counter("quota_calls_failed_total"),
		borrowed:    tokenCounter{counter: scope.Counter("quota_tokens_borrowed_total")},
		lent:        tokenCounter{counter: scope.Counter("quota_tokens_lent_total")},
	}
}

// tokenCounter counts whole tokens, and keeps the fraction that remains; it is not safe for concurrent use.
type tokenCounter struct {
	counter  tally.Counter
	fraction float64
}

// add counts amounts by account.
func (c *tokenCounter) add(amounts map[string]float64) {
	for _, tokens := range amounts {
		c.fraction += tokens
	}
	whole := int64(c.fraction)
	c.fraction -= float64(whole)
	c.counter.Inc(whole)
}

// count updates the counters with a report.
func (u *quotaUsage) count(reports []account.UsageReport) {
	for _, r := range reports {
		u.admitted.Inc(r.Admitted)
		u.refused.Inc(r.Refused)
		scope := u.scope.Tagged(map[string]string{"account": r.Label})
		scope.Counter("account_admitted_total").Inc(r.Admitted)
		scope.Counter("account_refused_total").Inc(r.Refused)
	}
}

// exhausted is a quota that refused operations since the last report.
type exhausted struct {
	account string
	limits  quota.Limits
	// share is this instance's share of the limits.
	share   float64
	refused int64
}

// log logs the quotas that refused operations, the ones with the most recent refusals first.
func (u *quotaUsage) log(quotas []exhausted) {
	omitted := max(0, len(quotas)-maxExhaustedLines)
	for _, e := range quotas[:len(quotas)-omitted] {
		logLine(u.logger, "level", "info", "msg", "quota_exhausted", "account", e.account, "rate", e.limits.Rate, "burst", e.limits.Burst,
			"share", e.share, "refused", e.refused, "lines_left_out", omitted)
	}
}

// report updates the counters, and logs the quotas that refused operations since the last report.
func (q *quotas[L]) report() {
	registry, _ := q.instance.directory.AccountsOf()
	q.mu.Lock()
	reports := q.usage.accounts.Report()
	var refusing []exhausted
	for _, r := range reports {
		if r.Refused == 0 {
			continue
		}
		e := exhausted{account: r.Account, share: q.ledger.Share(r.Account), refused: r.Refused}
		if registry != nil {
			l, _ := registry.Limits(r.Account)
			e.limits = quota.Limits{Rate: l.Rate, Burst: l.Burst}
		}
		refusing = append(refusing, e)
	}
	q.mu.Unlock()
	q.usage.count(reports)
	q.usage.log(refusing)
}
