package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/stock"
)

// holderKey names a model of a service.
type holderKey struct {
	service, model string
}

// index finds endpoints by service and by the models that they hold, so that a
// choice does not look at the whole fleet. Lists are in the order of instances.
type index struct {
	services map[string][]*endpoint
	holders  map[holderKey][]*endpoint
	// former are the instances that held a model last, the latest first.
	former map[holderKey][]string
	// rings are the endpoints of each service in the order of hashes of their names.
	rings map[string][]ringed
}

// ringed is an endpoint with the hash of its name.
type ringed struct {
	hash uint64
	e    *endpoint
}

func byHash(r ringed, hash uint64) int { return cmp.Compare(r.hash, hash) }

func newIndex() index {
	return index{
		services: make(map[string][]*endpoint), holders: make(map[holderKey][]*endpoint),
		former: make(map[holderKey][]string), rings: make(map[string][]ringed),
	}
}

func byInstance(e *endpoint, id string) int { return cmp.Compare(e.Instance, id) }

func insert(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e.Instance, byInstance)
	if found {
		return list
	}
	return slices.Insert(list, i, e)
}

func remove(list []*endpoint, e *endpoint) []*endpoint {
	i, found := slices.BinarySearchFunc(list, e.Instance, byInstance)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func (x *index) add(e *endpoint) {
	x.services[e.Service] = insert(x.services[e.Service], e)
	x.hold(e, e.Stock.Models)
	hash := xxhash.Sum64String(e.Instance)
	ring := x.rings[e.Service]
	i, _ := slices.BinarySearchFunc(ring, hash, byHash)
	x.rings[e.Service] = slices.Insert(ring, i, ringed{hash, e})
}

func (x *index) drop(e *endpoint) {
	x.services[e.Service] = remove(x.services[e.Service], e)
	x.release(e, e.Stock.Models)
	ring := x.rings[e.Service]
	i, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(e.Instance), byHash)
	for ; i < len(ring); i++ {
		if ring[i].e == e {
			x.rings[e.Service] = slices.Delete(ring, i, i+1)
			return
		}
	}
}

// after returns up to so many endpoints of a service whose hashes follow that of a
// key: few of them change when the list does.
func (x *index) after(service, key string, most int) []*endpoint {
	ring := x.rings[service]
	first, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(key), byHash)
	list := make([]*endpoint, 0, most)
	for n := range min(most, len(ring)) {
		list = append(list, ring[(first+n)%len(ring)].e)
	}
	return list
}

func (x *index) hold(e *endpoint, models []stock.Held) {
	for _, h := range models {
		key := holderKey{e.Service, h.Model}
		x.holders[key] = insert(x.holders[key], e)
	}
}

func (x *index) release(e *endpoint, models []stock.Held) {
	for _, h := range models {
		key := holderKey{e.Service, h.Model}
		if x.holders[key] = remove(x.holders[key], e); len(x.holders[key]) == 0 {
			delete(x.holders, key)
		}
	}
}

// noteFormer remembers the models that an endpoint holds no longer.
func (x *index) noteFormer(e *endpoint, before []stock.Held) {
	for _, h := range before {
		if e.Stock.Holds(stock.Item{Model: h.Model}) {
			continue
		}
		key := holderKey{e.Service, h.Model}
		list := slices.DeleteFunc(x.former[key], func(id string) bool { return id == e.Instance })
		x.former[key] = slices.Insert(list, 0, e.Instance)[:min(len(list)+1, followPlaces)]
	}
}

// restock changes what an endpoint is known to hold.
func (s *State) restock(e *endpoint, change func()) {
	before := e.Stock.Models
	s.index.release(e, before)
	change()
	s.index.hold(e, e.Stock.Models)
	s.index.noteFormer(e, before)
}

// candidates returns the endpoints that may hold what a request needs, or all
// of its service if it needs no model.
func (s *State) candidates(service, model string) []*endpoint {
	if model == "" || s.table.Engine(service) == nil {
		return s.index.services[service]
	}
	return s.index.holders[holderKey{service, model}]
}
