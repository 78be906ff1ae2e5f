package swap

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/stock"
)

const (
	// residence is the least time that a model stays after its load, so that the
	// requests which asked for it can reach it.
	residence = 500 * time.Millisecond
	// unloadTime and adapterTime are assumed until the endpoint shows the result.
	unloadTime  = 50 * time.Millisecond
	adapterTime = 40 * time.Millisecond
	// inUse is the worth of a model that runs requests, in requests a second: it
	// is given up only if all others are worth more.
	inUse = 1000.0
	// busyPatience is how long a load waits for a model without requests to make
	// room; routers ask elsewhere meanwhile.
	busyPatience = 1500 * time.Millisecond
	// copyMargin is how much more one more copy must be worth than what makes room
	// for it, so that copies don't change places.
	copyMargin = 1.5
	// lastHolder is how much more the only copy of a model is worth.
	lastHolder = 2.0
)

// next orders what is to be done next, if the endpoint can take an order.
func (s *State) next() {
	if s.engine == nil || s.token == 0 || s.seenAt.IsZero() || s.order != nil || s.seen.Report.Leaving {
		return
	}
	for _, w := range s.wants() {
		if s.serve(w) {
			return
		}
	}
}

// serve orders a step towards a want; it returns false if none is possible now.
func (s *State) serve(w stock.Want) bool {
	if w.Item.Adapter == "" {
		return s.serveModel(w)
	}
	base := stock.Item{Model: w.Item.Model}
	if !s.seen.Report.Holds(base) {
		w.Item = base
		return s.serveModel(w)
	}
	return s.serveAdapter(w.Item)
}

func (s *State) serveModel(w stock.Want) bool {
	item := w.Item
	model, ok := s.engine.Models[item.Model]
	if !ok || s.seen.Busy {
		return false
	}
	if s.used()+model.Size <= s.engine.Memory {
		s.give(Load, item, s.loadTime(item))
		return true
	}
	victim, ok := s.victim(item.Model)
	if !ok || w.Waiting == 0 && s.worth(victim)*copyMargin > w.Rate {
		return false
	}
	if s.worth(victim) >= inUse && s.now.Before(s.wantedAt[item].Add(busyPatience)) {
		// An unload waits for the model's requests and holds up all other orders.
		s.wake(s.now.Add(pollBusy))
		return false
	}
	s.give(Unload, stock.Item{Model: victim}, unloadTime)
	return true
}

// give sends an order.
func (s *State) give(op Operation, item stock.Item, takes time.Duration) {
	s.number++
	o := Order{
		Number: s.number, Operation: op, Item: item, Instance: s.seen.Report.Instance,
		Sequence: s.seen.Sequence, Token: s.token,
	}
	s.order = &order{Order: o, doneAt: s.now.Add(takes)}
	s.emit(o)
}

// used is the memory that is taken or may be, in MB.
func (s *State) used() float64 {
	sum := 0.0
	for _, h := range s.seen.Report.Models {
		model := s.engine.Models[h.Model]
		sum += model.Size + float64(len(h.Adapters))*model.AdapterSize
	}
	for _, item := range s.seen.Coming {
		sum += s.engine.Models[item.Model].AdapterSize
	}
	return sum
}

// victim chooses the model that makes room: the one whose requests are the
// fewest for each endpoint that holds it.
func (s *State) victim(wanted string) (string, bool) {
	best, least := "", 0.0
	for _, h := range s.seen.Report.Models {
		if h.Model == wanted || s.now.Before(s.since[h.Model].Add(residence)) || s.isWanted(h.Model) {
			continue
		}
		if worth := s.worth(h.Model); best == "" || worth < least {
			best, least = h.Model, worth
		}
	}
	if best == "" {
		s.emit(event.Wake{At: s.now.Add(pollBusy)})
	}
	return best, best != ""
}

// isWanted says whether an adapter of a model is asked for.
func (s *State) isWanted(model string) bool {
	return slices.ContainsFunc(s.wants(), func(w stock.Want) bool { return w.Item.Model == model })
}

// worth is what keeping a model is worth, in requests a second.
func (s *State) worth(model string) float64 {
	rate, holders, running := 0.0, 1, 0
	for _, id := range slices.Sorted(maps.Keys(s.routers)) {
		for _, u := range s.routers[id].Uses {
			if u.Model == model && u.Adapter == "" {
				rate += u.Rate
				running += u.Running
				holders = max(holders, u.Holders)
			}
		}
	}
	worth := rate / float64(holders)
	if holders == 1 {
		worth *= lastHolder
	}
	if running > 0 {
		worth += inUse * float64(running)
	}
	return worth
}

func (s *State) loadTime(item stock.Item) time.Duration {
	if item.Adapter != "" && s.seen.Report.Holds(stock.Item{Model: item.Model}) {
		return adapterTime
	}
	if s.engine == nil {
		return 0
	}
	model := s.engine.Models[item.Model]
	switch {
	case slices.Contains(s.seen.Report.Copies.Memory, item.Model):
		return model.FromMemory
	case slices.Contains(s.seen.Report.Copies.Disk, item.Model):
		return model.FromDisk
	default:
		return model.FromStore
	}
}
