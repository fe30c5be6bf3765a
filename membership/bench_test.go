package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/membership"
)

// newRoster returns the roster of an instance that knows n live instances, itself included.
func newRoster(n int) *membership.Roster {
	r := membership.NewRoster(membership.RosterConfig{Self: identity("n0", 1), Fanout: 3, DeadAfter: 3 * time.Second})
	for k := 1; k < n; k++ {
		name := fmt.Sprintf("n%d", k)
		r.Apply(membership.NewItem(name, 1, membership.NewPresence(identity(name, 1), membership.StateAlive)))
	}
	for range 100 {
		r.Presences().Deltas(n, n)
	}
	return r
}

// BenchmarkRound measures one heartbeat round of an instance, by the fleet's size.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{9, 100, 1000, 3500} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			r := newRoster(n)
			now := time.Unix(1000, 0)
			for b.Loop() {
				for _, t := range r.Targets(now) {
					r.RecordMessage(now, t)
				}
				r.Expire(now)
				r.Presences().Deltas(64, n)
			}
		})
	}
}

// BenchmarkApply measures one configuration change, by the number of items held.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 10_000, 23_000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			s := membership.NewItems[membership.Entry]()
			for k := range n {
				s.Apply(membership.NewItem(fmt.Sprintf("contract/c-%d", k), 1, membership.Entry{}))
			}
			for range 100 {
				s.Deltas(n, 3500)
			}
			revision := membership.Revision(1)
			for b.Loop() {
				revision++
				s.Apply(membership.NewItem("contract/c-1", revision, membership.Entry{}))
				s.Deltas(64, 3500)
			}
		})
	}
}

// BenchmarkItemMemory measures the memory of an item with a contract of ordinary length.
func BenchmarkItemMemory(b *testing.B) {
	const items = 23_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := membership.NewItems[membership.Entry]()
	for k := range items {
		text := fmt.Sprintf("customer = \"c-%d\"\n[[database]]\nname = \"d\"\ngroup = \"g-%d\"\n", k, k)
		s.Apply(membership.NewItem(fmt.Sprintf("contract/c-%d", k), 1, membership.NewEntry(membership.EntryConfig{Text: text, Author: "operator"})))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/items, "bytes/item")
}

// BenchmarkRank measures the ranking of all instances for one group, by the fleet's size.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{9, 3500} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var names []string
			for k := range n {
				names = append(names, fmt.Sprintf("n%d", k))
			}
			for b.Loop() {
				membership.Rank("group/1", names)
			}
		})
	}
}

// BenchmarkHomes measures the choice of the homes of one group, by the fleet's size.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{9, 295, 3500} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var instances []membership.Identity
			for k := range n {
				instances = append(instances, membership.NewIdentity(membership.IdentityConfig{
					Name: fmt.Sprintf("n%d", k), DataCentre: fmt.Sprintf("dc-%d", k%6), Capacity: 192,
				}))
			}
			for b.Loop() {
				membership.Homes("home/g", instances, 5)
			}
		})
	}
}
