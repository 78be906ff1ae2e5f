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

// spread asks for one more copy of each model whose holders are too few for the
// requests, one at a time.
func (s *State) spread() {
	if s.now.Before(s.spreadAt) {
		return
	}
	s.spreadAt = s.now.Add(spreadTime)
	s.copies = s.copies[:0]
	for _, name := range slices.Sorted(maps.Keys(s.demand)) {
		t := s.demand[name]
		t.decay(s.now)
		engine := s.table.Engine(t.service)
		if engine == nil {
			continue
		}
		if c, ok := s.oneMore(name, t, engine); ok {
			s.copies = append(s.copies, c)
		}
	}
}

// copyWant is a wish for one more copy of a model.
type copyWant struct {
	instance string
	want     stock.Want
}

func (s *State) oneMore(name string, t *traffic, engine *route.Engine) (copyWant, bool) {
	item := stock.Item{Model: name}
	holders := s.holders(t.service, item)
	rate := t.rate * float64(s.budget.routers)
	if holders == 0 || holders >= s.holdersFor(t, rate) || s.isLoading(t.service, item) {
		return copyWant{}, false
	}
	var tried []string
	for _, e := range s.endpoints {
		if e.Stock.Holds(item) || !hasCopy(e, name) {
			tried = append(tried, e.Instance)
		}
	}
	e, _ := s.loadPlace(wantKey{t.service, item}, engine, tried)
	if e == nil {
		return copyWant{}, false
	}
	want := stock.Want{
		Item: item, Priority: math.MaxInt16, Deadline: s.now.Add(spreadUntil), Rate: rate / float64(holders+1),
	}
	return copyWant{e.Instance, want}, true
}

// holdersFor returns how many endpoints the requests for a model keep busy.
func (s *State) holdersFor(t *traffic, rate float64) int {
	return int(math.Ceil(rate * t.tokens / s.speed() / 1000 / holderLoad))
}

// speed is how fast endpoints read prompts, in tokens per ms.
func (s *State) speed() float64 {
	sum, n := 0.0, 0
	for _, e := range s.endpoints {
		if e.hasAgent {
			sum += e.speed
			n++
		}
	}
	if n == 0 {
		return firstSpeed
	}
	return max(sum/float64(n), 1)
}

func (s *State) isLoading(service string, item stock.Item) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		_, ok := e.Stock.Loading(item)
		return ok && e.Service == service && !e.Leaving
	})
}

func hasCopy(e *endpoint, model string) bool {
	return slices.Contains(e.Stock.Copies.Memory, model) || slices.Contains(e.Stock.Copies.Disk, model)
}
