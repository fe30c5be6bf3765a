package membership

import (
	"math"
	"sort"
)

// usualCapacity is assumed of an instance that does not tell its capacity, in thousandths of a core.
const usualCapacity = 400

// Homes returns the count instances that hold the connections for key, in order of preference.
//
// The choice is by rendezvous: an instance that joins or leaves moves few keys, and
// every instance that knows the same others chooses the same. An instance is chosen
// in proportion to its capacity; the data centres take turns, so that each has a
// home nearby and a cut between them leaves some on either side.
func Homes(key string, instances []Identity, count int) []Identity {
	if count >= len(instances) {
		count = len(instances)
	}
	scores := make(map[string]float64, len(instances))
	for _, one := range instances {
		scores[one.Name()] = score(key, one)
	}
	out := append([]Identity(nil), instances...)
	sort.Slice(out, func(a, b int) bool {
		if x, y := scores[out[a].Name()], scores[out[b].Name()]; x != y {
			return x > y
		}
		return out[a].Name() < out[b].Name()
	})
	return byTurns(out)[:count]
}

// byTurns puts the first instance of each data centre first, then the second of each, and so on.
func byTurns(ranked []Identity) []Identity {
	seen := map[string]int{}
	turn := make(map[string]int, len(ranked))
	for _, one := range ranked {
		turn[one.Name()] = seen[one.DataCentre()]
		seen[one.DataCentre()]++
	}
	sort.SliceStable(ranked, func(a, b int) bool { return turn[ranked[a].Name()] < turn[ranked[b].Name()] })
	return ranked
}

// score is the weighted rendezvous score: the highest of several goes to each with a chance of its share of the capacity.
func score(key string, one Identity) float64 {
	capacity := one.Capacity()
	if capacity == 0 {
		capacity = usualCapacity
	}
	const scale = 1 << 53
	uniform := (float64(weight(key, one.Name())>>11) + 0.5) / scale
	return -float64(capacity) / math.Log(uniform)
}
