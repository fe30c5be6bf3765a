package experiment

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// quotaView holds the first homes that follow from the instances that one side of the network considers alive.
type quotaView struct {
	since time.Duration
	// homes holds the first home by account and group, and holders those of an account without repetitions.
	homes   map[string]*[quotaGroups]int
	holders map[string][]int
}

// newQuotaView ranks the instances by rendezvous hashing of the group and the account.
func newQuotaView(since time.Duration, alive []int, accounts []*quotaAccount) *quotaView {
	v := &quotaView{since: since, homes: map[string]*[quotaGroups]int{}, holders: map[string][]int{}}
	for _, account := range accounts {
		homes := &[quotaGroups]int{}
		for g := range quotaGroups {
			key, best := xxhash.Sum64String(account.name)+uint64(g), uint64(0)
			for _, k := range alive {
				if rank := mixRank(key ^ uint64(k+1)<<32); rank >= best {
					best, homes[g] = rank, k
				}
			}
		}
		v.homes[account.name] = homes
		v.holders[account.name] = slices.Compact(slices.Sorted(slices.Values(homes[:])))
	}
	return v
}

// mixRank is the finalizer of SplitMix64.
func mixRank(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// share returns the fraction of the groups whose first home for the account is instance k.
func (v *quotaView) share(account string, k int) float64 {
	count := 0
	for _, home := range v.homes[account] {
		if home == k {
			count++
		}
	}
	return float64(count) / quotaGroups
}
