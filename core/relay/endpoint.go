package relay

import (
	"slices"
	"time"

	"chervilreach/core/stock"
)

const (
	// failureWeight is the weight of the latest attempt in an endpoint's rate of
	// failures.
	failureWeight = 0.2
	// ejectRate is the rate of failures from which an endpoint gets no requests
	// while another one can serve, and ejectTime how long.
	ejectRate = 0.5
	ejectTime = 2 * time.Second
	// unreachableTime is how long an endpoint that can't be reached is left out.
	unreachableTime = 700 * time.Millisecond
	// confirmTime is how long the agent beside a newly listed endpoint may take to
	// report before the endpoint is used without.
	confirmTime = 1500 * time.Millisecond
	// speedWeight is the weight of the latest prompt in the speed of reading.
	speedWeight = 0.1
	// firstSpeed is assumed until a prompt has been read, in tokens per ms: slower
	// than present accelerators, so that load is spread at first.
	firstSpeed = 10.0
)

// endpoint is what a router knows of one endpoint.
type endpoint struct {
	Member
	hasAgent bool
	// listedAt is when the endpoint was first seen on the list.
	listedAt time.Time
	// reportedAt is when the agent last reported.
	reportedAt time.Time
	// running, unread: this router's attempts, and the tokens of prompts among
	// them that have not begun to answer.
	running, unread int
	// models counts this router's attempts by model, adapters by adapter.
	models   map[string]int
	adapters map[stock.Item]int
	// since counts attempts sent since the agent's last report and before that
	// one, which the report may not tell of.
	since, before int
	// sparse says that reports come seldom; others is then how many requests of other
	// routers the engine had at the last one.
	sparse     bool
	others     int
	failures   float64
	avoidUntil time.Time
	// rank orders endpoints that are equal otherwise, from 0 to 1, in a way of this
	// router's own.
	rank float64
	// speed is how fast prompts are read, in tokens per ms.
	speed float64
	// listed is what the list tells of the endpoint's models.
	listed stock.Report
	// asked is what the agent was told last.
	asked stock.Demand
}

func newEndpoint(m Member, now time.Time) *endpoint {
	return &endpoint{Member: m, listed: m.Stock, listedAt: now, models: make(map[string]int), adapters: make(map[stock.Item]int), speed: firstSpeed}
}

// bornAgain says whether an entry is of a later incarnation under the same name,
// which knows nothing of before.
func (e *endpoint) bornAgain(m Member) bool {
	return m.Born != 0 && e.Born != 0 && m.Born != e.Born
}

// sameEntry says whether the platform's entry tells nothing new.
func (e *endpoint) sameEntry(m Member) bool {
	return e.Service == m.Service && e.Address == m.Address && e.FailureDomain == m.FailureDomain &&
		e.Slots == m.Slots && e.Leaving == m.Leaving && e.HasModels == m.HasModels && e.Born == m.Born &&
		slices.EqualFunc(e.listed.Models, m.Stock.Models, stock.Held.Equal) && e.listed.Copies.Equal(m.Stock.Copies)
}

// update takes in the platform's entry. An agent's report is newer than what
// the entry says of models.
func (e *endpoint) update(m Member) {
	held := e.Stock
	e.Member, e.listed = m, m.Stock
	if e.hasAgent {
		e.Stock = held
		return
	}
	if m.Stock.Copies.None() {
		e.Stock.Copies = held.Copies
	}
}

func (e *endpoint) report(r stock.Report, now time.Time) {
	e.reportedAt = now
	if r.Copies.None() {
		r.Copies = e.Stock.Copies
	}
	e.Stock = r
	e.hasAgent = true
	e.since, e.before = 0, e.since
	e.others = max(r.Running+r.Waiting-e.running, 0)
	if r.Leaving {
		e.Leaving = true
	}
}

func (e *endpoint) add(r *request) {
	e.running++
	e.since++
	e.unread += r.TokensIn
	e.models[r.Item.Model]++
	if r.Item.Adapter != "" {
		e.adapters[r.Item]++
	}
}

func (e *endpoint) remove(r *request) {
	e.running--
	if !r.began {
		e.unread -= r.TokensIn
	}
	if e.models[r.Item.Model]--; e.models[r.Item.Model] <= 0 {
		delete(e.models, r.Item.Model)
	}
	if r.Item.Adapter == "" {
		return
	}
	if e.adapters[r.Item]--; e.adapters[r.Item] <= 0 {
		delete(e.adapters, r.Item)
	}
}

// begun takes a prompt as read.
func (e *endpoint) begun(r *request, now time.Time) {
	e.unread -= r.TokensIn
	took := float64(now.Sub(r.sentAt)) / float64(time.Millisecond)
	if r.TokensIn > 0 && took > 0 {
		e.speed += speedWeight * (float64(r.TokensIn)/took - e.speed)
	}
}

// attempted takes in how an attempt went.
func (e *endpoint) attempted(failed bool, now time.Time) {
	e.failures *= 1 - failureWeight
	if !failed {
		return
	}
	e.failures += failureWeight
	if e.failures > ejectRate {
		e.avoidUntil = now.Add(ejectTime)
	}
}

// confirmed says whether an endpoint with models is known to live: its agent has
// reported, or has had the time to. Entries outlast endpoints by some seconds.
func (e *endpoint) confirmed(now time.Time) bool {
	return !e.HasModels || !e.reportedAt.IsZero() || !now.Before(e.listedAt.Add(confirmTime))
}

// load is how many requests the engine has, from all routers, as far as known.
func (e *endpoint) load() int {
	if !e.hasAgent {
		return e.running
	}
	if e.sparse {
		return e.others + e.running
	}
	return max(e.Stock.Running+e.Stock.Waiting+e.since+e.before, e.running)
}
