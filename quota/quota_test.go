package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/quota"
)

// usualLoad is the fraction of the rate that an account uses outside of bursts.
const usualLoad = 1 / 1.6

// settle is the time after which a fresh fleet counts as steady.
const settle = 10 * time.Second

// loan is an answer of a lender that has not arrived yet.
type loan struct {
	to     int
	tokens float64
	until  time.Time
}

// receive lets answers arrive, unless they are too late.
func (f *fleet) receive(loans []loan) {
	for _, l := range loans {
		if !f.now.After(l.until) {
			f.buckets[l.to].Receive(f.now, l.tokens)
		}
	}
}

// Load: random takes, returns, loans, lost and late answers, restarts, moves of shares and changes of limits, with shares
// that add up to 1. No order of these may admit more than the bound in any window; tokens would be spent twice otherwise.
func TestWindowsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := func() quota.Limits {
			return quota.Limits{Rate: rapid.Float64Range(0.5, 60).Draw(t, "rate"), Burst: rapid.Float64Range(0, 60).Draw(t, "burst")}
		}
		f := newFleet(t, rapid.IntRange(1, 4).Draw(t, "buckets"), limits())
		f.now = f.now.Add(10 * time.Second)
		// Windows in which the limits change are bound by the greatest ones.
		greatest := f.limits
		changing := rapid.Bool().Draw(t, "changing")
		shares := make([]float64, len(f.buckets))
		for k := range shares {
			shares[k] = 1 / float64(len(shares))
		}
		bucket := rapid.IntRange(0, len(f.buckets)-1)
		var loans []loan
		// restarts is the sum of the shares that have restarted; the reserve covers 4 restarts of the fleet in a window.
		restarts := 0.0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
			},
			"take":   func(t *rapid.T) { f.drain(bucket.Draw(t, "at")) },
			"return": func(*rapid.T) { f.returnLast() },
			"lend": func(t *rapid.T) {
				tokens := f.buckets[bucket.Draw(t, "from")].Lend(f.now, rapid.Float64Range(0, 100).Draw(t, "want"))
				loans = append(loans, loan{to: bucket.Draw(t, "to"), tokens: tokens, until: f.now.Add(quota.LoanTimeout)})
			},
			"receive": func(*rapid.T) {
				f.receive(loans[:min(1, len(loans))])
				loans = loans[min(1, len(loans)):]
			},
			"lose": func(*rapid.T) { loans = loans[min(1, len(loans)):] },
			"restart": func(t *rapid.T) {
				k := bucket.Draw(t, "at")
				if restarts += shares[k]; restarts <= 4 {
					f.buckets[k] = f.fresh(shares[k])
				}
			},
			"restart all": func(t *rapid.T) {
				if restarts++; restarts > 4 {
					return
				}
				loans = nil
				for k := range f.buckets {
					f.buckets[k] = f.fresh(0)
				}
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "until the shares are known, ms")) * time.Millisecond)
				for k, b := range f.buckets {
					b.SetShare(f.now, shares[k])
					b.ForgetHolders(f.now)
				}
			},
			"move": func(t *rapid.T) {
				from, to := bucket.Draw(t, "from"), bucket.Draw(t, "to")
				part := shares[from] * rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "part")
				shares[from] -= part
				shares[to] += part
				f.buckets[from].SetShare(f.now, shares[from])
				f.buckets[to].SetShare(f.now, shares[to])
			},
			"limits": func(t *rapid.T) {
				if !changing {
					return
				}
				f.limits = limits()
				for _, b := range f.buckets {
					b.SetLimits(f.now, f.limits)
				}
				greatest.Rate, greatest.Burst = max(greatest.Rate, f.limits.Rate), max(greatest.Burst, f.limits.Burst)
			},
		})
		// The demand takes all that there is during a whole window.
		f.receive(loans)
		f.drainWindow()
		f.check(greatest, time.Time{})
	})
}

// Load: one account sends 8 times its usual load, to all buckets or to one. The limit must be admitted, and no more than the
// bound; a bucket alone has only its share.
func TestOneAccountAtEightTimesItsLoad(t *testing.T) {
	l := quota.Limits{Rate: 40, Burst: 20}
	for name, pick := range map[string]func(*fleet) func() int{
		"spread": func(f *fleet) func() int { return f.anywhere },
		"one":    func(*fleet) func() int { return func() int { return 0 } },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 8, l)
			f.run(settle, usualLoad*l.Rate, f.anywhere)
			f.reset()
			f.run(20*time.Second, 8*usualLoad*l.Rate, pick(f))
			f.check(l, time.Time{})
			if got, want := len(f.admitted), int(4*(l.Rate*tolerance.Window.Seconds()+l.Burst)); got < want {
				t.Errorf("%d operations were admitted in 20 s, want the limits of 4 windows, %d", got, want)
			}
		})
	}
}

// Load: the limit of an account at 5 times its limit is lowered to a quarter. One window later the old limit must not show.
func TestLoweredLimitHoldsAfterOneWindow(t *testing.T) {
	high, low := quota.Limits{Rate: 80, Burst: 80}, quota.Limits{Rate: 20, Burst: 20}
	f := newFleet(t, 8, high)
	f.run(settle, usualLoad*high.Rate, f.anywhere)
	for _, b := range f.buckets {
		b.SetLimits(f.now, low)
	}
	changedAt := f.now
	f.run(15*time.Second, 5*high.Rate, f.anywhere)
	f.check(high, time.Time{})
	f.check(low, changedAt)
}

// Load: accounts of 2 to 5 operations a second over 8 buckets, at their usual load, evenly or on two of the buckets. A
// bucket alone refills a token in seconds; without borrowing a few operations at one bucket would be refused.
func TestSmallAccountsAreHardlyRefused(t *testing.T) {
	for _, rate := range []float64{2, 3, 5} {
		for _, at := range []int{8, 2, 1} {
			t.Run(fmt.Sprintf("%v/s at %d", rate, at), func(t *testing.T) {
				l := quota.Limits{Rate: rate, Burst: rate}
				f := newFleet(t, 8, l)
				pick := func() int { return f.random.IntN(at) }
				f.run(settle, usualLoad*rate, pick)
				f.reset()
				f.run(time.Hour, usualLoad*rate, pick)
				f.checkRefused()
				f.check(l, time.Time{})
			})
		}
	}
}

// Load: the answers of a lender are lost. The tokens must be lost with them: none may be spent by both sides.
func TestLostAnswerCreatesNoTokens(t *testing.T) {
	l := quota.Limits{Rate: 10, Burst: 10}
	f := newFleet(t, 2, l)
	f.now = f.now.Add(time.Minute)
	lent := f.buckets[0].Lend(f.now, 1000)
	_, ok := f.buckets[0].Take(f.now)
	if lent == 0 || ok {
		t.Fatalf("after lending %v tokens, all that it had, the lender admitted an operation: %v, want false", lent, ok)
	}
	for range 100 {
		f.run(time.Second, 8*l.Rate, func() int { return 1 })
		f.buckets[0].Lend(f.now, 1000)
	}
	f.check(l, time.Time{})
}

// Load: an account of 200 operations a second. Its tokens are lent and received at the last moment, or its share moves
// meanwhile, or its operations return after the refill. Each would admit the refill of the time in between twice.
func TestTokensUnderWayAreNotRefilled(t *testing.T) {
	l := quota.Limits{Rate: 200, Burst: 200}
	cases := map[string]func(f *fleet){
		"late answer": func(f *fleet) {
			lent := f.buckets[0].Lend(f.now, 1000)
			f.now = f.now.Add(quota.LoanTimeout)
			f.buckets[1].Receive(f.now, lent)
		},
		"moved share": func(f *fleet) {
			lent := f.buckets[0].Lend(f.now, 1000)
			f.buckets[0].SetShare(f.now, 0)
			f.buckets[1].SetShare(f.now, 1)
			f.now = f.now.Add(quota.LoanTimeout)
			f.buckets[0].Receive(f.now, lent)
		},
		"late return": func(f *fleet) {
			for range 19 {
				f.take(0)
			}
			f.reset()
			f.now = f.now.Add(99 * time.Millisecond)
			f.drain(0)
			for range 19 {
				f.buckets[0].Return(f.now)
			}
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, l)
			f.buckets[0].SetShare(f.now, 1)
			f.buckets[1].SetShare(f.now, 0)
			f.now = f.now.Add(10 * time.Second)
			prepare(f)
			f.drainWindow()
			f.check(l, time.Time{})
		})
	}
}

// Load: two instances refill each share for 2 s, since their views of the fleet differ, with the demand at the usual rate.
func TestDuplicateSharesAtUsualRate(t *testing.T) {
	l := quota.Limits{Rate: 40, Burst: 10}
	f := newFleet(t, 4, l)
	for range 4 {
		f.buckets = append(f.buckets, f.fresh(0))
	}
	f.run(settle, usualLoad*l.Rate, f.anywhere)
	f.reset()
	for _, b := range f.buckets[4:] {
		b.SetShare(f.now, 0.25)
	}
	f.run(2*time.Second, l.Rate, f.anywhere)
	for _, b := range f.buckets[:4] {
		b.SetShare(f.now, 0)
	}
	f.run(settle, usualLoad*l.Rate, f.anywhere)
	f.check(l, time.Time{})
}

// Load: an account without limits, a removed one and an amount from a faulty peer. Neither may refuse operations, and the
// amount must not become tokens.
func TestLedgerFollowsConfiguration(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ledger := quota.NewLedger(tolerance)
	ledger.Apply(now, map[string]quota.Limits{"free": {}, "paid": {Rate: 1}})
	ledger.SetShares(now, func(string) float64 { return 1 })
	for range 100 {
		if _, ok := ledger.Take(now, "free"); !ok {
			t.Fatal("an operation of an account without limits was refused")
		}
		_, _ = ledger.Take(now, "paid")
	}
	ledger.Receive(now, map[string]float64{"paid": -1000, "unknown": 5})
	wait, ok := ledger.Take(now, "paid")
	if ok || wait <= 0 || wait > tolerance.Window {
		t.Errorf("an operation above the limit: admitted %v with a wait of %v, want a refusal with a wait up to the window", ok, wait)
	}
	if ledger.Shortages(now)["paid"] == 0 {
		t.Error("an account whose operations are refused has no shortage")
	}
	ledger.Apply(now, map[string]quota.Limits{"free": {}})
	if _, ok := ledger.Take(now, "paid"); !ok || len(ledger.Shortages(now)) > 0 {
		t.Error("a removed account still has a bucket")
	}
}

// Load: an operation of a small account that waits for a token and is tried every 5 ms. Each try would count as an operation
// otherwise, and the bucket would borrow tokens that expire.
func TestRetriesAreNotDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	config := quota.Config{Limits: quota.Limits{Rate: 2, Burst: 2}, Tolerance: tolerance, Share: 0.125, Now: now}
	once, retried := quota.New(config), quota.New(config)
	now = now.Add(settle)
	for _, b := range []*quota.Bucket{once, retried} {
		for admitted := true; admitted; {
			_, admitted = b.Take(now)
		}
	}
	for range 12 {
		now = now.Add(tick)
		once.Shortage(now)
		if _, ok := retried.Retry(now); ok {
			t.Fatal("a retry was admitted before a token was due")
		}
	}
	now = now.Add(200 * time.Millisecond)
	if want, got := once.Shortage(now), retried.Shortage(now); math.Abs(got-want) > 1e-6 {
		t.Errorf("shortage %v after 12 retries, want %v as without them", got, want)
	}
}

// TestRefillAfterRestartOfAllInstances guards against operations below the limit that are refused after all instances lost
// power: accounts send their usual load, 1/1.6 of their rate, from 0.1 s after the shares are known.
func TestRefillAfterRestartOfAllInstances(t *testing.T) {
	const buckets = 8
	limits := quota.Limits{Rate: 200, Burst: 200}
	now := time.Unix(1000, 0)
	all := make([]*quota.Bucket, buckets)
	for n := range all {
		all[n] = quota.New(quota.Config{Limits: limits, Tolerance: tolerance, Share: 1.0 / buckets, Now: now})
		all[n].ForgetHolders(now)
	}
	now = now.Add(100 * time.Millisecond)
	refused, tried := 0, 0
	interval := time.Duration(1.6 / limits.Rate * float64(time.Second))
	for range int(2 * time.Second / interval) {
		if _, ok := all[tried%buckets].Take(now); !ok {
			refused++
		}
		tried++
		now = now.Add(interval)
	}
	if refused > 0 {
		t.Errorf("%d of %d operations were refused below the limit", refused, tried)
	}
}
