package relay

import (
	"maps"
	"math"
	"slices"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// holderLoad is the part of its time that an endpoint may spend on reading the
	// prompts of one model: prompts are read between the steps of streams, so that
	// more makes pauses.
	holderLoad = 0.15
	// spreadTime is how often the numbers of copies are looked at.
	spreadTime = 500 * time.Millisecond
	// spreadUntil is how long a wish for one more copy stands.
	spreadUntil = 5 * time.Second
)

// spread asks for more copies of each model whose holders are too few for the
// requests.
func (s *State) spread() {
	if s.now.Before(s.spreadAt) {
		return
	}
	s.spreadAt = s.now.Add(spreadTime)
	for _, c := range s.copies {
		s.dirty[c.instance] = true
	}
	s.copies = s.copies[:0]
	fleet := s.look()
	for _, name := range slices.Sorted(maps.Keys(s.demand)) {
		t := s.demand[name]
		t.decay(s.now)
		engine := s.table.Engine(t.service)
		if engine == nil {
			continue
		}
		s.addCopies(name, t, engine, fleet)
	}
}

// look is what one look at all endpoints tells about copies.
type look struct {
	// speed is how fast endpoints read prompts, in tokens per ms.
	speed float64
	// loading counts the endpoints that load an item.
	loading map[wantKey]int
}

func (s *State) look() look {
	l := look{speed: firstSpeed, loading: make(map[wantKey]int)}
	sum, n := 0.0, 0
	for _, e := range s.endpoints {
		for _, one := range e.Stock.Loads {
			if !e.Leaving {
				l.loading[wantKey{e.Service, one.Item}]++
			}
		}
		if e.hasAgent {
			sum += e.speed
			n++
		}
	}
	if n > 0 {
		l.speed = max(sum/float64(n), 1)
	}
	return l
}

// copyWant is a wish for one more copy of a model.
type copyWant struct {
	instance string
	want     stock.Want
}

func (s *State) addCopies(name string, t *traffic, engine *route.Engine, fleet look) {
	item := stock.Item{Model: name}
	rate := max(t.rate, t.surge) * float64(s.budget.routers)
	holders := s.holders(t.service, item)
	if holders == 0 {
		s.addFirst(name, t, engine, rate)
		return
	}
	t.first = firstCopy{}
	had, needed := holders+fleet.loading[wantKey{t.service, item}], holdersFor(t, rate, fleet.speed)
	if had >= needed {
		return
	}
	var passed []string
	for _, e := range s.endpoints {
		if !e.hasAgent {
			continue
		}
		if _, loading := e.Stock.Loading(item); loading || e.Stock.Holds(item) || !hasCopy(e, name) {
			passed = append(passed, e.Instance)
		}
	}
	for n := had; n < needed; n++ {
		e, _ := s.loadPlace(wantKey{t.service, item}, engine, passed)
		if e == nil {
			return
		}
		passed = append(passed, e.Instance)
		s.addCopy(e, item, rate/float64(n+1))
	}
}

// addCopy asks an endpoint for a copy that would take so many requests a second.
func (s *State) addCopy(e *endpoint, item stock.Item, rate float64) {
	s.dirty[e.Instance] = true
	s.copies = append(s.copies, copyWant{e.Instance, stock.Want{
		Item: item, Priority: math.MaxInt16, Deadline: s.now.Add(spreadUntil), Rate: rate,
	}})
}

// holdersFor returns how many endpoints that read prompts at a speed the requests
// for a model keep busy.
func holdersFor(t *traffic, rate, speed float64) int {
	return int(math.Ceil(rate * t.tokens / speed / 1000 / holderLoad))
}

// loading returns how many endpoints load the item.
func (s *State) loading(service string, item stock.Item) int {
	n := 0
	for _, e := range s.index.services[service] {
		if _, ok := e.Stock.Loading(item); ok && !e.Leaving {
			n++
		}
	}
	return n
}

func hasCopy(e *endpoint, model string) bool {
	return slices.Contains(e.Stock.Copies.Memory, model) || slices.Contains(e.Stock.Copies.Disk, model)
}
