package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// ackTime is how long an agent may take to show a load that it was asked for
	// before another one is asked.
	ackTime = 600 * time.Millisecond
	// overdueTime is how late a load may be before another endpoint is asked.
	overdueTime = 700 * time.Millisecond
	// evictCost is added to the time of a load for each request a second that the
	// model which makes room is asked for, at this router.
	evictCost = 4 * time.Second
	// storeLoadsMost is how many loads from the weight store may be on their way: all
	// share it, and platforms carry out one to four at full speed.
	storeLoadsMost = 2
	// adapterTime is assumed for the load of an adapter.
	adapterTime = 40 * time.Millisecond
	// spreadCost tells endpoints apart that are equal otherwise, the same way at
	// all routers.
	spreadCost = 200 * time.Millisecond
	// unloadTime is assumed for an unload before a load.
	unloadTime = 50 * time.Millisecond
)

type wantKey struct {
	service string
	item    stock.Item
}

// want is a load that requests wait for.
type want struct {
	key      wantKey
	instance string
	askedAt  time.Time
	requests []*request
	// tried are endpoints that did not take up the load.
	tried []string
	// until is how long the load is asked for without requests, for callers that
	// were told when to come back, priority that of the last of them.
	until    time.Time
	priority int
}

// expected returns when the request can be sent, as far as known, or why not.
func (s *State) expected(r *request) (time.Time, Reason) {
	engine := s.table.Engine(r.Service)
	if slices.ContainsFunc(s.candidates(r.Service, r.Item.Model), func(e *endpoint) bool { return s.serves(e, r) }) {
		// All are full; their next request ends soon.
		return s.now, ""
	}
	usable := slices.ContainsFunc(s.index.services[r.Service], func(e *endpoint) bool { return !e.Leaving })
	if !usable || engine == nil || r.Item.Model == "" {
		return time.Time{}, NoEndpoint
	}
	return s.want(r, engine)
}

// want joins the load that the request needs, or asks for it.
func (s *State) want(r *request, engine *route.Engine) (time.Time, Reason) {
	key := wantKey{r.Service, r.Item}
	w := s.wants[key]
	if w == nil {
		w = &want{key: key}
		s.wants[key] = w
	}
	if !slices.Contains(w.requests, r) {
		w.requests = append(w.requests, r)
	}
	if e := s.endpoint(w.instance); w.instance != "" && e != nil {
		if readyAt, ok := e.Stock.Loading(key.item); ok && s.now.Before(readyAt.Add(overdueTime)) {
			return s.sooner(w, engine, r, readyAt), ""
		}
		if s.now.Before(w.askedAt.Add(ackTime)) {
			readyAt, _ := s.loadAt(e, key.item, engine)
			return readyAt, ""
		}
		w.tried = append(w.tried, w.instance)
	}
	e, readyAt := s.loadPlace(key, engine, w.tried)
	if e == nil {
		s.retarget(w, "")
		w.tried = nil
		s.forgive(r)
		if at := s.storeFreeAt(key, engine); !at.IsZero() {
			return at, ""
		}
		return s.now.Add(retryNoEndpoint), ""
	}
	s.retarget(w, e.Instance)
	w.askedAt = s.now
	s.emitWake(s.now.Add(ackTime))
	return readyAt, ""
}

// sooner asks for a load elsewhere if it is too late for a request where it was
// asked for and in time there, from a copy at hand. It returns when the load is expected.
func (s *State) sooner(w *want, engine *route.Engine, r *request, readyAt time.Time) time.Time {
	until := r.waitsUntil()
	if readyAt.Add(startMargin).Before(until) {
		return readyAt
	}
	e, at := s.loadPlace(w.key, engine, append(slices.Clone(w.tried), w.instance))
	if e == nil || !at.Add(startMargin).Before(until) || s.fromStore(e, w.key.item) {
		return readyAt
	}
	w.tried = append(w.tried, w.instance)
	s.retarget(w, e.Instance)
	w.askedAt = s.now
	s.emitWake(s.now.Add(ackTime))
	return at
}

// retarget has another endpoint asked for a load; none if it is empty.
func (s *State) retarget(w *want, instance string) {
	for _, id := range []string{w.instance, instance} {
		if id != "" {
			s.dirty[id] = true
		}
	}
	w.instance = instance
}

// loadPlace chooses the endpoint that is to load an item.
func (s *State) loadPlace(key wantKey, engine *route.Engine, tried []string) (*endpoint, time.Time) {
	var best *endpoint
	var bestAt, least time.Time
	onlyHolders := key.item.Adapter != "" && s.holderLives(key)
	storeBusy := len(s.storeLoads(key.service)) >= storeLoadsMost
	for _, e := range s.index.services[key.service] {
		if e.Leaving || e.Stock.Holds(key.item) || !e.hasAgent || slices.Contains(tried, e.Instance) {
			continue
		}
		if (onlyHolders || storeBusy && !loadsModel(e, key.item.Model)) && s.fromStore(e, key.item) {
			continue
		}
		readyAt, cost := s.loadAt(e, key.item, engine)
		spread := xxhash.Sum64String(e.Instance+" "+key.item.Model+" "+key.item.Adapter) % uint64(spreadCost)
		at := readyAt.Add(cost + time.Duration(spread))
		if best == nil || at.Before(least) {
			best, bestAt, least = e, readyAt, at
		}
	}
	return best, bestAt
}

// holderLives says whether an endpoint that holds the item's model has its agent: the
// weight store is not asked for a model on account of one of its adapters.
func (s *State) holderLives(key wantKey) bool {
	return slices.ContainsFunc(s.candidates(key.service, key.item.Model), func(e *endpoint) bool {
		return !e.Leaving && e.hasAgent && e.Stock.Holds(stock.Item{Model: key.item.Model})
	})
}

// storeLoads returns when the loads that endpoints report to be on their way from
// the weight store are expected, the first one first.
func (s *State) storeLoads(service string) []time.Time {
	var list []time.Time
	for _, e := range s.index.services[service] {
		for _, l := range e.Stock.Loads {
			if l.Item.Adapter == "" && s.fromStore(e, l.Item) {
				list = append(list, l.ReadyAt)
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// loadsModel says whether an endpoint reports a load of a model.
func loadsModel(e *endpoint, model string) bool {
	_, ok := e.Stock.Loading(stock.Item{Model: model})
	return ok
}

// storeFreeAt returns when a model would be there that waits for its turn at the
// weight store; zero if the store is free.
func (s *State) storeFreeAt(key wantKey, engine *route.Engine) time.Time {
	loads := s.storeLoads(key.service)
	if len(loads) < storeLoadsMost {
		return time.Time{}
	}
	return latest(loads[0], s.now).Add(engine.Models[key.item.Model].FromStore)
}

// loadAt returns when an endpoint would have loaded the item, and what the
// model that makes room costs besides.
func (s *State) loadAt(e *endpoint, item stock.Item, engine *route.Engine) (time.Time, time.Duration) {
	if readyAt, ok := e.Stock.Loading(item); ok {
		return latest(readyAt, s.now), 0
	}
	if item.Adapter != "" {
		base := stock.Item{Model: item.Model}
		if e.Stock.Holds(base) {
			return s.freeAt(e).Add(adapterTime), 0
		}
		readyAt, cost := s.loadAt(e, base, engine)
		return readyAt.Add(adapterTime), cost
	}
	at := s.freeAt(e)
	at = at.Add(s.askedLoads(e, item, engine))
	model := engine.Models[item.Model]
	at = at.Add(loadTime(e, model))
	var cost time.Duration
	if s.fromStore(e, item) {
		// All loads from the weight store share it, so that each delays others.
		cost = model.FromStore
	}
	if roomFor(e, model, engine) {
		return at, cost
	}
	return at.Add(unloadTime), cost + s.evictCost(e)
}

// fromStore says whether an endpoint would load an item's model from the weight
// store.
func (s *State) fromStore(e *endpoint, item stock.Item) bool {
	return !e.Stock.Holds(stock.Item{Model: item.Model}) && !hasCopy(e, item.Model)
}

// freeAt returns when an endpoint has loaded all models that it reports to be on
// their way: it carries out one order at a time.
func (s *State) freeAt(e *endpoint) time.Time {
	at := s.now
	for _, l := range e.Stock.Loads {
		if l.Item.Adapter == "" {
			at = latest(at, l.ReadyAt)
		}
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// askedLoads is the time of the other loads that this router has asked of an
// endpoint and that its report does not tell of yet.
func (s *State) askedLoads(e *endpoint, item stock.Item, engine *route.Engine) time.Duration {
	var sum time.Duration
	for _, w := range s.wants {
		if w.instance != e.Instance || w.key.item.Adapter != "" || w.key.item == item {
			continue
		}
		if _, ok := e.Stock.Loading(w.key.item); !ok {
			sum += loadTime(e, engine.Models[w.key.item.Model])
		}
	}
	return sum
}

func loadTime(e *endpoint, model route.Model) time.Duration {
	switch {
	case slices.Contains(e.Stock.Copies.Memory, model.Name):
		return model.FromMemory
	case slices.Contains(e.Stock.Copies.Disk, model.Name):
		return model.FromDisk
	default:
		return model.FromStore
	}
}

// roomFor says whether a model fits beside what an endpoint holds.
func roomFor(e *endpoint, model route.Model, engine *route.Engine) bool {
	used := model.Size
	for _, h := range e.Stock.Models {
		held := engine.Models[h.Model]
		used += held.Size + float64(len(h.Adapters))*held.AdapterSize
	}
	return used <= engine.Memory
}

// evictCost is the cost of the model that an endpoint would give up: the one
// that is asked for least.
func (s *State) evictCost(e *endpoint) time.Duration {
	least := -1.0
	for _, h := range e.Stock.Models {
		rate := 0.0
		if t := s.demand[h.Model]; t != nil {
			holders := s.holders(e.Service, stock.Item{Model: h.Model})
			rate = t.rate / float64(max(holders, 1))
		}
		rate += float64(e.models[h.Model])
		if least < 0 || rate < least {
			least = rate
		}
	}
	return time.Duration(max(least, 0) * float64(evictCost))
}

// release takes a request off the load that it waits for.
func (s *State) release(r *request) {
	key := wantKey{r.Service, r.Item}
	w := s.wants[key]
	if w == nil {
		return
	}
	if i := slices.Index(w.requests, r); i >= 0 {
		w.requests = slices.Delete(w.requests, i, i+1)
	}
	s.dropWant(w)
}

// dropWant forgets a load that nobody waits for.
func (s *State) dropWant(w *want) {
	if len(w.requests) > 0 || s.now.Before(w.until) {
		return
	}
	s.retarget(w, "")
	delete(s.wants, w.key)
}

// checkWants drops loads whose endpoint has dropped them.
func (s *State) checkWants(e *endpoint) {
	for _, w := range s.wants {
		if w.instance == e.Instance && e.Leaving {
			s.retarget(w, "")
		}
	}
}

// forgetWants has the loads asked of an endpoint asked of others.
func (s *State) forgetWants(instance string) {
	for _, w := range s.wants {
		if w.instance == instance {
			s.retarget(w, "")
		}
	}
}

func (s *State) emitWake(at time.Time) {
	s.emit(event.Wake{At: at})
}
