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

// Summary is what came of a run.
type Summary struct {
	Requests int       `json:"requests"`
	Answered int       `json:"answered"`
	Refused  []Refused `json:"refused"`
	Loads    int       `json:"loads"`
	// ColdP50Ms and ColdP99Ms are the times to the first byte of the requests
	// that began while their model was cold, in milliseconds.
	ColdP50MS   int64   `json:"cold-p50-ms"`
	ColdP99MS   int64   `json:"cold-p99-ms"`
	IdleSeconds float64 `json:"idle-accelerator-seconds"`
	Violations  int     `json:"invariant-violations"`
	Checks      []Check `json:"checks"`
}

// Refused counts the refusals with one code.
type Refused struct {
	Code  fleet.Code `json:"code"`
	Count int        `json:"count"`
	// Detail is that of the first one.
	Detail string `json:"detail"`
}

// Range of the histogram of times, in milliseconds.
const (
	minMS             = 1
	maxMS             = 10 * 60 * 1000
	significantDigits = 3
	medianPercentile  = 50
	tailPercentile    = 99
)

// summarize adds up the results and checks what must hold.
func (f *Fleet) summarize(results []result) Summary {
	sum := Summary{Requests: len(results), Refused: []Refused{}}
	cold := hdrhistogram.New(minMS, maxMS, significantDigits)
	for _, r := range results {
		switch {
		case r.status == http.StatusOK && r.err == nil:
			sum.Answered++
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
		sum.Loads += len(e.Engine.Loads())
		total += idleTime(e.Engine)
	}
	sum.IdleSeconds = total.Seconds()
	sum.Checks = f.checks(results)
	sum.Violations = lo.SumBy(sum.Checks, func(c Check) int { return len(c.Failures) })
	return sum
}

// codeNone stands for requests that ended without a refusal's body.
const codeConnectionLost fleet.Code = "connection-lost"

func (s *Summary) addRefusal(r result) {
	code := cmp.Or(r.code, codeConnectionLost)
	i := slices.IndexFunc(s.Refused, func(x Refused) bool { return x.Code == code })
	if i < 0 {
		s.Refused = append(s.Refused, Refused{Code: code, Detail: r.detail})
		i = len(s.Refused) - 1
	}
	s.Refused[i].Count++
}

func (s *Summary) print(r Run) {
	r.printf("\n%d requests: %d answered, %d refused", s.Requests, s.Answered, s.Requests-s.Answered)
	for _, refused := range s.Refused {
		r.printf("  refused as %s: %d (%s)", refused.Code, refused.Count, refused.Detail)
	}
	r.printf("%d loads; time to the first byte of cold models: p50 %d ms, p99 %d ms", s.Loads, s.ColdP50MS, s.ColdP99MS)
	r.printf("idle accelerator seconds: %.1f", s.IdleSeconds)
	for _, c := range s.Checks {
		verdict := "held"
		if len(c.Failures) > 0 {
			verdict = "BROKEN"
		}
		r.printf("  %-30s %-7s %d checks", c.Name, verdict, c.Evaluations)
		for _, b := range c.Failures {
			r.printf("    %s", b)
		}
	}
}
