package membership

import (
	"encoding/binary"
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets of keys, each of which has a digest for repair.
const Buckets = 256

// Revision orders the values of one key within one epoch.
type Revision uint64

// Epoch counts how often the source of the revisions has assigned earlier ones again; values of a later epoch are newer.
type Epoch uint64

// Item is one key's value at one revision of an epoch.
type Item[V any] struct {
	key      string
	epoch    Epoch
	revision Revision
	value    V
}

// NewItem returns the item of key at revision, in epoch 0.
func NewItem[V any](key string, revision Revision, value V) Item[V] {
	return Item[V]{key: key, revision: revision, value: value}
}

// InEpoch returns the item in another epoch.
func (i Item[V]) InEpoch(epoch Epoch) Item[V] {
	i.epoch = epoch
	return i
}

// Epoch returns the item's epoch.
func (i Item[V]) Epoch() Epoch { return i.epoch }

// supersedes reports whether an item is newer than another one of the same key.
func (i Item[V]) supersedes(other Item[V]) bool {
	if i.epoch != other.epoch {
		return i.epoch > other.epoch
	}
	return i.revision > other.revision
}

// Key returns the item's key.
func (i Item[V]) Key() string { return i.key }

// Revision returns the item's revision.
func (i Item[V]) Revision() Revision { return i.revision }

// Value returns the item's value.
func (i Item[V]) Value() V { return i.value }

// Digest is a hash over all keys, epochs and revisions of an Items.
type Digest uint64

// pendingItem is a changed item that is still sent with deltas, and how often it was sent.
type pendingItem struct {
	key  string
	sent int
}

// Items holds the newest known value of each key; it is not safe for concurrent use.
type Items[V any] struct {
	items   map[string]Item[V]
	buckets [Buckets]uint64
	digest  uint64
	pending []pendingItem
}

// NewItems returns an empty set.
func NewItems[V any]() *Items[V] {
	return &Items[V]{items: map[string]Item[V]{}}
}

// Apply stores an item that is newer than the one held, adds it to the deltas, and reports whether it did.
func (s *Items[V]) Apply(item Item[V]) bool {
	current, ok := s.items[item.key]
	if ok && !item.supersedes(current) {
		return false
	}
	if ok {
		s.toggle(current)
	}
	s.items[item.key] = item
	s.toggle(item)
	s.addDelta(item.key)
	return true
}

// ApplyWithoutDelta stores an item as Apply does, but does not add it to the deltas: peers that lack it get it by digest.
//
// A key that is among the deltas already stays there, and its count of transmissions starts again.
func (s *Items[V]) ApplyWithoutDelta(item Item[V]) bool {
	pending := s.pending
	applied := s.Apply(item)
	s.pending = pending
	return applied
}

// toggle adds an item to the digests, or removes it.
func (s *Items[V]) toggle(item Item[V]) {
	h := hashOf(item.key, item.epoch, item.revision)
	s.digest ^= h
	s.buckets[bucketOf(item.key)] ^= h
}

// hashOf returns the hash of a key at a revision. In epoch 0 it is the hash of builds that know no epochs.
func hashOf(key string, epoch Epoch, revision Revision) uint64 {
	raw := binary.BigEndian.AppendUint64([]byte(key), uint64(revision))
	if epoch > 0 {
		raw = binary.BigEndian.AppendUint64(raw, uint64(epoch))
	}
	return xxhash.Sum64(raw)
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func (s *Items[V]) addDelta(key string) {
	for i, p := range s.pending {
		if p.key == key {
			s.pending[i].sent = 0
			return
		}
	}
	s.pending = append(s.pending, pendingItem{key: key})
}

// Get returns the item of key.
func (s *Items[V]) Get(key string) (item Item[V], ok bool) {
	item, ok = s.items[key]
	return item, ok
}

// Len returns the number of keys.
func (s *Items[V]) Len() int { return len(s.items) }

// All returns all items in the order of their keys.
func (s *Items[V]) All() []Item[V] {
	out := make([]Item[V], 0, len(s.items))
	for _, item := range s.items {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

// Digest returns the hash over all keys, epochs and revisions.
func (s *Items[V]) Digest() Digest { return Digest(s.digest) }

// BucketDigests returns the digest of each bucket.
func (s *Items[V]) BucketDigests() []uint64 { return append([]uint64(nil), s.buckets[:]...) }

// Spreading reports whether there are deltas to send.
func (s *Items[V]) Spreading() bool { return len(s.pending) > 0 }

// Deltas returns at most limit of the changed items, those sent least often first, for a fleet of the given size.
//
// Each item is returned floor(log2(size)) + 2 times and then dropped;
// peers that lack it by then are repaired by digest.
func (s *Items[V]) Deltas(limit, size int) []Item[V] {
	sort.SliceStable(s.pending, func(i, j int) bool { return s.pending[i].sent < s.pending[j].sent })
	maxSent := bits.Len(uint(size)) + 1
	n := min(limit, len(s.pending))
	out := make([]Item[V], 0, n)
	for i := range n {
		out = append(out, s.items[s.pending[i].key])
		s.pending[i].sent++
	}
	kept := s.pending[:0]
	for _, p := range s.pending {
		if p.sent < maxSent {
			kept = append(kept, p)
		}
	}
	s.pending = kept
	return out
}

// Differing returns at most limit items of the buckets whose digests differ from those of a peer.
func (s *Items[V]) Differing(peerDigests []uint64, limit int) []Item[V] {
	var out []Item[V]
	if len(peerDigests) != Buckets {
		return out
	}
	for _, item := range s.items {
		b := bucketOf(item.key)
		if s.buckets[b] == peerDigests[b] {
			continue
		}
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out[:min(limit, len(out))]
}
