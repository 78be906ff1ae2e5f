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
	// coldAfterIdle is the time without requests for a model after which its next request
	// counts as cold.
	coldAfterIdle = time.Minute
	// coldWindow is the time after a cold request in which further requests for the model
	// count as cold too.
	coldWindow = 10 * time.Second
)

// Result holds the measurements of a replay. Which requests are cold depends only on the
// trace, so that policies can be compared: requests for a model that had none for a minute,
// and those within ten seconds after. A refused cold request counts with its patience as
// its latency.
type Result struct {
	Trace    string `json:"trace"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// ColdRequests is the number of cold requests that ended. ColdP50 and ColdP99 are percentiles
	// of their times to first token in milliseconds.
	ColdRequests int   `json:"cold"`
	ColdP50      int64 `json:"cold-p50-ms"`
	ColdP99      int64 `json:"cold-p99-ms"`
	// WaitedRequests is the number of answered requests that waited for a load. WaitedP99 is the
	// 99th percentile of their times to first token in milliseconds.
	WaitedRequests int   `json:"waited"`
	WaitedP99      int64 `json:"waited-p99-ms"`
	// IdleHours is the accelerator memory held by replicas without running requests,
	// including those being loaded, over time. The unit is hours of a whole accelerator.
	IdleHours float64 `json:"idle-accelerator-hours"`
	// Loads is the number of model loads started, and RefusedRequests the number of refused
	// requests.
	Loads           int `json:"loads"`
	RefusedRequests int `json:"refused"`
	// RefusedFor counts the refused requests by code.
	RefusedFor map[fleet.Code]int `json:"refused-for,omitempty"`
	// LateAnswers is the number of answers that were dropped because their requests had already
	// been refused.
	LateAnswers int `json:"late"`
	// Violations is the number of invariant violations.
	Violations int `json:"invariant-violations"`
	// ViolationDetails describes the first few violations.
	ViolationDetails []string `json:"broken,omitempty"`
}

// maxViolationDetails limits the violations that a result describes.
const maxViolationDetails = 5

// countRefusal counts a refusal in RefusedFor.
func (r *Result) countRefusal(reason fleet.Code) {
	if r.RefusedFor == nil {
		r.RefusedFor = make(map[fleet.Code]int)
	}
	r.RefusedFor[reason]++
}

// recordViolation counts a violation of an invariant and keeps its description.
func (r *Result) recordViolation(detail string) {
	r.Violations++
	if len(r.ViolationDetails) < maxViolationDetails {
		r.ViolationDetails = append(r.ViolationDetails, detail)
	}
}

// coldArrivals reports for each arrival of a trace whether it counts as cold; see Result.
func coldArrivals(t *trace.Trace) []bool {
	lastMS := make(map[fleet.ModelID]int64)
	wokenMS := make(map[fleet.ModelID]int64)
	for i := range t.History {
		h := &t.History[i]
		times := h.Times()
		lastMS[h.Model] = times[len(times)-1].Sub(t.Header.Start).Milliseconds()
	}
	out := make([]bool, len(t.Arrivals))
	for i, a := range t.Arrivals {
		previous, ok := lastMS[a.Model]
		if !ok || a.AtMS-previous >= coldAfterIdle.Milliseconds() {
			wokenMS[a.Model] = a.AtMS
		}
		wokenAt, ok := wokenMS[a.Model]
		out[i] = ok && a.AtMS-wokenAt <= coldWindow.Milliseconds()
		lastMS[a.Model] = a.AtMS
	}
	return out
}

// percentileMS returns the p-th percentile of the times by the nearest-rank method, in
// milliseconds, or 0 if there are none.
func percentileMS(times []time.Duration, p int) int64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	rank := (len(sorted)*p + 99) / 100
	return sorted[max(rank, 1)-1].Milliseconds()
}

// sortedKeys returns the keys of a map, sorted. Iterating in this order keeps replays
// deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
