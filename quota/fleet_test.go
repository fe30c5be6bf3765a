package quota_test

import (
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/quota"
)

// tolerance is the platform's default.
var tolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// maxRefused is the requirement on refusals below the limit in the steady state.
const maxRefused = 0.001

// The borrowing rule: every bucket in need asks each round, and when it has refused an operation; the operation is tried
// again, up to attempts times, once the answers have arrived. A lender without tokens is not asked again for askAgain.
const (
	roundInterval = 50 * time.Millisecond
	roundTrip     = 10 * time.Millisecond
	askAgain      = 100 * time.Millisecond
	attempts      = 3
	tick          = 5 * time.Millisecond
)

// fataler is the part of a test that the fleet needs.
type fataler interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// fleet is a set of buckets of one account with equal shares, in virtual time.
type fleet struct {
	t        fataler
	limits   quota.Limits
	now      time.Time
	buckets  []*quota.Bucket
	random   *rand.Rand
	admitted []time.Time
	// at are the buckets that admitted the operations.
	at      []int
	refused int
	// below counts the refusals below the limit.
	below int
	// silent holds when a bucket may ask another one again.
	silent map[[2]int]time.Time
	// last holds the lender that each bucket has asked last.
	last map[int]int
	// waiting are the buckets and times of the operations that are tried again.
	waiting []arrival
}

// arrival is an operation at a bucket, the attempts that it has left, and the time of the next one.
type arrival struct {
	bucket int
	left   int
	at     time.Time
}

func newFleet(t fataler, n int, l quota.Limits) *fleet {
	f := &fleet{
		t: t, limits: l, now: time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(1, uint64(n))), silent: map[[2]int]time.Time{}, last: map[int]int{},
	}
	for range n {
		f.buckets = append(f.buckets, f.fresh(1/float64(n)))
	}
	return f
}

func (f *fleet) fresh(share float64) *quota.Bucket {
	return quota.New(quota.Config{Limits: f.limits, Tolerance: tolerance, Share: share, Now: f.now})
}

func (f *fleet) take(k int) {
	if _, ok := f.buckets[k].Take(f.now); ok {
		f.admitted, f.at = append(f.admitted, f.now), append(f.at, k)
		return
	}
	f.refused++
}

// drain takes tokens from bucket k until it refuses.
func (f *fleet) drain(k int) {
	for refused := f.refused; f.refused == refused; {
		f.take(k)
	}
}

// drainWindow takes all tokens of all buckets during a window.
func (f *fleet) drainWindow() {
	for until := f.now.Add(tolerance.Window); f.now.Before(until); f.now = f.now.Add(tick) {
		for k := range f.buckets {
			f.drain(k)
		}
	}
}

// returnLast gives back the token of the last operation if it is younger than 100 ms.
func (f *fleet) returnLast() {
	last := len(f.admitted) - 1
	if last < 0 || f.now.Sub(f.admitted[last]) >= 100*time.Millisecond {
		return
	}
	f.buckets[f.at[last]].Return(f.now)
	f.admitted, f.at = f.admitted[:last], f.at[:last]
}

// run lets Poisson arrivals of rate per second arrive at buckets that pick chooses, and lets the buckets borrow.
func (f *fleet) run(d time.Duration, rate float64, pick func() int) {
	next := f.now
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(tick) {
		for len(f.waiting) > 0 && !f.waiting[0].at.After(f.now) {
			next := f.waiting[0]
			f.waiting = f.waiting[1:]
			f.attempt(next)
		}
		for !next.After(f.now) {
			f.attempt(arrival{bucket: pick(), left: attempts, at: f.now})
			next = next.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		}
		if f.now.UnixNano()%int64(roundInterval) == 0 {
			for k := range f.buckets {
				f.borrow(k)
			}
		}
	}
}

// refuse counts a refusal, and whether it was below the limit: whether the window until now had room for the operation.
func (f *fleet) refuse() {
	f.refused++
	count := 0
	for k := len(f.admitted) - 1; k >= 0 && f.now.Sub(f.admitted[k]) < tolerance.Window; k-- {
		count++
	}
	if float64(count+1) <= f.limits.Rate*tolerance.Window.Seconds()+f.limits.Burst {
		f.below++
	}
}

// attempt takes a token, or borrows and tries again after roundTrip while attempts are left.
func (f *fleet) attempt(a arrival) {
	if _, ok := f.buckets[a.bucket].Take(f.now); ok {
		f.admitted, f.at = append(f.admitted, f.now), append(f.at, a.bucket)
		return
	}
	a.left--
	if a.left == 0 {
		f.refuse()
		return
	}
	f.borrow(a.bucket)
	a.at = f.now.Add(roundTrip)
	f.waiting = append(f.waiting, a)
}

// borrow lets bucket k ask the others while it is in need, in a rotation: tokens of a full bucket that is never asked would
// be lost to the account.
func (f *fleet) borrow(k int) {
	b := f.buckets[k]
	for range len(f.buckets) {
		want := b.Shortage(f.now)
		if want == 0 {
			return
		}
		f.last[k] = (f.last[k] + 1) % len(f.buckets)
		lender := f.last[k]
		if lender == k || f.now.Before(f.silent[[2]int{k, lender}]) {
			continue
		}
		lent := f.buckets[lender].Lend(f.now, want)
		if lent == 0 {
			f.silent[[2]int{k, lender}] = f.now.Add(askAgain)
		}
		b.Receive(f.now, lent)
	}
}

// check requires that no window that begins at or after from holds more operations than the limits allow.
func (f *fleet) check(l quota.Limits, from time.Time) {
	f.t.Helper()
	bound, first := tolerance.Bound(l), 0
	for k, at := range f.admitted {
		for at.Sub(f.admitted[first]) >= tolerance.Window || f.admitted[first].Before(from) && first < k {
			first++
		}
		if count := k - first + 1; float64(count) > bound && !f.admitted[first].Before(from) {
			f.t.Fatalf("%d operations were admitted within %v, want at most %.1f", count, tolerance.Window, bound)
		}
	}
}

// checkRefused requires that at most maxRefused of the operations since the last reset were refused below the limit.
func (f *fleet) checkRefused() {
	f.t.Helper()
	total := f.refused + len(f.admitted)
	if float64(f.below) > maxRefused*float64(total) {
		f.t.Errorf("%d of %d operations were refused below the limit, want at most %.1f%%", f.below, total, 100*maxRefused)
	}
}

// reset forgets the operations so far.
func (f *fleet) reset() { f.admitted, f.at, f.refused, f.below = nil, nil, 0, 0 }

// anywhere picks a bucket at random.
func (f *fleet) anywhere() int { return f.random.IntN(len(f.buckets)) }
