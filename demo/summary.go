package demo

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"chervilreach/core/fleet"
)

// Summary contains the results of a run of the demo.
type Summary struct {
	RequestCount         int            `json:"requests"`
	AnsweredRequestCount int            `json:"answered"`
	Refused              []RefusalCount `json:"refused"`
	LoadCount            int            `json:"loads"`
	// ColdP50MS and ColdP99MS are percentiles of the time to the first byte, in
	// milliseconds, over the answered requests to models, which were cold at the start of
	// the burst.
	ColdP50MS int64 `json:"cold-p50-ms"`
	ColdP99MS int64 `json:"cold-p99-ms"`
	// IdleSeconds is the accelerator time during which loaded models had no requests.
	IdleSeconds float64 `json:"idle-accelerator-seconds"`
	// Violations is the total number of failures over all checks.
	ViolationCount int     `json:"invariant-violations"`
	Checks         []Check `json:"checks"`
}

// RefusalCount is the number of refusals with one code.
type RefusalCount struct {
	Code  fleet.Code `json:"code"`
	Count int        `json:"count"`
	// Detail is the detail of the first refusal with this code.
	Detail string `json:"detail"`
}

// Range and precision of the histogram of times, in milliseconds, and the reported
// percentiles.
const (
	minMS             = 1
	maxMS             = 10 * 60 * 1000
	significantDigits = 3
	medianPercentile  = 50
	tailPercentile    = 99
)

// summarize aggregates the results and checks the invariants.
func (f *Fleet) summarize(results []result) Summary {
	sum := Summary{RequestCount: len(results), Refused: []RefusalCount{}}
	cold := hdrhistogram.New(minMS, maxMS, significantDigits)
	for _, r := range results {
		switch {
		case r.status == http.StatusOK && r.err == nil:
			sum.AnsweredRequestCount++
			if r.job.model != "" {
				_ = cold.RecordValue(max(r.ttfb.Milliseconds(), minMS))
			}
		default:
			sum.addRefusal(r)
		}
	}
	sum.ColdP50MS = cold.ValueAtPercentile(medianPercentile)
	sum.ColdP99MS = cold.ValueAtPercentile(tailPercentile)
	var total time.Duration
	for _, e := range f.Endpoints {
		sum.LoadCount += len(e.Engine.Loads())
		total += idleTime(e.Engine)
	}
	sum.IdleSeconds = total.Seconds()
	sum.Checks = f.checkInvariants(results)
	sum.ViolationCount = lo.SumBy(sum.Checks, func(c Check) int { return len(c.Failures) })
	return sum
}

// codeConnectionLost is the code in the summary for requests that failed without a refusal.
const codeConnectionLost fleet.Code = "connection-lost"

// addRefusal counts a request that was not answered.
func (s *Summary) addRefusal(r result) {
	code := cmp.Or(r.code, codeConnectionLost)
	i := slices.IndexFunc(s.Refused, func(x RefusalCount) bool { return x.Code == code })
	if i < 0 {
		s.Refused = append(s.Refused, RefusalCount{Code: code, Detail: r.detail})
		i = len(s.Refused) - 1
	}
	s.Refused[i].Count++
}

// print prints the summary to the output of r.
func (s *Summary) print(r Run) {
	r.printf("\n%d requests: %d answered, %d refused", s.RequestCount, s.AnsweredRequestCount, s.RequestCount-s.AnsweredRequestCount)
	for _, refused := range s.Refused {
		r.printf("  refused as %s: %d (%s)", refused.Code, refused.Count, refused.Detail)
	}
	r.printf("%d loads; time to the first byte of cold models: p50 %d ms, p99 %d ms", s.LoadCount, s.ColdP50MS, s.ColdP99MS)
	r.printf("idle accelerator seconds: %.1f", s.IdleSeconds)
	for _, c := range s.Checks {
		verdict := "held"
		if len(c.Failures) > 0 {
			verdict = "BROKEN"
		}
		r.printf("  %-30s %-7s %d checks", c.Name, verdict, c.EvaluationCount)
		for _, b := range c.Failures {
			r.printf("    %s", b)
		}
	}
}
