package trace

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrUnknownScenario is returned for a scenario name that is not known. Its text says
// "shape", as the command-line flag and the JSON of the trace header do.
var ErrUnknownScenario = errors.New("unknown shape")

// scenario defines what is generated for a trace: the site, the period and the faults. On
// the command line and in the JSON of the trace header it is called the shape of the workload.
type scenario struct {
	site *site
	// start is the start of the trace and length its duration.
	start  time.Time
	length time.Duration
	// faults returns the faults to inject; nil means none.
	faults func(g *generator) []Fault
}

// The start times of the scenarios. 2026-09-12 is a Saturday, 2026-09-15 is a Tuesday and a
// salary day, and 2026-09-09 is a Wednesday without a burst at either site.
var (
	saturday    = time.Date(2026, 9, 12, 6, 0, 0, 0, time.UTC)
	salaryDay   = time.Date(2026, 9, 15, 6, 0, 0, 0, time.UTC)
	ordinaryDay = time.Date(2026, 9, 9, 0, 0, 0, 0, time.UTC)
)

// scenarios holds the scenarios by name. The names are used on the command line and in trace
// files.
var scenarios = map[string]scenario{
	"association-saturday": {site: &association, start: saturday, length: 12 * time.Hour},
	"association-ordinary": {site: &association, start: ordinaryDay, length: 24 * time.Hour},
	"karaburun-salary-day": {site: &karaburun, start: salaryDay, length: 12 * time.Hour},
	"karaburun-ordinary":   {site: &karaburun, start: ordinaryDay, length: 24 * time.Hour},
	"host-loss":            {site: &association, start: saturday, length: 5 * time.Hour, faults: hostLossFaults},
	"slow-store":           {site: &karaburun, start: salaryDay, length: 5 * time.Hour, faults: slowStoreFaults},
	"kv-outage":            {site: &association, start: saturday, length: 5 * time.Hour, faults: kvOutageFaults},
}

// Scenarios returns the names of the scenarios, sorted.
func Scenarios() []string {
	var names []string
	for name := range scenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Generate returns the trace of a scenario. The same name and seed always give the same
// trace. The error wraps ErrUnknownScenario.
func Generate(name string, seed uint64) (*Trace, error) {
	s, ok := scenarios[name]
	if !ok {
		return nil, fmt.Errorf("%q: %w, not one of %s", name, ErrUnknownScenario, strings.Join(Scenarios(), ", "))
	}
	g := newGenerator(s, name, seed)
	return g.generate(), nil
}

// openingOffsetMS returns when the site opens on the first day of the trace, in
// milliseconds after the start of the trace.
func (g *generator) openingOffsetMS() int64 {
	day := g.scenario.start.Truncate(day)
	return day.Add(g.scenario.site.openingTime).Sub(g.scenario.start).Milliseconds()
}

// hostLossFaults stops three hosts, 20 s apart, during the burst after the site opens. Each
// is replaced after five minutes.
func hostLossFaults(g *generator) []Fault {
	var out []Fault
	at := g.openingOffsetMS()
	for i, n := range g.newRand("faults").Perm(len(g.endpoints))[:3] {
		start := at + int64(i+1)*20_000
		out = append(out, Fault{Kind: FaultHostLost, AtMS: start, UntilMS: start + 300_000, Host: g.endpoints[n].Host})
	}
	return out
}

// slowStoreFaults slows the weight store by a factor of 4 for one hour, from 10 minutes
// before the site opens.
func slowStoreFaults(g *generator) []Fault {
	at := g.openingOffsetMS() - 600_000
	return []Fault{{Kind: FaultStoreSlow, AtMS: at, UntilMS: at + 3_600_000, Factor: 4}}
}

// kvOutageFaults makes the key-value service unavailable for one hour, from 10 minutes
// before the site opens. 5 minutes after the opening a host is lost, and replaced 5 minutes
// later.
func kvOutageFaults(g *generator) []Fault {
	at := g.openingOffsetMS() - 600_000
	host := g.endpoints[g.newRand("faults").IntN(len(g.endpoints))].Host
	return []Fault{
		{Kind: FaultKVDown, AtMS: at, UntilMS: at + 3_600_000},
		{Kind: FaultHostLost, AtMS: at + 900_000, UntilMS: at + 1_200_000, Host: host},
	}
}
