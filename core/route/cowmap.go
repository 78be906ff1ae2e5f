package route

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of parts in which a cowMap is copied.
const shardCount = 256

// shardSeed makes the distribution over shards differ between processes, as callers could otherwise
// choose keys of one shard.
var shardSeed = maphash.MakeSeed()

// cowMap is an immutable map. A change makes a new map that shares all shards without changed
// keys with the old one.
type cowMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
}

func (m *cowMap[K, V]) get(key K) (V, bool) {
	v, ok := m.shards[shardOf(key)][key]
	return v, ok
}

// edit begins a change of the map.
func (m *cowMap[K, V]) edit() *cowEdit[K, V] {
	next := *m
	return &cowEdit[K, V]{next: &next}
}

// cowEdit is a change of a cowMap in progress.
type cowEdit[K comparable, V any] struct {
	next   *cowMap[K, V]
	copied [shardCount]bool
}

func (e *cowEdit[K, V]) get(key K) (V, bool) { return e.next.get(key) }

func (e *cowEdit[K, V]) set(key K, v V) { e.shard(key)[key] = v }

func (e *cowEdit[K, V]) remove(key K) { delete(e.shard(key), key) }

// shard returns the copy of the key's shard that may be changed.
func (e *cowEdit[K, V]) shard(key K) map[K]V {
	i := shardOf(key)
	if !e.copied[i] {
		e.copied[i] = true
		if e.next.shards[i] = maps.Clone(e.next.shards[i]); e.next.shards[i] == nil {
			e.next.shards[i] = make(map[K]V)
		}
	}
	return e.next.shards[i]
}

func shardOf[K comparable](key K) uint64 { return maphash.Comparable(shardSeed, key) % shardCount }
