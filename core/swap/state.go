package swap

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

const (
	// pollBusy, pollRunning and pollIdle are the times between questions to the
	// endpoint while something is ordered or asked for, while it runs requests,
	// and else. It is on the same host and answers from memory.
	pollBusy    = 30 * time.Millisecond
	pollRunning = 100 * time.Millisecond
	pollIdle    = 300 * time.Millisecond
	// answerTime bounds the wait for the answer to a question.
	answerTime = time.Second
	// publishLoad is the least time between reports that tell only of load.
	publishLoad = 150 * time.Millisecond
	// publishEach is added to the time between reports for each router, so that an
	// agent sends about as much however many there are.
	publishEach = 30 * time.Millisecond
	// publishIdle is the longest time between reports.
	publishIdle = time.Second
	// demandTime is how long a router's demand counts without being renewed. A
	// router that is gone is told of by its connection.
	demandTime = 2 * time.Minute
)

// State is an agent's reducer.
type State struct {
	engine *route.Engine
	token  int64
	seen   Engine
	// seenAt is when the endpoint was asked for seen; zero when unknown.
	seenAt  time.Time
	routers map[uint64]demand
	order   *order
	number  uint64
	// since is when each held model was first seen, and lastUsed when an adapter was
	// last asked for or had requests.
	since    map[string]time.Time
	lastUsed map[stock.Item]time.Time
	// draining are adapters that have been ordered out, which waits for their
	// requests, and until when they are taken as leaving.
	draining map[stock.Item]time.Time
	// wantedAt is since when an item that is not held has been asked for.
	wantedAt  map[stock.Item]time.Time
	polledAt  time.Time
	polling   bool
	published stock.Report
	publishAt time.Time
	effects   []event.Effect
	now       time.Time
}

// demand is a router's, with the time until which it counts.
type demand struct {
	stock.Demand
	until time.Time
}

// order is the one in progress.
type order struct {
	Order
	answered bool
	// doneAt is when it is expected to be done.
	doneAt time.Time
}

// New returns the state of an agent that has just started.
func New() *State {
	return &State{
		routers:  make(map[uint64]demand),
		since:    make(map[string]time.Time),
		lastUsed: make(map[stock.Item]time.Time),
		draining: make(map[stock.Item]time.Time),
		wantedAt: make(map[stock.Item]time.Time),
	}
}

// Apply implements event.Reducer.
func (s *State) Apply(now time.Time, ev event.Event) []event.Effect {
	s.now, s.effects = now, nil
	switch ev := ev.(type) {
	case Observed:
		s.observed(ev)
	case Unobserved:
		s.polling, s.seenAt = false, time.Time{}
	case Demanded:
		s.demanded(ev)
	case Joined:
		s.routers[ev.Router] = demand{until: now.Add(demandTime)}
		s.publishAt = now
	case Left:
		delete(s.routers, ev.Router)
	case Ordered:
		s.ordered(ev)
	case Adopted:
		s.engine = ev.Engine
	case Fenced:
		s.token = ev.Token
	}
	s.noteWants()
	s.settle()
	s.next()
	s.poll()
	s.publish()
	return s.effects
}

func (s *State) emit(eff event.Effect) { s.effects = append(s.effects, eff) }

func (s *State) observed(ev Observed) {
	s.polling = false
	if ev.AskedAt.Before(s.seenAt) {
		return
	}
	if ev.Engine.Born != s.seen.Born || ev.Engine.Report.Instance != s.seen.Report.Instance {
		s.order = nil
		s.since = make(map[string]time.Time)
		clear(s.draining)
	}
	s.seen, s.seenAt = ev.Engine, ev.AskedAt
	held := make(map[string]time.Time, len(s.since))
	for _, h := range s.seen.Report.Models {
		at, ok := s.since[h.Model]
		if !ok {
			at = s.now
		}
		held[h.Model] = at
	}
	s.since = held
	maps.DeleteFunc(s.draining, func(a stock.Item, until time.Time) bool {
		return !s.seen.Report.Holds(a) || s.now.After(until)
	})
}

func (s *State) demanded(ev Demanded) {
	s.routers[ev.Router] = demand{Demand: ev.Demand, until: s.now.Add(demandTime)}
	for _, w := range ev.Demand.Wants {
		if w.Item.Adapter != "" {
			s.lastUsed[w.Item] = s.now
		}
	}
	for _, u := range ev.Demand.Uses {
		if u.Adapter != "" {
			s.lastUsed[stock.Item{Model: u.Model, Adapter: u.Adapter}] = s.now
		}
	}
}

func (s *State) ordered(ev Ordered) {
	o := s.order
	if o == nil || o.Number != ev.Number {
		return
	}
	o.answered = true
	if ev.Answer == Accepted && o.Operation == Unload && o.Item.Adapter != "" {
		s.draining[o.Item] = s.now.Add(drainMost)
	}
	if ev.Answer != Accepted && ev.Answer != Holds {
		s.order = nil
	}
	// What the endpoint said before it took the order is out of date.
	s.seenAt = time.Time{}
}

// noteWants keeps since when each item has been asked for.
func (s *State) noteWants() {
	wants := s.wants()
	at := make(map[stock.Item]time.Time, len(wants))
	for _, w := range wants {
		since, ok := s.wantedAt[w.Item]
		if !ok {
			since = s.now
		}
		at[w.Item] = since
	}
	s.wantedAt = at
}

// settle ends the order in progress once the endpoint has carried it out.
func (s *State) settle() {
	o := s.order
	if o == nil || !o.answered || s.seenAt.IsZero() {
		return
	}
	if s.seen.Busy && o.Item.Adapter == "" || slices.Contains(s.seen.Coming, o.Item) {
		return
	}
	s.order = nil
}

// poll asks the endpoint for its state when that is due.
func (s *State) poll() {
	if s.polling && s.now.Before(s.polledAt.Add(answerTime)) {
		s.wake(s.polledAt.Add(answerTime))
		return
	}
	every := pollIdle
	if s.seen.Report.Running > 0 {
		every = pollRunning
	}
	if s.order != nil || len(s.wants()) > 0 {
		every = pollBusy
	}
	at := s.polledAt.Add(every)
	if s.now.Before(at) {
		s.wake(at)
		return
	}
	s.polling, s.polledAt = true, s.now
	s.emit(Poll{})
}

func (s *State) wake(at time.Time) { s.emit(event.Wake{At: at}) }

// publish tells the routers what has changed.
func (s *State) publish() {
	if s.seen.Report.Instance == "" || len(s.routers) == 0 {
		return
	}
	r := s.seen.Report
	r.Routers = len(s.routers)
	r.Loads = s.loads()
	r.Models = s.staying()
	old := &s.published
	sinceLast := s.now.Sub(s.publishAt)
	news := r.Instance != old.Instance || r.Leaving != old.Leaving || r.Routers != old.Routers ||
		!slices.EqualFunc(r.Models, old.Models, stock.Held.Equal) || !slices.EqualFunc(r.Loads, old.Loads, sameLoad)
	moved := r.Running != old.Running || r.Waiting != old.Waiting
	pace := max(time.Duration(len(s.routers))*publishEach, s.reportGap())
	if !news && (!moved || sinceLast < max(publishLoad, pace)) && sinceLast < max(publishIdle, pace) {
		return
	}
	s.published, s.publishAt = r, s.now
	s.emit(Publish{Report: r})
}

// reportGap is the least time between reports of load that any router asks for.
func (s *State) reportGap() time.Duration {
	gap := time.Duration(math.MaxInt64)
	for _, r := range s.routers {
		gap = min(gap, r.ReportGap)
	}
	return gap
}

// staying lists what the endpoint holds but for what is being unloaded: requests
// for that are turned away.
func (s *State) staying() []stock.Held {
	if len(s.draining) == 0 && (s.order == nil || s.order.Operation != Unload) {
		return s.seen.Report.Models
	}
	list := make([]stock.Held, 0, len(s.seen.Report.Models))
	for _, h := range s.seen.Report.Models {
		if s.leaving(stock.Item{Model: h.Model}) {
			continue
		}
		h.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(a string) bool {
			return s.leaving(stock.Item{Model: h.Model, Adapter: a})
		})
		list = append(list, h)
	}
	return list
}

// leaving says whether an item has been ordered out.
func (s *State) leaving(item stock.Item) bool {
	_, draining := s.draining[item]
	return draining || s.order != nil && s.order.Operation == Unload && s.order.Item == item
}

func sameLoad(a, b stock.Load) bool { return a.Item == b.Item }

// heldUp says whether a load has to wait for requests to end: it is not promised
// to routers, so that they ask elsewhere.
func (s *State) heldUp(w stock.Want) bool {
	if s.engine == nil {
		return false
	}
	if s.seen.Busy && s.order == nil {
		// A predecessor's order; nobody knows how long it takes.
		return true
	}
	if w.Item.Adapter != "" && s.seen.Report.Holds(stock.Item{Model: w.Item.Model}) {
		return !s.adapterFits(s.engine.Models[w.Item.Model]) && !slices.ContainsFunc(s.adapters(), func(a stock.Item) bool {
			return s.runningWith(a) == 0
		})
	}
	if w.Item.Adapter != "" || s.used()+s.engine.Models[w.Item.Model].Size <= s.engine.Memory {
		return false
	}
	if o := s.order; o != nil {
		return o.Operation == Unload && s.worth(o.Item.Model) >= inUse
	}
	victim, ok := s.victim(w.Item.Model)
	return ok && s.worth(victim) >= inUse
}

// loads lists the load in progress and those that wait.
func (s *State) loads() []stock.Load {
	var list []stock.Load
	at := s.now
	if o := s.order; o != nil {
		at = o.doneAt
		if o.Operation == Load {
			list = append(list, stock.Load{Item: o.Item, ReadyAt: at})
		}
	}
	for _, w := range s.wants() {
		if s.order != nil && s.order.Item == w.Item || s.heldUp(w) {
			continue
		}
		at = at.Add(s.loadTime(w.Item))
		list = append(list, stock.Load{Item: w.Item, ReadyAt: at})
	}
	return list
}

// wants merges what all routers ask for and the endpoint does not hold, the
// most urgent first.
func (s *State) wants() []stock.Want {
	merged := make(map[stock.Item]stock.Want)
	for id, d := range s.routers {
		if s.now.After(d.until) {
			s.routers[id] = demand{until: d.until}
			continue
		}
		for _, w := range d.Wants {
			if s.seen.Report.Holds(w.Item) || s.now.After(w.Deadline) {
				continue
			}
			merged[w.Item] = mergeWants(merged[w.Item], w)
		}
	}
	list := make([]stock.Want, 0, len(merged))
	for _, w := range merged {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b stock.Want) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority), a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.Item.Model, b.Item.Model), cmp.Compare(a.Item.Adapter, b.Item.Adapter),
		)
	})
	return list
}

func mergeWants(a, b stock.Want) stock.Want {
	if a.Deadline.IsZero() {
		return b
	}
	a.Rate = max(a.Rate, b.Rate)
	a.Priority = min(a.Priority, b.Priority)
	a.Waiting += b.Waiting
	if b.Deadline.Before(a.Deadline) {
		a.Deadline = b.Deadline
	}
	return a
}
