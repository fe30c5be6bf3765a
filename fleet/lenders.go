package fleet

import (
	"slices"
	"time"
)

const (
	// lenderBackoff is how long an instance that had no tokens of an account to lend is not asked for them again.
	lenderBackoff = 100 * time.Millisecond
	// maxAccountBackoff bounds the pause in which an account is not asked for after an answer without tokens. The pause starts
	// with half of lenderBackoff and doubles until an instance lends some: an account above its limit is short everywhere.
	maxAccountBackoff = 1600 * time.Millisecond
	// maxLoanCalls is the most calls in progress: while many accounts are short, as after the loss of a third of the
	// instances, calls to all others would take the processor from the operations.
	maxLoanCalls = 4
	// maxLenderBackoffs bounds the backoffs that are kept; they are cleared at this number.
	maxLenderBackoffs = 4096
)

// lenders chooses the instances from which to borrow quota tokens; it is not safe for concurrent use.
//
// The instances with a share of an account are asked in turn, so that a burst on one of
// them reaches the tokens of all. An instance with a call in progress, or that had
// nothing to lend a moment ago, is passed over.
type lenders struct {
	inFlight map[string]bool
	emptyAt  map[loanSource]time.Time
	next     map[string]int
	pauses   map[string]accountPause
}

// accountPause is the time until which an account is not asked for, and the length of that pause.
type accountPause struct {
	until  time.Time
	length time.Duration
}

// loanSource is an instance that may lend tokens of an account.
type loanSource struct {
	instance string
	account  string
}

func newLenders() *lenders {
	return &lenders{inFlight: map[string]bool{}, emptyAt: map[loanSource]time.Time{}, next: map[string]int{}, pauses: map[string]accountPause{}}
}

// Plan returns the amounts to ask of each instance, by account, and marks these instances as having a call in progress.
//
// shortages are the tokens that this instance lacks, and holders returns the names of the instances with a share of an
// account.
func (l *lenders) Plan(now time.Time, shortages map[string]float64, holders func(account string) []string) map[string]map[string]float64 {
	plan := map[string]map[string]float64{}
	for account, tokens := range shortages {
		if now.Before(l.pauses[account].until) {
			continue
		}
		lender, ok := l.choose(now, account, holders(account))
		if !ok {
			continue
		}
		if plan[lender] == nil && len(l.inFlight)+len(plan) >= maxLoanCalls {
			continue
		}
		if plan[lender] == nil {
			plan[lender] = map[string]float64{}
		}
		plan[lender][account] = tokens
	}
	for lender := range plan {
		l.inFlight[lender] = true
	}
	return plan
}

// choose returns the next holder in turn that may have tokens of an account.
func (l *lenders) choose(now time.Time, account string, holders []string) (lender string, ok bool) {
	for range holders {
		turn := l.next[account]
		l.next[account] = (turn + 1) % len(holders)
		candidate := holders[turn%len(holders)]
		emptyAt, empty := l.emptyAt[loanSource{instance: candidate, account: account}]
		if !l.inFlight[candidate] && !(empty && now.Sub(emptyAt) < lenderBackoff) {
			return candidate, true
		}
	}
	return "", false
}

// Answered records the end of a call: asked are the amounts that it asked for, and lent those that it returned, nil after a
// failed call.
func (l *lenders) Answered(now time.Time, lender string, asked, lent map[string]float64) {
	delete(l.inFlight, lender)
	if len(l.emptyAt) >= maxLenderBackoffs {
		clear(l.emptyAt)
	}
	for account := range asked {
		if lent[account] > 0 {
			delete(l.pauses, account)
			continue
		}
		l.emptyAt[loanSource{instance: lender, account: account}] = now
		length := min(max(lenderBackoff/2, 2*l.pauses[account].length), maxAccountBackoff)
		l.pauses[account] = accountPause{until: now.Add(length), length: length}
	}
}

// Retain forgets the accounts that are not in the configuration any more.
func (l *lenders) Retain(accounts []string) {
	for account := range l.next {
		if _, kept := slices.BinarySearch(accounts, account); !kept {
			delete(l.next, account)
		}
	}
	for account := range l.pauses {
		if _, kept := slices.BinarySearch(accounts, account); !kept {
			delete(l.pauses, account)
		}
	}
}
