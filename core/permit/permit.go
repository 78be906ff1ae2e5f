// Package permit orders the loads of a fleet over its shared weight store. One
// router grants permits; agents ask it before they load. It is pure: the caller
// passes the time and sends the decisions.
package permit

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// TTL is how long an ask or a permit lives without being repeated or renewed.
const TTL = 3 * time.Second

// RenewPeriod is how often agents repeat an ask and renew a permit.
const RenewPeriod = time.Second

// probeMargin covers that a load begins and ends up to a period of its agent
// later than it could.
const probeMargin = RenewPeriod

// Limits are those of the weight store.
type Limits struct {
	// PerSecond bounds how many loads begin in a second.
	PerSecond float64
	// AtOnce bounds how many are in progress.
	AtOnce int
}

// spacing is the least time between two grants.
func (l Limits) spacing() time.Duration {
	if l.PerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.PerSecond)
}

// Ask is an agent's wish to load.
type Ask struct {
	ID       fleet.OrderID
	Endpoint fleet.EndpointID
	Model    fleet.ModelID
	// Urgency orders asks; a higher one goes first.
	Urgency int
	// Deadline is when the load must have finished to be of use; zero is never.
	Deadline time.Time
	// Expected is how long the load takes while the store is at full speed.
	Expected time.Duration
}

// Verdict is what became of an ask or a permit.
type Verdict string

// The verdicts. A refused ask can't finish in time; a lapsed one was not
// repeated or renewed.
const (
	Granted Verdict = "granted"
	Refused Verdict = "refused"
	Lapsed  Verdict = "lapsed"
)

// Decision tells an agent what became of its ask.
type Decision struct {
	ID       fleet.OrderID
	Endpoint fleet.EndpointID
	Model    fleet.ModelID
	Verdict  Verdict
	// RenewBy is when a granted permit lapses.
	RenewBy time.Time
}

// item is an ask that waits, or a permit that is held.
type item struct {
	Ask
	askedAt   time.Time
	lapseAt   time.Time
	grantedAt time.Time
	// sharedFrom is the reading of the shared clock at the grant.
	sharedFrom time.Time
	// answer is set when the holder asked again: the grant was lost.
	answer bool
}

func (it *item) held() bool { return !it.grantedAt.IsZero() }

// misses tells whether a load that finishes then is of no use.
func (it *item) misses(finish time.Time) bool {
	return !it.Deadline.IsZero() && finish.After(it.Deadline)
}

// Granter gives out the permits. It must not be used from two goroutines.
type Granter struct {
	limits Limits
	items  map[fleet.OrderID]*item
	// nextAt is when the next load may begin.
	nextAt time.Time
	speed  speed
	clock  sharedClock
}

// NewGranter returns a granter that began now. It grants nothing for one TTL,
// in which the permits of its predecessor are renewed or lapse.
func NewGranter(now time.Time, limits Limits) *Granter {
	return &Granter{
		limits: limits,
		items:  make(map[fleet.OrderID]*item),
		nextAt: now.Add(TTL),
		speed:  newSpeed(limits.AtOnce),
	}
}

// SetLimits takes in changed limits.
func (g *Granter) SetLimits(limits Limits) {
	g.limits = limits
	g.speed.limit(limits.AtOnce)
}

// Ask takes in an ask, or the repetition of one, which may have changed in
// urgency and deadline.
func (g *Granter) Ask(now time.Time, ask Ask) {
	it, ok := g.items[ask.ID]
	if !ok {
		it = &item{askedAt: now}
		g.items[ask.ID] = it
	}
	it.Ask = ask
	it.lapseAt = now.Add(TTL)
	it.answer = it.held()
}

// Renew keeps a permit alive. One that another granter gave is taken over.
func (g *Granter) Renew(now time.Time, ask Ask) {
	g.clock.advance(now, g.InFlight())
	it, ok := g.items[ask.ID]
	if !ok {
		it = &item{Ask: ask, askedAt: now}
		g.items[ask.ID] = it
	}
	if !it.held() {
		g.hold(now, it)
	}
	it.lapseAt = now.Add(TTL)
}

// Done ends an ask or a permit. Took is how long the load took, 0 when it
// failed or was not begun.
func (g *Granter) Done(now time.Time, id fleet.OrderID, took time.Duration) {
	it, ok := g.items[id]
	if !ok {
		return
	}
	g.clock.advance(now, g.InFlight())
	delete(g.items, id)
	if it.held() && took > 0 {
		g.speed.finished(now, took, it.Expected, g.alone(now, it, took))
	}
}

// hold makes an ask a held permit.
func (g *Granter) hold(now time.Time, it *item) {
	it.grantedAt, it.sharedFrom = now, g.clock.reading
}

// alone returns how far the shared clock advanced during a load that took so
// long. Permits are held a little longer than loads take, and one taken over
// from another granter is known for a part of its life only; the mean share
// while it was held stands for the whole.
func (g *Granter) alone(now time.Time, it *item, took time.Duration) time.Duration {
	held := now.Sub(it.grantedAt)
	if held <= 0 {
		return 0
	}
	share := float64(g.clock.reading.Sub(it.sharedFrom)) / float64(held)
	return time.Duration(share * float64(took))
}

// left returns the work that a load in progress has left, as time at full speed.
func (g *Granter) left(now time.Time, it *item, throughput float64) time.Duration {
	got := float64(g.clock.reading.Sub(it.sharedFrom)) * throughput
	done := min(now.Sub(it.grantedAt), time.Duration(got))
	return max(it.Expected-done, 0)
}

// InFlight returns how many permits are held.
func (g *Granter) InFlight() int {
	n := 0
	for _, it := range g.items {
		if it.held() {
			n++
		}
	}
	return n
}

// Estimate returns how long a load that would take expected at full speed
// takes now.
func (g *Granter) Estimate(now time.Time, expected time.Duration) time.Duration {
	return g.speed.estimate(now, expected, g.speed.atOnce(now))
}

// Decide returns the verdicts that are due, in the order of the asks.
func (g *Granter) Decide(now time.Time) []Decision {
	var out []Decision
	g.clock.advance(now, g.InFlight())
	held, waiting := g.sweep(now, &out)
	window := g.speed.atOnce(now)
	free := g.slots(now, held, window)
	at := g.nextAt
	for _, it := range waiting {
		start := latest(now, at, free[0])
		finish := start.Add(g.speed.estimate(now, it.Expected, window))
		if it.misses(finish) {
			delete(g.items, it.ID)
			out = append(out, it.decision(Refused))
			continue
		}
		if !at.After(now) && len(held) == window && g.mayProbe(now, held, it) {
			start = now
		}
		free[0] = finish
		slices.SortFunc(free, time.Time.Compare)
		at = start.Add(g.limits.spacing())
		if !start.After(now) {
			g.hold(now, it)
			g.nextAt = at
			held = append(held, it)
			out = append(out, it.decision(Granted))
		}
	}
	return out
}

// mayProbe tells whether one load more than the window may begin, to see whether
// the store has recovered: it and those in progress finish by their deadlines
// even if the store has not.
func (g *Granter) mayProbe(now time.Time, held []*item, next *item) bool {
	n := len(held) + 1
	if !g.speed.inTime || n > g.limits.AtOnce {
		return false
	}
	by, seen := now.Add(probeMargin), g.speed.seen()
	for _, it := range held {
		if it.misses(by.Add(shared(g.left(now, it, seen), n, seen))) {
			return false
		}
	}
	return !next.misses(by.Add(shared(next.Expected, n, seen)))
}

// WakeAt returns when Decide has to be called next at the latest; zero when
// nothing waits.
func (g *Granter) WakeAt(now time.Time) time.Time {
	var wake time.Time
	sooner := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, it := range g.items {
		sooner(it.lapseAt)
		if !it.held() && g.nextAt.After(now) {
			sooner(g.nextAt)
		}
	}
	return wake
}

// sweep drops what has lapsed, notes the loads that are late, and returns the
// rest in order.
func (g *Granter) sweep(now time.Time, out *[]Decision) (held, waiting []*item) {
	for _, id := range sortedIDs(g.items) {
		it := g.items[id]
		switch {
		case !now.Before(it.lapseAt):
			delete(g.items, id)
			*out = append(*out, it.decision(Lapsed))
		case it.held():
			ran := now.Sub(it.grantedAt)
			g.speed.running(now, ran, it.Expected, g.alone(now, it, ran))
			held = append(held, it)
		default:
			waiting = append(waiting, it)
		}
		if it.answer {
			it.answer = false
			*out = append(*out, it.decision(Granted))
		}
	}
	slices.SortFunc(waiting, compareItems)
	return held, waiting
}

// slots returns when each of the loads that may run at once can begin, soonest
// first.
func (g *Granter) slots(now time.Time, held []*item, window int) []time.Time {
	finish := make([]time.Time, 0, len(held))
	for _, it := range held {
		end := now.Add(g.speed.estimate(now, g.left(now, it, g.speed.at(now)), max(len(held), window)))
		finish = append(finish, latest(end, now.Add(RenewPeriod)))
	}
	slices.SortFunc(finish, time.Time.Compare)
	if over := len(finish) - window; over > 0 {
		return finish[over:]
	}
	free := make([]time.Time, window-len(finish), window)
	for i := range free {
		free[i] = now
	}
	return append(free, finish...)
}

func (it *item) decision(v Verdict) Decision {
	d := Decision{ID: it.ID, Endpoint: it.Endpoint, Model: it.Model, Verdict: v}
	if v == Granted {
		d.RenewBy = it.lapseAt
	}
	return d
}

// compareItems orders by urgency, then by deadline, then by age.
func compareItems(a, b *item) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency),
		compareDeadlines(a.Deadline, b.Deadline),
		a.askedAt.Compare(b.askedAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareDeadlines puts the zero deadline last.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		return cmp.Compare(btoi(a.IsZero()), btoi(b.IsZero()))
	}
	return a.Compare(b)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func latest(first time.Time, more ...time.Time) time.Time {
	for _, t := range more {
		if t.After(first) {
			first = t
		}
	}
	return first
}

func sortedIDs(items map[fleet.OrderID]*item) []fleet.OrderID {
	ids := make([]fleet.OrderID, 0, len(items))
	for id := range items {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
