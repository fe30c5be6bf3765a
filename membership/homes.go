package membership

import (
	"math"
	"sort"
)

// defaultCapacity is assumed for an instance whose capacity is not known, in thousandths of a core.
const defaultCapacity = 400

// Homes returns the count instances that hold the connections for key, in order of preference.
//
// The choice is by rendezvous hashing: an instance that joins or leaves moves few keys,
// and all instances that know the same others choose the same homes. An instance is
// chosen in proportion to its capacity. The homes alternate between the data centres, so
// that each data centre has a home and a partition between them leaves some on either side.
func Homes(key string, instances []Identity, count int) []Identity {
	if count >= len(instances) {
		count = len(instances)
	}
	scores := make(map[string]float64, len(instances))
	for _, instance := range instances {
		scores[instance.Name()] = score(key, instance)
	}
	ranked := append([]Identity(nil), instances...)
	sort.Slice(ranked, func(a, b int) bool {
		if x, y := scores[ranked[a].Name()], scores[ranked[b].Name()]; x != y {
			return x > y
		}
		return ranked[a].Name() < ranked[b].Name()
	})
	return interleaveDataCentres(ranked)[:count]
}

// interleaveDataCentres puts the first instance of each data centre first, then the second of each, and so on.
func interleaveDataCentres(ranked []Identity) []Identity {
	countIn := map[string]int{}
	rank := make(map[string]int, len(ranked))
	for _, instance := range ranked {
		rank[instance.Name()] = countIn[instance.DataCentre()]
		countIn[instance.DataCentre()]++
	}
	sort.SliceStable(ranked, func(a, b int) bool { return rank[ranked[a].Name()] < rank[ranked[b].Name()] })
	return ranked
}

// score returns the weighted rendezvous score: the chance that an instance has the highest one is proportional to its capacity.
func score(key string, instance Identity) float64 {
	capacity := instance.Capacity()
	if capacity == 0 {
		capacity = defaultCapacity
	}
	const scale = 1 << 53
	uniform := (float64(weight(key, instance.Name())>>11) + 0.5) / scale
	return -float64(capacity) / math.Log(uniform)
}
