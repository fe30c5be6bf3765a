package account

import (
	"cmp"
	"math"
	"slices"
)

// OtherAccounts is the label of the accounts that have none of their own.
const OtherAccounts = "other"

const (
	// maxCounted bounds the accounts that are counted one by one; operations of further ones count as OtherAccounts.
	maxCounted = 4096
	// leastRecent is the recent number of operations below which an account counts as having none: half an operation.
	leastRecent = 0.5
)

// UsageConfig configures a Usage.
type UsageConfig struct {
	// Labels is the number of accounts that have a label of their own at a time.
	Labels int
	// MaxLabels is the number of accounts that ever get one; a metric keeps the series of each label.
	MaxLabels int
	// HalfLife is the number of reports after which an operation counts half in the order of the accounts.
	HalfLife float64
}

// Usage counts the operations of accounts that their quotas admitted and refused; it is not safe for concurrent use.
type Usage struct {
	cfg    UsageConfig
	decay  float64
	counts map[string]*usageCount
	// labeled are the accounts that have ever had a label.
	labeled map[string]bool
}

// usageCount counts the operations of an account since the last report, and those before it with decreasing weight.
type usageCount struct {
	admitted, refused             int64
	recentAdmitted, recentRefused float64
}

// UsageReport is the number of operations of an account since the report before.
type UsageReport struct {
	Account string
	// Label is the name of the account, or OtherAccounts.
	Label    string
	Admitted int64
	Refused  int64
}

// NewUsage returns a usage without operations.
func NewUsage(cfg UsageConfig) *Usage {
	return &Usage{cfg: cfg, decay: math.Pow(0.5, 1/cfg.HalfLife), counts: map[string]*usageCount{}, labeled: map[string]bool{}}
}

// Admit counts an operation that was admitted; it allocates nothing except for the first operation of an account.
func (u *Usage) Admit(account string) { u.count(account).admitted++ }

// Refuse counts an operation that was refused.
func (u *Usage) Refuse(account string) { u.count(account).refused++ }

func (u *Usage) count(account string) *usageCount {
	c := u.counts[account]
	if c != nil {
		return c
	}
	if len(u.counts) >= maxCounted {
		account = OtherAccounts
	}
	if c = u.counts[account]; c == nil {
		c = &usageCount{}
		u.counts[account] = c
	}
	return c
}

// Report returns the accounts with operations since the last call, those with the most refusals in recent reports first, then
// those with the most admitted operations.
func (u *Usage) Report() []UsageReport {
	names := u.rank()
	var reports []UsageReport
	for rank, name := range names {
		c := u.counts[name]
		if c.admitted == 0 && c.refused == 0 {
			continue
		}
		reports = append(reports, UsageReport{Account: name, Label: u.label(name, rank), Admitted: c.admitted, Refused: c.refused})
		c.admitted, c.refused = 0, 0
	}
	return reports
}

// rank adds the operations since the last report to the recent ones, forgets the accounts without any, and returns the others
// in order.
func (u *Usage) rank() []string {
	var names []string
	for name, c := range u.counts {
		c.recentAdmitted = u.add(c.recentAdmitted, c.admitted)
		c.recentRefused = u.add(c.recentRefused, c.refused)
		if c.recentAdmitted == 0 && c.recentRefused == 0 {
			delete(u.counts, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := u.counts[a], u.counts[b]
		return cmp.Or(
			cmp.Compare(y.recentRefused, x.recentRefused), cmp.Compare(y.recentAdmitted, x.recentAdmitted), cmp.Compare(a, b),
		)
	})
	return names
}

func (u *Usage) add(recent float64, operations int64) float64 {
	recent = recent*u.decay + float64(operations)
	if recent < leastRecent {
		return 0
	}
	return recent
}

func (u *Usage) label(account string, rank int) string {
	if rank >= u.cfg.Labels {
		return OtherAccounts
	}
	if !u.labeled[account] && len(u.labeled) >= u.cfg.MaxLabels {
		return OtherAccounts
	}
	u.labeled[account] = true
	return account
}
