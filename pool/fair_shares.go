package pool

import "time"

// FairShares orders accounts by the service that they have recently received, by start-time fair queueing.
//
// Virtual time is the start tag of the service that began last. An account's finish
// tag advances by the time of each of its services; all accounts have the same
// weight. The start tag of its next service is the later of its finish tag and the
// virtual time, so that an account saves up no credit while it is idle. Tags are
// durations of service. It is not safe for concurrent use.
type FairShares struct {
	virtual time.Duration
	finish  map[string]time.Duration
}

// NewFairShares returns the shares of accounts that have received no service.
func NewFairShares() *FairShares { return &FairShares{finish: map[string]time.Duration{}} }

// maxFairAccounts bounds the number of accounts whose finish tags are kept; deployments have about 100 accounts.
const maxFairAccounts = 4096

// StartTag returns the start tag of the account's next service; the account with the lowest tag is served first.
func (f *FairShares) StartTag(account string) time.Duration {
	return max(f.virtual, f.finish[account])
}

// Excess returns how much more service than its share the account has recently received, at least 0.
func (f *FairShares) Excess(account string) time.Duration { return f.StartTag(account) - f.virtual }

// Start charges the account for a service that begins, with its expected time or 0 if that is not known.
func (f *FairShares) Start(account string, expected time.Duration) {
	tag := f.StartTag(account)
	if _, known := f.finish[account]; !known && len(f.finish) >= maxFairAccounts {
		f.forget()
	}
	f.finish[account] = tag + expected
}

// Finish replaces the expected time of a service by the measured one, which is 0 if the service did not take place.
func (f *FairShares) Finish(account string, expected, measured time.Duration) {
	if _, known := f.finish[account]; !known {
		f.Start(account, max(0, measured-expected))
		return
	}
	f.finish[account] += measured - expected
}

// Advance moves virtual time forward to the start tag of a service that begins; earlier tags have no effect.
func (f *FairShares) Advance(tag time.Duration) { f.virtual = max(f.virtual, tag) }

// Accounts returns the number of accounts whose finish tags are kept.
func (f *FairShares) Accounts() int { return len(f.finish) }

// forget removes the accounts that have no excess, or else the one with the least: its loss of excess is the smallest.
func (f *FairShares) forget() {
	least, found := "", false
	for account, tag := range f.finish {
		if tag <= f.virtual {
			delete(f.finish, account)
			continue
		}
		if !found || tag < f.finish[least] {
			least, found = account, true
		}
	}
	if len(f.finish) >= maxFairAccounts {
		delete(f.finish, least)
	}
}
