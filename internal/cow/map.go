// Package cow gives a map whose versions are immutable: Set returns a new
// version that shares all but one shard with the old one. It exists so that a
// request can hold one version of the settings tree while changes go on.
// It leaves locking to its users, who only need to publish the pointer.
package cow

import "maps"

// fan is how many parts each of the two levels above the maps has.
const fan = 64

// Map is one immutable version; the zero value is the empty map.
type Map[K comparable, V any] struct {
	// root, its groups and their maps are never written after the version was
	// returned. Nil stands for empty.
	root *[fan]*group[K, V]
	size int
}

// group is the second level.
type group[K comparable, V any] [fan]map[K]V

// Hasher spreads keys over shards.
type Hasher[K comparable] func(K) uint64

// Get returns the value of k.
func (m Map[K, V]) Get(hash Hasher[K], k K) (V, bool) {
	var zero V
	if m.root == nil {
		return zero, false
	}
	h := hash(k)
	g := m.root[h%fan]
	if g == nil {
		return zero, false
	}
	v, ok := g[h/fan%fan][k]
	return v, ok
}

// Set returns a version in which k has value v.
func (m Map[K, V]) Set(hash Hasher[K], k K, v V) Map[K, V] {
	shard, next := m.fork(hash(k))
	if _, had := shard[k]; !had {
		next.size++
	}
	shard[k] = v
	return next
}

// Delete returns a version without k.
func (m Map[K, V]) Delete(hash Hasher[K], k K) Map[K, V] {
	if _, had := m.Get(hash, k); !had {
		return m
	}
	shard, next := m.fork(hash(k))
	delete(shard, k)
	next.size--
	return next
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int { return m.size }

// Each calls f for every pair in no stated order.
func (m Map[K, V]) Each(f func(K, V)) {
	if m.root == nil {
		return
	}
	for _, g := range m.root {
		if g == nil {
			continue
		}
		for _, shard := range g {
			for k, v := range shard {
				f(k, v)
			}
		}
	}
}

// fork returns a copy of the map for a hash, in a version that shares all else.
func (m Map[K, V]) fork(hash uint64) (map[K]V, Map[K, V]) {
	next := Map[K, V]{root: new([fan]*group[K, V]), size: m.size}
	if m.root != nil {
		*next.root = *m.root
	}
	g := new(group[K, V])
	if old := next.root[hash%fan]; old != nil {
		*g = *old
	}
	next.root[hash%fan] = g
	shard := &g[hash/fan%fan]
	if *shard = maps.Clone(*shard); *shard == nil {
		*shard = map[K]V{}
	}
	return *shard, next
}
