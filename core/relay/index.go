package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/stock"
)

// modelKey identifies a model of a service.
type modelKey struct {
	service, model string
}

// index finds endpoints by service and by the models that they hold, so that selecting an
// endpoint does not require a scan of the fleet. Lists of endpoints are sorted by instance.
type index struct {
	endpointsByService map[string][]*endpoint
	holders            map[modelKey][]*endpoint
	// formerHolders lists the instances that no longer hold a model, the most recent holder
	// first, at most maxFollowedLoaders of them.
	formerHolders map[modelKey][]string
	// rings is a consistent-hash ring of the endpoints for each service, sorted by hash.
	rings map[string][]ringEntry
}

// ringEntry is an endpoint with the hash of its instance.
type ringEntry struct {
	hash uint64
	e    *endpoint
}

func compareHash(r ringEntry, hash uint64) int { return cmp.Compare(r.hash, hash) }

func newIndex() index {
	return index{
		endpointsByService: make(map[string][]*endpoint), holders: make(map[modelKey][]*endpoint),
		formerHolders: make(map[modelKey][]string), rings: make(map[string][]ringEntry),
	}
}

func compareInstance(e *endpoint, id string) int { return cmp.Compare(e.Instance, id) }

// insert adds an endpoint to a list sorted by instance, unless the list contains its
// instance.
func insert(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e.Instance, compareInstance)
	if found {
		return list
	}
	return slices.Insert(list, i, e)
}

// remove deletes the endpoint with the instance of e from a list sorted by instance.
func remove(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e.Instance, compareInstance)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func (x *index) add(e *endpoint) {
	x.endpointsByService[e.Service] = insert(x.endpointsByService[e.Service], e)
	x.addHolder(e, e.Stock.Models)
	hash := xxhash.Sum64String(e.Instance)
	ring := x.rings[e.Service]
	i, _ := slices.BinarySearchFunc(ring, hash, compareHash)
	x.rings[e.Service] = slices.Insert(ring, i, ringEntry{hash, e})
}

func (x *index) drop(e *endpoint) {
	x.endpointsByService[e.Service] = remove(x.endpointsByService[e.Service], e)
	x.removeHolder(e, e.Stock.Models)
	ring := x.rings[e.Service]
	i, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(e.Instance), compareHash)
	for ; i < len(ring); i++ {
		if ring[i].e == e {
			x.rings[e.Service] = slices.Delete(ring, i, i+1)
			return
		}
	}
}

// successors returns up to limit endpoints of a service, those whose hashes follow the hash
// of key on the ring. Changes of the endpoint list change few of them.
func (x *index) successors(service, key string, limit int) []*endpoint {
	ring := x.rings[service]
	first, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(key), compareHash)
	list := make([]*endpoint, 0, limit)
	for n := range min(limit, len(ring)) {
		list = append(list, ring[(first+n)%len(ring)].e)
	}
	return list
}

// addHolder registers an endpoint as holder of the given models.
func (x *index) addHolder(e *endpoint, models []stock.LoadedModel) {
	for _, m := range models {
		key := modelKey{e.Service, m.Model}
		x.holders[key] = insert(x.holders[key], e)
	}
}

// removeHolder removes an endpoint from the holders of the given models.
func (x *index) removeHolder(e *endpoint, models []stock.LoadedModel) {
	for _, m := range models {
		key := modelKey{e.Service, m.Model}
		if x.holders[key] = remove(x.holders[key], e); len(x.holders[key]) == 0 {
			delete(x.holders, key)
		}
	}
}

// addFormerHolders records the endpoint as former holder of the models that it held before
// and no longer holds.
func (x *index) addFormerHolders(e *endpoint, before []stock.LoadedModel) {
	for _, m := range before {
		if e.Stock.Holds(stock.Item{Model: m.Model}) {
			continue
		}
		key := modelKey{e.Service, m.Model}
		list := slices.DeleteFunc(x.formerHolders[key], func(id string) bool { return id == e.Instance })
		x.formerHolders[key] = slices.Insert(list, 0, e.Instance)[:min(len(list)+1, maxFollowedLoaders)]
	}
}

// updateStock calls change, which may change the state of the endpoint's models, and
// updates the index accordingly.
func (s *State) updateStock(e *endpoint, change func()) {
	before := e.Stock.Models
	s.index.removeHolder(e, before)
	change()
	s.index.addHolder(e, e.Stock.Models)
	s.index.addFormerHolders(e, before)
}

// candidates returns the endpoints that hold the model in any version and with any
// adapters, or all endpoints of the service if model is empty or the service has no engine.
func (s *State) candidates(service, model string) []*endpoint {
	if model == "" || s.table.Engine(service) == nil {
		return s.index.endpointsByService[service]
	}
	return s.index.holders[modelKey{service, model}]
}
