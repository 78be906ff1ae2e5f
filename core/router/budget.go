package router

import (
	"container/list"

	"chervilreach/core/fleet"
)

// Parameters of the retry budget.
const (
	// callsPerRetry is how many new calls earn one retry.
	callsPerRetry = 10
	// maxSavedRetries is the maximum number of retries that can be saved up.
	maxSavedRetries = 20
)

// retryBudget limits retries to a share of the new calls, so that they never
// amplify an overload. A new call earns one credit, and a retry costs
// callsPerRetry credits.
type retryBudget struct {
	credits int
}

// newBudget returns a budget that holds the maximum number of retries.
func newBudget() retryBudget { return retryBudget{credits: maxSavedRetries * callsPerRetry} }

// earn adds the credit of one new call.
func (b *retryBudget) earn() { b.credits = min(b.credits+1, maxSavedRetries*callsPerRetry) }

// spend pays for one retry. It returns false, and takes nothing, if the credits
// don't suffice.
func (b *retryBudget) spend() bool {
	if b.credits < callsPerRetry {
		return false
	}
	b.credits -= callsPerRetry
	return true
}

// maxAffinityPrefixes is the maximum number of prompt prefixes in an affinity.
const maxAffinityPrefixes = 4096

// affinity maps prompt prefixes, by their hashes, to the endpoint that served
// them last. The prefix served least recently is evicted first.
type affinity struct {
	byPrefix map[uint64]*list.Element
	lru      *list.List
}

// affinityEntry is the value of an element of affinity.lru.
type affinityEntry struct {
	prefix   uint64
	endpoint fleet.EndpointID
}

func newAffinity() affinity {
	return affinity{byPrefix: make(map[uint64]*list.Element), lru: list.New()}
}

// get returns the endpoint that served a prefix last, or "" if none is known.
func (a *affinity) get(prefix uint64) fleet.EndpointID {
	el, ok := a.byPrefix[prefix]
	if !ok {
		return ""
	}
	return el.Value.(affinityEntry).endpoint
}

// put records that an endpoint has served a prefix. A prefix of 0 means that the
// call has none and is ignored.
func (a *affinity) put(prefix uint64, id fleet.EndpointID) {
	if prefix == 0 {
		return
	}
	if el, ok := a.byPrefix[prefix]; ok {
		el.Value = affinityEntry{prefix, id}
		a.lru.MoveToFront(el)
		return
	}
	a.byPrefix[prefix] = a.lru.PushFront(affinityEntry{prefix, id})
	if a.lru.Len() > maxAffinityPrefixes {
		last := a.lru.Back()
		a.lru.Remove(last)
		delete(a.byPrefix, last.Value.(affinityEntry).prefix)
	}
}
