package front

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Records provides the accepted configuration records.
type Records interface {
	// Current returns the accepted records, or nil if there are none yet. It returns the
	// same pointer until the configuration changes, and the set must not be modified.
	Current() *record.Set
}

// keyHash is the SHA-256 hash of a bearer key.
type keyHash [sha256.Size]byte

// index provides lookups in one set of records. It is immutable once built.
type index struct {
	set *record.Set
	// members are the members by the hash of their keys. The value is nil for a key that
	// several members have.
	members map[keyHash]*record.Member
	// versions are the models by name without version, the highest version first.
	versions map[string][]fleet.ModelID
}

// newIndex returns the index of a set of records.
func newIndex(set *record.Set) *index {
	x := &index{
		set:      set,
		members:  make(map[keyHash]*record.Member, len(set.Members)),
		versions: make(map[string][]fleet.ModelID),
	}
	for _, m := range set.Members {
		x.addMember(&m)
	}
	for id := range set.Models {
		name, _ := id.Split()
		x.versions[name] = append(x.versions[name], id)
	}
	for _, ids := range x.versions {
		slices.SortFunc(ids, func(a, b fleet.ModelID) int { return compareVersions(b, a) })
	}
	return x
}

// addMember adds the keys of a member to the index. A key that several members have
// authenticates none of them.
func (x *index) addMember(m *record.Member) {
	for _, hexHash := range m.KeyHashes {
		var hash keyHash
		n, err := hex.Decode(hash[:], []byte(hexHash))
		if err != nil || n != len(hash) {
			continue
		}
		if other, ok := x.members[hash]; ok && (other == nil || other.ID != m.ID) {
			x.members[hash] = nil
			continue
		}
		x.members[hash] = m
	}
}

// memberByKey returns the member that a bearer key belongs to, or nil if there is none.
func (x *index) memberByKey(key string) *record.Member {
	return x.members[sha256.Sum256([]byte(key))]
}

// indexCache builds the index of the current records and caches it until they change. It
// may be used concurrently.
type indexCache struct {
	records Records
	// mu ensures that concurrent requests build a new index only once.
	mu     sync.Mutex
	cached atomic.Pointer[index]
}

// current returns the index of the accepted configuration, or nil if there is none.
func (c *indexCache) current() *index {
	set := c.records.Current()
	if set == nil || set.Revision == 0 {
		return nil
	}
	if x := c.cached.Load(); x != nil && x.set == set {
		return x
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.cached.Load(); x != nil && x.set == set {
		return x
	}
	x := newIndex(set)
	c.cached.Store(x)
	return x
}
