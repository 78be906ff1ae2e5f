package trace

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrUnknownShape says that there is no such shape.
var ErrUnknownShape = errors.New("unknown shape")

// shape tells which deployment, day and faults a trace has.
type shape struct {
	site *site
	// starts is the first moment of the trace; length is how long it lasts.
	starts time.Time
	length time.Duration
	faults func(g *generator) []Fault
}

// The days of the shapes. 2026-09-12 is a Saturday, 2026-09-15 a salary day
// and a Tuesday, 2026-09-09 an ordinary Wednesday.
var (
	saturday    = time.Date(2026, 9, 12, 6, 0, 0, 0, time.UTC)
	salaryDay   = time.Date(2026, 9, 15, 6, 0, 0, 0, time.UTC)
	ordinaryDay = time.Date(2026, 9, 9, 0, 0, 0, 0, time.UTC)
)

var shapes = map[string]shape{
	"association-saturday": {site: &association, starts: saturday, length: 12 * time.Hour},
	"association-ordinary": {site: &association, starts: ordinaryDay, length: 24 * time.Hour},
	"karaburun-salary-day": {site: &karaburun, starts: salaryDay, length: 12 * time.Hour},
	"karaburun-ordinary":   {site: &karaburun, starts: ordinaryDay, length: 24 * time.Hour},
	"host-loss":            {site: &association, starts: saturday, length: 5 * time.Hour, faults: hostLossFaults},
	"slow-store":           {site: &karaburun, starts: salaryDay, length: 5 * time.Hour, faults: slowStoreFaults},
	"kv-outage":            {site: &association, starts: saturday, length: 5 * time.Hour, faults: kvOutageFaults},
}

// Shapes returns the names of the shapes, sorted.
func Shapes() []string {
	var names []string
	for name := range shapes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Generate makes the trace of a shape; the same shape and seed always give the
// same trace.
func Generate(name string, seed uint64) (*Trace, error) {
	s, ok := shapes[name]
	if !ok {
		return nil, fmt.Errorf("%q: %w, not one of %s", name, ErrUnknownShape, strings.Join(Shapes(), ", "))
	}
	g := newGenerator(s, name, seed)
	return g.generate(), nil
}

// opening returns when the site opens on the day of the trace, in milliseconds
// after its start.
func (g *generator) openingOffsetMS() int64 {
	day := g.shape.starts.Truncate(day)
	return day.Add(g.shape.site.openingTime).Sub(g.shape.starts).Milliseconds()
}

// loseHosts takes three hosts away in the middle of the opening burst; others
// take their place after five minutes.
func hostLossFaults(g *generator) []Fault {
	var out []Fault
	at := g.openingOffsetMS()
	for i, n := range g.rand("faults").Perm(len(g.endpoints))[:3] {
		start := at + int64(i+1)*20_000
		out = append(out, Fault{Kind: FaultHostLost, AtMS: start, UntilMS: start + 300_000, Host: g.endpoints[n].Host})
	}
	return out
}

// slowStore slows the weight store from before the opening for an hour.
func slowStoreFaults(g *generator) []Fault {
	at := g.openingOffsetMS() - 600_000
	return []Fault{{Kind: FaultStoreSlow, AtMS: at, UntilMS: at + 3_600_000, Factor: 4}}
}

// loseKV takes the key-value service away from before the opening for an hour,
// and a host with it.
func kvOutageFaults(g *generator) []Fault {
	at := g.openingOffsetMS() - 600_000
	host := g.endpoints[g.rand("faults").IntN(len(g.endpoints))].Host
	return []Fault{
		{Kind: FaultKVDown, AtMS: at, UntilMS: at + 3_600_000},
		{Kind: FaultHostLost, AtMS: at + 900_000, UntilMS: at + 1_200_000, Host: host},
	}
}
