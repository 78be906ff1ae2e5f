package trace

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// generator generates one trace. Each part of a trace draws from a random number generator
// of its own, so that an additional draw in one part does not change the others.
type generator struct {
	scenario  scenario
	name      string
	seed      uint64
	models    []record.Model
	endpoints []Endpoint
}

// newGenerator returns a generator that has generated its endpoints and models. name is the
// name of the scenario.
func newGenerator(s scenario, name string, seed uint64) *generator {
	g := &generator{scenario: s, name: name, seed: seed}
	g.makeEndpoints()
	g.makeModels()
	return g
}

// newRand returns the random number generator for one part of the generation, such as the
// models or the faults. It is seeded with the name of the site and not of the scenario, so
// that all traces of a site and seed have the same models and usage patterns. The name of
// the part is in the seed too: a changed name changes the traces.
func (g *generator) newRand(part string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(g.scenario.site.name + "/" + part))
	return rand.New(rand.NewPCG(g.seed, h.Sum64()))
}

// makeEndpoints generates the endpoints, one on each host, and spreads them over the
// failure domains.
func (g *generator) makeEndpoints() {
	s := g.scenario.site
	for i := range s.endpointCount {
		g.endpoints = append(g.endpoints, Endpoint{
			ID:            fleet.EndpointID(fmt.Sprintf("e%02d", i+1)),
			Host:          fleet.HostID(fmt.Sprintf("h%02d", i+1)),
			FailureDomain: s.failureDomains[i%len(s.failureDomains)],
			Memory:        80 * fleet.GiB,
		})
	}
}

// makeModels generates the models and assigns the adapters to random models.
func (g *generator) makeModels() {
	s, r := g.scenario.site, g.newRand("models")
	for i := range s.modelCount {
		m := record.Model{
			ID:          fleet.MakeModelID(fmt.Sprintf("m%02d", i+1), "1"),
			Weights:     fleet.Bytes(6+r.IntN(19)) * fleet.GiB,
			KVCache:     2 * fleet.GiB,
			WarmLimit:   1 + r.IntN(3),
			DefaultKind: s.kinds[r.IntN(len(s.kinds))].ID,
		}
		for range 2 {
			if n := r.IntN(2 * s.endpointCount); n < s.endpointCount {
				m.CachedOn = append(m.CachedOn, g.endpoints[n].Host)
			}
		}
		g.models = append(g.models, m)
	}
	for i := range s.adapterCount {
		m := &g.models[r.IntN(s.modelCount)]
		if m.Adapters == nil {
			m.Adapters = make(map[fleet.AdapterID]fleet.Bytes)
		}
		m.Adapters[fleet.AdapterID(fmt.Sprintf("a%02d", i+1))] = fleet.Bytes(64+r.IntN(192)) * fleet.MiB
	}
}

// generate returns the complete trace.
func (g *generator) generate() *Trace {
	s := g.scenario
	t := &Trace{Header: Header{
		Format: Format, Scenario: g.name, Seed: g.seed,
		Start: s.start, End: s.start.Add(s.length),
		Deployment: s.site.deployment, Kinds: s.site.kinds,
		Models: g.models, Endpoints: g.endpoints,
		WeightStore: WeightStore{FixedMS: 5000, BytesPerSecond: 6 * fleet.GiB},
	}}
	for i, m := range g.models {
		arrivalTimes := g.arrivalTimes(i)
		split, _ := slices.BinarySearchFunc(arrivalTimes, s.start, time.Time.Compare)
		if split > 0 {
			t.History = append(t.History, newHistory(m.ID, arrivalTimes[:split]))
		}
		t.Arrivals = append(t.Arrivals, g.arrivals(m, arrivalTimes[split:])...)
	}
	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return int(a.AtMS - b.AtMS) })
	if s.faults != nil {
		t.Faults = s.faults(g)
	}
	return t
}

// newHistory returns the history of a model, with times truncated to seconds. times must be
// sorted and not empty.
func newHistory(m fleet.ModelID, times []time.Time) History {
	h := History{Model: m, First: times[0].Truncate(time.Second)}
	last := h.First
	for _, at := range times[1:] {
		at = at.Truncate(time.Second)
		h.Gaps = append(h.Gaps, int64(at.Sub(last)/time.Second))
		last = at
	}
	return h
}

// usageOf returns the usage pattern of the nth model and the time of day of its scheduled
// sessions. The models are shuffled and then split among the patterns in proportion to
// their shares, so that each pattern gets its share exactly, up to rounding.
func (g *generator) usageOf(n int) (usagePattern, time.Duration) {
	// The name "habits" is part of the seed, so that it must not change.
	r := g.newRand("habits")
	order := r.Perm(len(g.models))
	scheduledTimes := make([]time.Duration, len(g.models))
	for i := range scheduledTimes {
		scheduledTimes[i] = workdayStart + time.Duration(r.IntN(40))*15*time.Minute
	}
	quantile := float64(order[n]) / float64(len(g.models))
	for _, p := range usagePatterns {
		if quantile < p.modelShare {
			return p, scheduledTimes[n]
		}
		quantile -= p.modelShare
	}
	return usagePatterns[len(usagePatterns)-1], scheduledTimes[n]
}

// arrivalTimes returns the times of the requests for the nth model, from the beginning of
// the history to the end of the trace, sorted.
func (g *generator) arrivalTimes(n int) []time.Time {
	p, scheduledAt := g.usageOf(n)
	end := g.scenario.start.Add(g.scenario.length)
	var out []time.Time
	first := g.scenario.start.Truncate(day).Add(-historyDays * day)
	for date := first; date.Before(end); date = date.Add(day) {
		r := g.newRand(fmt.Sprintf("day/%d/%s", n, date.Format(time.DateOnly)))
		out = append(out, g.dayArrivalTimes(r, p, scheduledAt, date)...)
	}
	out = slices.DeleteFunc(out, func(at time.Time) bool { return !at.Before(end) })
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// dayArrivalTimes returns the times of the requests for a model on one date, unsorted.
// scheduledAt is the time of day of scheduled sessions.
func (g *generator) dayArrivalTimes(r *rand.Rand, p usagePattern, scheduledAt time.Duration, date time.Time) []time.Time {
	s := g.scenario.site
	busyDay := s.busyDay(date)
	activity := 1.0
	switch weekday := date.Weekday(); {
	case busyDay:
		activity = busyDayFactor
	case weekday == time.Saturday || weekday == time.Sunday:
		activity = s.weekendFactor
	}
	var out []time.Time
	for range poisson(r, p.sessionsPerDay*activity) {
		at := workdayStart + time.Duration(r.Float64()*float64(workdayEnd-workdayStart))
		out = append(out, sessionTimes(r, date.Add(at))...)
	}
	if r.Float64() < p.scheduledChance*min(activity, 1) {
		out = append(out, sessionTimes(r, date.Add(scheduledAt+time.Duration(r.NormFloat64()*float64(scheduledSpread))))...)
	}
	if busyDay && r.Float64() < p.burstChance {
		out = append(out, burstTimes(r, date.Add(s.openingTime))...)
	}
	return out
}

// sessionTimes returns the times of the requests of one session that starts at the given time.
// The number of requests has a geometric distribution.
func sessionTimes(r *rand.Rand, at time.Time) []time.Time {
	out := []time.Time{at}
	for r.Float64() < 1-1.0/meanSessionRequests {
		gap := time.Duration(float64(medianSessionGap) * math.Exp(r.NormFloat64()*sessionGapSigma))
		at = at.Add(min(gap, maxSessionGap))
		out = append(out, at)
	}
	return out
}

// burstTimes returns the times of the requests for a model in a burst: several that arrive
// almost together after the opening, and a session that starts one minute after the first.
func burstTimes(r *rand.Rand, opening time.Time) []time.Time {
	at := opening.Add(time.Duration(r.ExpFloat64() * float64(meanBurstDelay)))
	var out []time.Time
	for range 1 + poisson(r, meanBurstRequests-1) {
		out = append(out, at.Add(time.Duration(r.Float64()*float64(maxBurstDuration))))
	}
	return append(out, sessionTimes(r, at.Add(time.Minute))...)
}

// arrivals returns requests for model m at the given times, with random adapters and
// lengths.
func (g *generator) arrivals(m record.Model, times []time.Time) []Arrival {
	r := g.newRand("requests/" + string(m.ID))
	var adapters []fleet.AdapterID
	for a := range m.Adapters {
		adapters = append(adapters, a)
	}
	slices.Sort(adapters)
	var out []Arrival
	for _, at := range times {
		a := Arrival{
			AtMS:         at.Sub(g.scenario.start).Milliseconds(),
			Model:        m.ID,
			Kind:         m.DefaultKind,
			PromptTokens: 100 + r.IntN(1900),
			OutputTokens: 30 + r.IntN(270),
		}
		if n := r.IntN(len(adapters) + 1); n < len(adapters) {
			a.Adapter = adapters[n]
		}
		out = append(out, a)
	}
	return out
}

// poisson returns a random number with a Poisson distribution (Knuth, The Art of Computer
// Programming 2, 3.4.1).
func poisson(r *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := r.Float64(); p > limit; p *= r.Float64() {
		n++
	}
	return n
}
