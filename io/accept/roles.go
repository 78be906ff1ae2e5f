package accept

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
)

// Defaults of Roles.
const (
	// DefaultWatchers is the number of processes that watch the key-value service.
	DefaultWatchers = 6
	// DefaultFanout is the largest number of processes that have the same preferred
	// peer.
	DefaultFanout = 8
)

// Roles returns whether the process self should watch the key-value service, and the
// IDs of the peers that it should ask for newer configuration, the preferred one first.
//
// The processes form a tree. Ordered by a hash of their IDs, the first ones watch the
// service and ask each other; each later process asks its parent, which is an earlier
// one in this order, or else one of the watchers. All processes with the same list of
// live processes compute the same tree. While the lists of two processes differ, they
// only may ask other peers than intended. The list live may lack self.
func Roles(self fleet.ProcessID, live []fleet.ProcessID, watcherCount, fanout int) (watch bool, peerIDs []fleet.ProcessID) {
	order := hashOrder(self, live)
	rank := slices.Index(order, self)
	if rank < watcherCount {
		return true, slices.Delete(order[:min(watcherCount, len(order))], rank, rank+1)
	}
	parent := (rank - watcherCount) / fanout
	peerIDs = append(peerIDs, order[parent])
	for i := 1; i < watcherCount; i++ {
		// If the parent fails, its children ask different watchers first, which spreads
		// the load.
		if backup := order[(parent+i)%watcherCount]; backup != order[parent] {
			peerIDs = append(peerIDs, backup)
		}
	}
	return false, peerIDs
}

// hashOrder returns the processes, including self, ordered by a hash of their IDs.
func hashOrder(self fleet.ProcessID, live []fleet.ProcessID) []fleet.ProcessID {
	type hashed struct {
		hash uint64
		id   fleet.ProcessID
	}
	list := make([]hashed, 0, len(live)+1)
	for _, id := range live {
		list = append(list, hashed{xxhash.Sum64String(string(id)), id})
	}
	if !slices.Contains(live, self) {
		list = append(list, hashed{xxhash.Sum64String(string(self)), self})
	}
	slices.SortFunc(list, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]fleet.ProcessID, 0, len(list))
	for _, h := range list {
		order = append(order, h.id)
	}
	return order
}
