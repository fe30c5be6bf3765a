package account_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/account"
)

// TestLookup guards against requests that are attributed to an account which does not hold their key: unknown keys, keys of
// several accounts, and keys that moved with a new version.
func TestLookup(t *testing.T) {
	mine, shared := account.HashKey("k-mine"), account.HashKey("k-shared")
	before := account.NewRegistry([]account.Config{
		{Name: "a", Keys: []account.Key{mine, shared}, Limits: account.Limits{Rate: 3, Burst: 4}},
		{Name: "b", Keys: []account.Key{shared}},
	})
	after := account.NewRegistry([]account.Config{{Name: "b", Keys: []account.Key{mine}}})
	for _, tc := range []struct {
		name     string
		registry *account.Registry
		key      account.Key
		want     string
		known    bool
	}{
		{"held", before, mine, "a", true},
		{"held by two accounts", before, shared, "", false},
		{"unknown", before, account.HashKey("k-other"), "", false},
		{"empty", before, account.HashKey(""), "", false},
		{"moved", after, mine, "b", true},
		{"removed", after, shared, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, known := tc.registry.Lookup(tc.key)
			if got != tc.want || known != tc.known {
				t.Errorf("Lookup = %q, %v; want %q, %v", got, known, tc.want, tc.known)
			}
		})
	}
	if l, ok := before.Limits("a"); !ok || l != (account.Limits{Rate: 3, Burst: 4}) || !l.Limited() {
		t.Errorf("Limits = %v, %v", l, ok)
	}
	if _, ok := after.Limits("a"); ok {
		t.Error("a removed account has limits")
	}
}

// TestFreshnessAgesWithoutStore guards against an instance that serves removed keys while neither the store nor a peer
// confirms its configuration, and against a relayed proof that makes an older one newer than it is.
func TestFreshnessAgesWithoutStore(t *testing.T) {
	const bound = 4700 * time.Millisecond
	start := time.Unix(1000, 0)
	f := account.NewFreshness(bound)
	if f.Valid(start) {
		t.Error("valid without a proof")
	}
	f.Confirm(start)
	f.Confirm(start.Add(-time.Second))
	if !f.Valid(start.Add(bound-time.Millisecond)) || f.Valid(start.Add(bound)) {
		t.Error("the bound does not count from the newest proof")
	}
	if age := f.Age(start.Add(time.Second)); age != time.Second {
		t.Errorf("age = %v", age)
	}
	if !account.NewFreshness(0).Valid(start) {
		t.Error("a proof is needed without a bound")
	}
}

// BenchmarkLookup measures the check of a key among 80 accounts of 50 keys.
func BenchmarkLookup(b *testing.B) {
	var accounts []account.Config
	for a := range 80 {
		c := account.Config{Name: fmt.Sprintf("account-%d", a)}
		for k := range 50 {
			c.Keys = append(c.Keys, account.HashKey(fmt.Sprintf("key-%d-%d", a, k)))
		}
		accounts = append(accounts, c)
	}
	r := account.NewRegistry(accounts)
	k := account.HashKey("key-40-20")
	b.ReportAllocs()
	for b.Loop() {
		r.Lookup(k)
	}
}
