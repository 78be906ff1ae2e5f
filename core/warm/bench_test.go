package warm_test

import (
	"fmt"
	"testing"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/warm"

	"github.com/stretchr/testify/require"
)

// maxDecisionAllocs limits the allocations of a decision whose forecasts are cached.
const maxDecisionAllocs = 0

// trainedPolicy returns a policy trained with five weeks of requests for 25 models, as many
// models as one endpoint is expected to have in two years.
func trainedPolicy() *warm.Learned {
	l := warm.NewLearned(0.5)
	for d := range 35 {
		for m := range 25 {
			at := monday.AddDate(0, 0, d-35).Add(8*time.Hour + time.Duration(m)*time.Minute)
			for i := range 20 {
				l.RecordArrival(modelID(m), at.Add(time.Duration(i)*20*time.Minute))
			}
		}
	}
	return l
}

func modelID(n int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("m%d@1", n)) }

func BenchmarkLearned(b *testing.B) {
	l := trainedPolicy()
	now := monday.Add(7 * time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		l.KeepUntil("m1@1", now, loadTime)
		l.PrewarmAt("m1@1", now, loadTime)
	}
}

// TestLearnedAllocations limits the allocations of decisions whose forecasts are cached.
func TestLearnedAllocations(t *testing.T) {
	l := trainedPolicy()
	now := monday.Add(7 * time.Hour)
	l.PrewarmAt("m1@1", now, loadTime)
	got := testing.AllocsPerRun(100, func() {
		l.KeepUntil("m1@1", now, loadTime)
		l.PrewarmAt("m1@1", now, loadTime)
	})
	require.LessOrEqual(t, got, float64(maxDecisionAllocs))
}
