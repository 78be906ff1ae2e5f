package relay

import (
	"cmp"
	"slices"

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
	// hashed are instances by a hash of model and instance, the least first.
	hashed map[holderKey][]string
}

func newIndex() index {
	return index{
		services: make(map[string][]*endpoint), holders: make(map[holderKey][]*endpoint),
		former: make(map[holderKey][]string), hashed: make(map[holderKey][]string),
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
}

func (x *index) drop(e *endpoint) {
	x.services[e.Service] = remove(x.services[e.Service], e)
	x.release(e, e.Stock.Models)
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
