package swap

import (
	"maps"
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/stock"
)

const (
	// minResidence is how long a model cannot be evicted after it has been loaded, so that
	// the requests that wait for it can be sent to the endpoint.
	minResidence = 500 * time.Millisecond
	// unloadEstimate and adapterLoadEstimate are the assumed durations of an unload and
	// of an adapter load. A snapshot of the endpoint shows when the order has completed.
	unloadEstimate      = 50 * time.Millisecond
	adapterLoadEstimate = 40 * time.Millisecond
	// runningValue is added to the value of a model for each running request, in
	// requests per second. A model with running requests is therefore evicted only if
	// all other candidates have a higher value; values from runningValue on mean that
	// the model has running requests.
	runningValue = 1000.0
	// busyEvictionDelay is how long a load request must have been pending before a model
	// or adapter with running requests may be evicted for it. Routers try other
	// endpoints meanwhile.
	busyEvictionDelay = 1500 * time.Millisecond
	// replicaMargin is the factor by which the value of an extra replica must exceed
	// that of the model it replaces. Without a margin, replicas of two models with
	// similar traffic would keep evicting each other.
	replicaMargin = 1.5
	// onlyReplicaFactor multiplies the value of a model that no other endpoint holds.
	onlyReplicaFactor = 2.0
)

// issueNextOrderIfPossible issues the next order, for the most urgent load request for which
// one is possible. It issues none without an engine configuration, a fencing token and a
// current snapshot, while another order is pending, or when the endpoint is draining.
func (s *State) issueNextOrderIfPossible() {
	if s.engine == nil || s.token == 0 || s.snapshotAt.IsZero() || s.pendingOrder != nil || s.snapshot.Report.Leaving {
		return
	}
	for _, req := range s.loadRequests() {
		if s.tryLoad(req) {
			return
		}
	}
}

// tryLoad issues the order that is needed next to serve a load request: a load, or an
// unload that makes room. For an adapter, its model comes first. It reports whether it
// issued an order.
func (s *State) tryLoad(req stock.LoadRequest) bool {
	if req.Item.Adapter == "" {
		return s.tryLoadModel(req)
	}
	base := stock.Item{Model: req.Item.Model}
	if !s.snapshot.Report.Holds(base) {
		req.Item = base
		return s.tryLoadModel(req)
	}
	return s.tryLoadAdapter(req.Item)
}

// tryLoadModel issues the order that is needed next to load a model: the load, or an
// unload that makes room. It reports whether it issued an order.
func (s *State) tryLoadModel(req stock.LoadRequest) bool {
	item := req.Item
	model, ok := s.engine.Models[item.Model]
	if !ok || s.snapshot.Busy {
		return false
	}
	if s.usedMB()+model.Size <= s.engine.Memory {
		s.issue(Load, item, s.loadTime(item))
		return true
	}
	victim, ok := s.victim(item.Model)
	if !ok || req.Waiting == 0 && s.keepValue(victim)*replicaMargin > req.Rate {
		return false
	}
	if s.keepValue(victim) >= runningValue && s.now.Before(s.requestedSince[item].Add(busyEvictionDelay)) {
		// An unload waits for the model's running requests and blocks all other orders.
		s.wakeAt(s.now.Add(busyPollInterval))
		return false
	}
	s.issue(Unload, stock.Item{Model: victim}, unloadEstimate)
	return true
}

// issue emits an order and makes it the pending one. It is based on the latest
// snapshot.
func (s *State) issue(op Operation, item stock.Item, estimate time.Duration) {
	s.lastOrderNumber++
	o := Order{
		Number: s.lastOrderNumber, Operation: op, Item: item, Instance: s.snapshot.Report.Instance,
		Sequence: s.snapshot.Sequence, Token: s.token,
	}
	s.pendingOrder = &pendingOrder{Order: o, estimatedDone: s.now.Add(estimate)}
	s.emit(o)
}

// usedMB returns the memory of all loaded models and adapters and of the adapters
// that are being loaded, in MB.
func (s *State) usedMB() float64 {
	sum := 0.0
	for _, m := range s.snapshot.Report.Models {
		model := s.engine.Models[m.Model]
		sum += model.Size + float64(len(m.Adapters))*model.AdapterSize
	}
	for _, item := range s.snapshot.Coming {
		sum += s.engine.Models[item.Model].AdapterSize
	}
	return sum
}

// victim returns the model to evict for the wanted one: the candidate with the lowest
// keepValue. Models loaded less than minResidence ago and models with a pending adapter
// request are not candidates. If there is none, it returns false and schedules another
// try.
func (s *State) victim(wanted string) (string, bool) {
	best, lowest := "", 0.0
	for _, m := range s.snapshot.Report.Models {
		if m.Model == wanted || s.now.Before(s.loadedSince[m.Model].Add(minResidence)) || s.adapterRequested(m.Model) {
			continue
		}
		if keepValue := s.keepValue(m.Model); best == "" || keepValue < lowest {
			best, lowest = m.Model, keepValue
		}
	}
	if best == "" {
		s.emit(event.Wake{At: s.now.Add(busyPollInterval)})
	}
	return best, best != ""
}

// adapterRequested reports whether a load request for an adapter of the model is pending.
// The model must be loaded, as requests for the model itself match too.
func (s *State) adapterRequested(model string) bool {
	return slices.ContainsFunc(s.loadRequests(), func(req stock.LoadRequest) bool { return req.Item.Model == model })
}

// keepValue returns the value of keeping a model loaded, in requests per second: its
// request rate divided by the number of endpoints that hold it, times onlyReplicaFactor
// if there is no other, plus runningValue for each running request.
func (s *State) keepValue(model string) float64 {
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
	keepValue := rate / float64(holders)
	if holders == 1 {
		keepValue *= onlyReplicaFactor
	}
	if running > 0 {
		keepValue += runningValue * float64(running)
	}
	return keepValue
}

// loadTime returns the expected duration of a load of the item, which depends on where
// the weights come from. For an adapter whose model is not loaded, it is the duration of
// the model's load. It returns 0 without an engine configuration.
func (s *State) loadTime(item stock.Item) time.Duration {
	if item.Adapter != "" && s.snapshot.Report.Holds(stock.Item{Model: item.Model}) {
		return adapterLoadEstimate
	}
	if s.engine == nil {
		return 0
	}
	model := s.engine.Models[item.Model]
	switch {
	case slices.Contains(s.snapshot.Report.Copies.Memory, item.Model):
		return model.FromMemory
	case slices.Contains(s.snapshot.Report.Copies.Disk, item.Model):
		return model.FromDisk
	default:
		return model.FromStore
	}
}
