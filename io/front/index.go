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
	// same pointer until the configuration changes, and the records must not be modified.
	Current() *record.Config
}

// keyHash is the SHA-256 hash of a bearer key.
type keyHash [sha256.Size]byte

// index provides lookups in one configuration. It is immutable once built.
type index struct {
	config *record.Config
	// members are the members by the hash of their keys. The value is nil for a key that
	// several members have.
	members map[keyHash]*record.Member
	// versions are the models by name without version, the highest version first.
	versions map[string][]fleet.ModelID
}

// newIndex returns the index of a configuration.
func newIndex(config *record.Config) *index {
	x := &index{
		config:   config,
		members:  make(map[keyHash]*record.Member, len(config.Members)),
		versions: make(map[string][]fleet.ModelID),
	}
	for _, m := range config.Members {
		x.addMember(&m)
	}
	for id := range config.Models {
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
	config := c.records.Current()
	if config == nil || config.Revision == 0 {
		return nil
	}
	if x := c.cached.Load(); x != nil && x.config == config {
		return x
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.cached.Load(); x != nil && x.config == config {
		return x
	}
	x := newIndex(config)
	c.cached.Store(x)
	return x
}
