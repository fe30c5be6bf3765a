package membership

import (
	"cmp"
	"math"
	"slices"
)

// defaultCapacity is assumed for an instance whose capacity is not known, in thousandths of a core.
const defaultCapacity = 400

// Homes returns the count instances that hold the connections for key, in order of preference.
//
// The choice is by rendezvous hashing: an instance that joins or leaves moves few keys,
// and all instances that know the same others choose the same homes. An instance is
// chosen in proportion to its capacity. The homes alternate between the data centres, so
// that each data centre has a home and a partition between them leaves some on either side.
//
// It keeps only the count best instances of each data centre, since a large fleet computes
// the homes of all groups whenever an instance joins or leaves.
func Homes(key string, instances []Identity, count int) []Identity {
	count = min(count, len(instances))
	if count <= 0 {
		return nil
	}
	best := map[string][]candidate{}
	for n := range instances {
		c := candidate{instance: &instances[n], score: score(key, instances[n])}
		dataCentre := instances[n].DataCentre()
		best[dataCentre] = insertCandidate(best[dataCentre], c, count)
	}
	ranked := make([]candidate, 0, min(len(instances), count*len(best)))
	for _, candidates := range best {
		for rank, c := range candidates {
			c.rank = rank
			ranked = append(ranked, c)
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), a.compare(b)) })
	homes := make([]Identity, count)
	for n := range homes {
		homes[n] = *ranked[n].instance
	}
	return homes
}

// First returns the first of the homes that Homes returns for key, or false without instances.
//
// It allocates nothing: a fleet with many accounts looks up the first home of each account and group whenever an instance joins
// or leaves.
func First(key string, instances []Identity) (first Identity, ok bool) {
	var best candidate
	for n := range instances {
		c := candidate{instance: &instances[n], score: score(key, instances[n])}
		if best.instance == nil || c.compare(best) < 0 {
			best = c
		}
	}
	if best.instance == nil {
		return Identity{}, false
	}
	return *best.instance, true
}

// candidate is an instance with its score for a key, and its rank among the instances of its data centre.
type candidate struct {
	instance *Identity
	score    float64
	rank     int
}

// compare orders candidates by score, the highest first.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.score, c.score), cmp.Compare(c.instance.Name(), other.instance.Name()))
}

// insertCandidate inserts c into best, which is in order, and keeps at most limit candidates.
func insertCandidate(best []candidate, c candidate, limit int) []candidate {
	if len(best) == limit && best[limit-1].compare(c) < 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, c, candidate.compare)
	best = slices.Insert(best, at, c)
	return best[:min(len(best), limit)]
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
