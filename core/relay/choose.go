package relay

import (
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// crossDomain is the cost of an endpoint in another failure domain, in ms: the
	// way there and back, and the price of the bytes.
	crossDomain = 6.0
	// perRunning is what each running request adds to the time to a first event,
	// in ms: it shares the steps of the batch.
	perRunning = 1.5
	// perFailure is the cost of an attempt that fails, in ms.
	perFailure = 1500.0
	// queueMost is how many requests beyond its slots an endpoint is sent, in
	// sixteenths of the slots: enough that a slot never stands empty.
	queueMost = 2
	// pacingRouters is how many routers are taken to send prompts to one endpoint at
	// the same moment, at most.
	pacingRouters = 2
	// avoidCost is the cost of an endpoint that failed lately, in ms; it is used
	// only if there is no other.
	avoidCost = 1e6
	// memoryCost is the cost of an endpoint whose memory for prompts is full, in
	// ms: about the time until a request ends.
	memoryCost = 1000.0
)

// choose returns the endpoint that is likely to answer first and may serve the
// request now; nil if there is none.
func (s *State) choose(r *request) (*endpoint, Basis) {
	var best *endpoint
	least, candidates := 0.0, 0
	reader, kept := s.prompts.kept(r)
	for _, e := range s.candidates(r.Service, r.Item.Model) {
		if !s.serves(e, r) || e.full() || s.wouldStall(e, r) {
			continue
		}
		candidates++
		unread := r.TokensIn
		if e.Instance == reader {
			unread -= kept
		}
		if cost := s.cost(e, r, unread); best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil {
		return nil, Basis{}
	}
	basis := Basis{
		Candidates: candidates, Cost: time.Duration(least * float64(time.Millisecond)),
		Load: best.load(), ReportedAt: best.reportedAt,
	}
	if s.table != nil {
		basis.Routes = s.table.Version
	}
	return best, basis
}

// serves says whether an endpoint may be sent the request at all.
func (s *State) serves(e *endpoint, r *request) bool {
	if e.Service != r.Service || e.Leaving || slices.Contains(r.avoid, e.Instance) {
		return false
	}
	if r.Item.Model == "" || s.table.Engine(e.Service) == nil {
		return true
	}
	return e.confirmed(s.now) && e.Stock.Holds(r.Item)
}

// wouldStall says whether one more prompt would have the streams of an endpoint
// pause for too long: prompts are read between the steps of streams.
func (s *State) wouldStall(e *endpoint, r *request) bool {
	if e.unread <= 0 || r.Route.MaxGap == 0 {
		return false
	}
	share := min(max(s.budget.routers, 1), pacingRouters)
	most := msOf(r.Route.MaxGap) * e.speed / float64(share)
	return float64(e.unread+r.TokensIn) > most
}

// full says whether an endpoint has as many requests as it can use.
func (e *endpoint) full() bool {
	return e.Slots > 0 && e.load() >= e.Slots+max(e.Slots*queueMost/16, 1)
}

// cost estimates the time to the first event, in ms, where so many tokens of the
// prompt are to be read.
func (s *State) cost(e *endpoint, r *request, unread int) float64 {
	cost := e.failures * perFailure
	if e.FailureDomain != s.cfg.FailureDomain {
		cost += crossDomain
	}
	if s.partial() && !e.hasAgent && e.HasModels {
		cost += unseenCost * (1 + e.rank)
	}
	if s.now.Before(e.avoidUntil) {
		cost += avoidCost
	}
	if r.Item.Model == "" {
		return cost + float64(e.load())/float64(max(e.Slots, 1))*msOf(r.Route.Objective)
	}
	unread += e.unread
	if e.hasAgent && e.Stock.Waiting > 0 {
		unread += e.Stock.Waiting * r.TokensIn
	}
	if total := e.Stock.KVTotal; total > 0 && e.Stock.KVUsed+e.unread+r.TokensIn+r.TokensOut > total {
		cost += memoryCost
	}
	return cost + float64(unread)/max(e.speed, 0.1) + perRunning*float64(e.load())
}

// holders returns how many endpoints hold the item and may be used.
func (s *State) holders(service string, item stock.Item) int {
	n := 0
	for _, e := range s.candidates(service, item.Model) {
		if !e.Leaving && e.Stock.Holds(item) {
			n++
		}
	}
	return n
}

func msOf(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
