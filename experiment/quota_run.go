package experiment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoontiller/monsoontiller/quota"
)

// The timing of the model.
const (
	quotaTick = 5 * time.Millisecond
	// quotaRound is the time between two rounds of borrowing, quotaRoundTrip that of a call, and quotaAskAgain the time in which
	// a lender without tokens is not asked again.
	quotaRound     = 50 * time.Millisecond
	quotaRoundTrip = 10 * time.Millisecond
	quotaAskAgain  = 100 * time.Millisecond
	// quotaAttempts is how often an operation is tried while its instance borrows.
	quotaAttempts = 3
	// A change of the fleet enters an instance's view after minViewDelay to maxViewDelay.
	minViewDelay = 1500 * time.Millisecond
	maxViewDelay = 2500 * time.Millisecond
	// quotaFreshness is the age of the proof of freshness beyond which an instance does not refill.
	quotaFreshness = 2 * time.Second
	// quotaDownTime is how long an instance is down for a restart, and quotaRestartGap the time between two restarts.
	quotaDownTime   = 3 * time.Second
	quotaRestartGap = 700 * time.Millisecond
)

// quotaInstance is an instance with its buckets.
type quotaInstance struct {
	ledger *quota.Ledger
	up     bool
	// side is 1 while the instance is cut off from the store and the others.
	side int
	// view is what the instance knows; delay is its delay in learning of a change.
	view  *quotaView
	delay time.Duration
	// stale is set once the proof of freshness is too old.
	stale bool
	// askAfter holds when a lender may be asked again, and lender the last one asked for an account.
	askAfter map[quotaLender]time.Duration
	lender   map[string]int
}

// quotaLender is an instance as the lender of an account.
type quotaLender struct {
	instance int
	account  string
}

// quotaRun is a fleet in virtual time.
type quotaRun struct {
	cfg       QuotaConfig
	accounts  []*quotaAccount
	limits    map[string]quota.Limits
	instances []*quotaInstance
	random    *rand.Rand
	now       time.Duration
	// later holds what happens at a tick.
	later map[time.Duration][]func()
	// views are the latest views of the two sides: connected to the store, and cut off.
	views [2]*quotaView
	tally quotaTally
}

// RunQuota runs a fleet of real quota ledgers in virtual time.
func RunQuota(cfg QuotaConfig) QuotaResult {
	r := &quotaRun{
		cfg: cfg, accounts: quotaAccounts(), limits: map[string]quota.Limits{},
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Instances))), later: map[time.Duration][]func(){},
		tally: quotaTally{large: map[time.Duration]int{}, refused: map[time.Duration]int{}},
	}
	for _, a := range r.accounts {
		r.limits[a.name] = a.limits
	}
	for range cfg.Instances {
		delay := minViewDelay + time.Duration(r.random.Int64N(int64(maxViewDelay-minViewDelay)))
		r.instances = append(r.instances, &quotaInstance{up: true, delay: delay.Truncate(quotaTick)})
	}
	r.fleetChanged()
	for k := range r.instances {
		r.start(k)
	}
	r.schedule()
	for ; r.now < cfg.Duration; r.now += quotaTick {
		for _, run := range r.later[r.now] {
			run()
		}
		delete(r.later, r.now)
		r.arrivals()
		if r.now%quotaRound == 0 {
			for k := range r.instances {
				r.borrow(k)
			}
		}
	}
	return r.tally.result(cfg)
}

// time returns the virtual time as the ledgers know it.
func (r *quotaRun) time() time.Time { return time.Unix(1_700_000_000, 0).Add(r.now) }

// at lets run happen after d.
func (r *quotaRun) at(d time.Duration, run func()) {
	r.later[r.now+d] = append(r.later[r.now+d], run)
}

// schedule plans the faults of the scenario.
func (r *quotaRun) schedule() {
	cut := int(r.cfg.Cut * float64(len(r.instances)))
	r.at(quotaFaultAt, func() { r.setSide(cut, 1) })
	r.at(quotaFaultAt+quotaFaultTime, func() { r.setSide(cut, 0) })
	for k := range r.cfg.Restarts {
		at := quotaFaultAt + time.Duration(k)*quotaRestartGap
		victim := (k * 7) % len(r.instances)
		r.at(at, func() { r.instances[victim].up = false; r.fleetChanged() })
		r.at(at+quotaDownTime, func() { r.instances[victim].up = true; r.fleetChanged(); r.start(victim) })
	}
}

// setSide moves the first count instances to a side.
func (r *quotaRun) setSide(count, side int) {
	for k, i := range r.instances[:count] {
		i.side = side
		i.stale = false
		r.at(quotaFreshness, func() { i.stale = i.side == 1; r.setShares(k) })
	}
	if count > 0 {
		r.fleetChanged()
	}
}

// start gives an instance an empty ledger.
func (r *quotaRun) start(k int) {
	i := r.instances[k]
	i.ledger, i.askAfter, i.lender = quota.NewLedger(quotaTolerance), map[quotaLender]time.Duration{}, map[string]int{}
	i.ledger.Apply(r.time(), r.limits)
	i.view = r.views[i.side]
	r.setShares(k)
}

// fleetChanged forms the views of both sides, which the instances learn after their delays.
func (r *quotaRun) fleetChanged() {
	var alive [2][]int
	for k, i := range r.instances {
		if i.up {
			alive[i.side] = append(alive[i.side], k)
		}
	}
	for side := range alive {
		r.views[side] = newQuotaView(r.now, alive[side], r.accounts)
	}
	for k, i := range r.instances {
		view := r.views[i.side]
		r.at(i.delay, func() {
			if i.up && i.view.since < view.since {
				i.view = view
				r.setShares(k)
			}
		})
	}
}

// setShares gives an instance the shares that follow from its view, or none if it is stale.
func (r *quotaRun) setShares(k int) {
	i := r.instances[k]
	i.ledger.SetShares(r.time(), func(account string) float64 {
		if i.stale {
			return 0
		}
		return i.view.share(account, k)
	})
}

// arrivals lets the operations of a tick arrive.
func (r *quotaRun) arrivals() {
	faulty := r.now >= quotaFaultAt && r.now < quotaFaultAt+quotaFaultTime
	for k, account := range r.accounts {
		rate := account.limits.Rate * quotaUsual
		if faulty && k == 0 && r.cfg.Hot > 0 {
			rate *= r.cfg.Hot
		}
		mean := rate * quotaTick.Seconds()
		for at := r.random.ExpFloat64(); at < mean; at += r.random.ExpFloat64() {
			group := r.random.IntN(quotaGroups)
			if r.cfg.Move && r.now >= quotaFaultAt && account.large() {
				group = 0
			}
			r.arrive(account, group)
		}
	}
}

// arrive sends an operation from a random instance to the home in its view.
func (r *quotaRun) arrive(a *quotaAccount, group int) {
	entry := r.instances[r.random.IntN(len(r.instances))]
	if !entry.up {
		return
	}
	home := entry.view.homes[a.name][group]
	if !r.reaches(entry, home) {
		r.tally.total.Unreachable++
		return
	}
	r.attempt(a, home, quotaAttempts)
}

func (r *quotaRun) reaches(from *quotaInstance, to int) bool {
	return r.instances[to].up && r.instances[to].side == from.side
}

// attempt takes a token, or borrows and tries again while attempts are left.
func (r *quotaRun) attempt(a *quotaAccount, home, left int) {
	i := r.instances[home]
	if !i.up {
		r.tally.total.Unreachable++
		return
	}
	if _, ok := i.ledger.Take(r.time(), a.name); ok {
		r.tally.admit(a, r.now)
		return
	}
	if left == 1 {
		r.tally.refuse(a, r.now)
		return
	}
	r.borrow(home)
	r.at(quotaRoundTrip+quotaTick, func() { r.attempt(a, home, left-1) })
}

// borrow asks one lender for each account that is short; one call to a lender covers several accounts.
func (r *quotaRun) borrow(k int) {
	i := r.instances[k]
	if !i.up {
		return
	}
	calls := map[int]map[string]float64{}
	short := i.ledger.Shortages(r.time())
	for _, account := range slices.Sorted(maps.Keys(short)) {
		holders := i.view.holders[account]
		for range holders {
			i.lender[account]++
			lender := holders[i.lender[account]%len(holders)]
			if lender == k || r.now < i.askAfter[quotaLender{lender, account}] {
				continue
			}
			if calls[lender] == nil {
				calls[lender] = map[string]float64{}
			}
			calls[lender][account] = short[account]
			break
		}
	}
	for _, lender := range slices.Sorted(maps.Keys(calls)) {
		r.call(k, lender, calls[lender])
	}
}

// call borrows tokens from a lender; the request or the answer may be lost.
func (r *quotaRun) call(k, lender int, want map[string]float64) {
	i := r.instances[k]
	lost := r.random.Float64()
	var lent map[string]float64
	if r.reaches(i, lender) && lost >= r.cfg.Lost/2 {
		lent = r.instances[lender].ledger.Lend(r.time(), want)
	}
	for account := range want {
		again := quotaAskAgain
		if lent[account] > 0 {
			again = quotaRoundTrip
		}
		i.askAfter[quotaLender{lender, account}] = r.now + again
	}
	if ledger := i.ledger; lost >= r.cfg.Lost {
		r.at(quotaRoundTrip, func() { ledger.Receive(r.time(), lent) })
	}
}
