package experiment

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/quota"
)

// QuotaConfig describes a fleet that limits accounts, their demand, and what happens to them from quotaFaultAt on.
type QuotaConfig struct {
	Name      string
	Instances int
	Seed      uint64
	// Duration is in virtual time.
	Duration time.Duration
	// Hot is the factor by which the demand of one large account exceeds its usual load for quotaFaultTime; 0 means none.
	Hot float64
	// Move sends the demand of the large accounts to one group.
	Move bool
	// Cut is the fraction of the instances that a partition separates from the store and the others for quotaFaultTime.
	Cut float64
	// Restarts is the number of instances that restart in turn.
	Restarts int
	// Lost is the probability that a call between instances is lost; in half of the cases the answer is.
	Lost float64
}

// quotaTolerance is the platform's default tolerance.
var quotaTolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// The load is that of the platform: groups, accounts with a usual load of a part of their rate, and some large ones.
const (
	quotaGroups  = 8
	quotaUsual   = 1 / 1.6
	quotaFaultAt = 20 * time.Second
	// quotaWarmUp is the time after the start from which refusals count.
	quotaWarmUp    = 10 * time.Second
	quotaFaultTime = 15 * time.Second
	// largeAccounts is the number of accounts with a rate of largeRate operations per second.
	largeAccounts = 4
	largeRate     = 250
)

// quotaAccount is an account, its limits, and the operations admitted in the last window.
type quotaAccount struct {
	name   string
	limits quota.Limits
	recent []time.Duration
}

// large reports whether the account is one of the few that cause most of the load.
func (a *quotaAccount) large() bool { return a.limits.Rate == largeRate }

// count returns the number of operations admitted in the window until now.
func (a *quotaAccount) count(now time.Duration) float64 {
	for len(a.recent) > 0 && now-a.recent[0] >= quotaTolerance.Window {
		a.recent = a.recent[1:]
	}
	return float64(len(a.recent))
}

// limit returns the limit of a window.
func (a *quotaAccount) limit() float64 {
	return a.limits.Rate*quotaTolerance.Window.Seconds() + a.limits.Burst
}

// quotaAccounts returns the accounts: about 1,050 operations per second of usual load.
func quotaAccounts() []*quotaAccount {
	var accounts []*quotaAccount
	add := func(count int, rate float64) {
		for range count {
			accounts = append(accounts, &quotaAccount{
				name: fmt.Sprintf("account-%d", len(accounts)), limits: quota.Limits{Rate: rate, Burst: rate},
			})
		}
	}
	add(largeAccounts, largeRate)
	add(8, 40)
	add(24, 10)
	add(20, 5)
	add(20, 2)
	return accounts
}

// QuotaScenarios returns the scenarios for a fleet of n instances.
func QuotaScenarios(n int, seed uint64) []QuotaConfig {
	scenarios := []QuotaConfig{
		{Name: "steady"},
		{Name: "hot account, 8 times", Hot: 8},
		{Name: "demand moves", Move: true},
		{Name: "partition of a third", Cut: 1.0 / 3},
		{Name: "restarts", Restarts: n/4 + 1},
		{Name: "5% of calls lost", Lost: 0.05},
		{Name: "all of these", Hot: 8, Move: true, Cut: 1.0 / 3, Restarts: n/4 + 1, Lost: 0.05},
	}
	for k := range scenarios {
		scenarios[k].Instances, scenarios[k].Seed, scenarios[k].Duration = n, seed, 45*time.Second
	}
	return scenarios
}
