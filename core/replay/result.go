package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/trace"
)

const (
	// wokenAfter is how long a model had no request before one that wakes it.
	coldAfterIdle = time.Minute
	// wokenWithin is how long after such a request others count with it.
	coldWindow = 10 * time.Second
)

// Result is what a replay measured. The cold requests are the same under all
// policies: those for a model that had no request for a minute, and those that
// came within ten seconds after. One that is refused counts with its patience.
type Result struct {
	Trace    string `json:"trace"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Cold     int    `json:"cold"`
	ColdP50  int64  `json:"cold-p50-ms"`
	ColdP99  int64  `json:"cold-p99-ms"`
	// Waited counts the requests that waited for a load, and WaitedP99 is the
	// percentile of these alone.
	Waited    int   `json:"waited"`
	WaitedP99 int64 `json:"waited-p99-ms"`
	// IdleHours sums the accelerator memory held by replicas that run nothing,
	// loading ones included, in hours of a whole accelerator.
	IdleHours float64 `json:"idle-accelerator-hours"`
	Loads     int     `json:"loads"`
	Refused   int     `json:"refused"`
	// RefusedFor counts the refusals by reason.
	RefusedFor map[fleet.Code]int `json:"refused-for,omitempty"`
	// Late counts the answers that came after their request had been refused at
	// its deadline; they are dropped.
	Late       int `json:"late"`
	Violations int `json:"invariant-violations"`
	// Broken names the violations, at most a few.
	ViolationDetails []string `json:"broken,omitempty"`
}

// brokenKept bounds the violations that a result names.
const maxViolationDetails = 5

func (r *Result) countRefusal(reason fleet.Code) {
	if r.RefusedFor == nil {
		r.RefusedFor = make(map[fleet.Code]int)
	}
	r.RefusedFor[reason]++
}

// violate counts a broken invariant.
func (r *Result) recordViolation(what string) {
	r.Violations++
	if len(r.ViolationDetails) < maxViolationDetails {
		r.ViolationDetails = append(r.ViolationDetails, what)
	}
}

// coldOnes tells which arrivals of a trace are cold.
func coldArrivals(t *trace.Trace) []bool {
	last := make(map[fleet.ModelID]int64)
	woken := make(map[fleet.ModelID]int64)
	for i := range t.History {
		h := &t.History[i]
		times := h.Times()
		last[h.Model] = times[len(times)-1].Sub(t.Header.Starts).Milliseconds()
	}
	out := make([]bool, len(t.Arrivals))
	for i, a := range t.Arrivals {
		before, ok := last[a.Model]
		if !ok || a.AtMS-before >= coldAfterIdle.Milliseconds() {
			woken[a.Model] = a.AtMS
		}
		since, ok := woken[a.Model]
		out[i] = ok && a.AtMS-since <= coldWindow.Milliseconds()
		last[a.Model] = a.AtMS
	}
	return out
}

// percentile returns the nearest-rank percentile in milliseconds; 0 for none.
func percentileMS(times []time.Duration, p int) int64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	rank := (len(sorted)*p + 99) / 100
	return sorted[max(rank, 1)-1].Milliseconds()
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
