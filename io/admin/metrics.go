package admin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of distributions that are reported.
var quantiles = []float64{0.5, 0.95, 0.99}

// Metrics contains the values of a registry, each list sorted by name.
type Metrics struct {
	Counters      []Counter      `json:"counters"`
	Gauges        []Gauge        `json:"gauges"`
	Distributions []Distribution `json:"distributions"`
}

// Counter is a metric that never decreases while the process runs.
type Counter struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// Gauge is a metric that is the current value of a quantity.
type Gauge struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Distribution summarizes the samples of a histogram or a timer. Count includes all
// samples since the start of the process; the other values are of the samples that the
// registry keeps. The values of timers are in nanoseconds.
type Distribution struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	Max   float64 `json:"max"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// ReadMetrics returns the current values of all metrics in the registry. A meter is
// returned as a counter.
func ReadMetrics(registry metrics.Registry) Metrics {
	m := Metrics{Counters: []Counter{}, Gauges: []Gauge{}, Distributions: []Distribution{}}
	registry.Each(func(name string, metric any) {
		switch v := metric.(type) {
		case metrics.Counter:
			m.Counters = append(m.Counters, Counter{Name: name, Count: v.Count()})
		case metrics.Meter:
			m.Counters = append(m.Counters, Counter{Name: name, Count: v.Snapshot().Count()})
		case metrics.Gauge:
			m.Gauges = append(m.Gauges, Gauge{Name: name, Value: float64(v.Value())})
		case metrics.GaugeFloat64:
			m.Gauges = append(m.Gauges, Gauge{Name: name, Value: v.Value()})
		case metrics.Histogram:
			m.Distributions = append(m.Distributions, newDistribution(name, v.Snapshot()))
		case metrics.Timer:
			m.Distributions = append(m.Distributions, newDistribution(name, v.Snapshot()))
		}
	})
	slices.SortFunc(m.Counters, func(a, b Counter) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Gauges, func(a, b Gauge) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Distributions, func(a, b Distribution) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// sampleSnapshot contains the methods that snapshots of histograms and timers share.
type sampleSnapshot interface {
	Count() int64
	Sum() int64
	Max() int64
	Percentiles(ps []float64) []float64
}

// newDistribution returns the summary of a snapshot.
func newDistribution(name string, s sampleSnapshot) Distribution {
	ps := s.Percentiles(quantiles)
	return Distribution{
		Name:  name,
		Count: s.Count(),
		Sum:   float64(s.Sum()),
		Max:   float64(s.Max()),
		P50:   ps[0],
		P95:   ps[1],
		P99:   ps[2],
	}
}

// WriteJSON writes the metrics as one JSON object.
func (m Metrics) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(m); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// WriteText writes the metrics in the text format of Prometheus, with underscores in
// place of the hyphens in names.
func (m Metrics) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, c := range m.Counters {
		name := prometheusName(c.Name)
		fmt.Fprintf(&b, "# TYPE %s counter\n%s %d\n", name, name, c.Count)
	}
	for _, g := range m.Gauges {
		name := prometheusName(g.Name)
		fmt.Fprintf(&b, "# TYPE %s gauge\n%s %g\n", name, name, g.Value)
	}
	for _, d := range m.Distributions {
		name := prometheusName(d.Name)
		fmt.Fprintf(&b, "# TYPE %s summary\n", name)
		for i, value := range []float64{d.P50, d.P95, d.P99} {
			fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
		}
		fmt.Fprintf(&b, "%s_sum %g\n%s_count %d\n", name, d.Sum, name, d.Count)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// prometheusName converts the name of a metric to one that is valid in the text format
// of Prometheus.
func prometheusName(name string) string {
	return "chervilreach_" + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
