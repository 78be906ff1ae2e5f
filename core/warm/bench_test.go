package warm_test

import (
	"fmt"
	"testing"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/warm"

	"github.com/stretchr/testify/require"
)

// keepAllocs bounds the allocations of one decision on a known day.
const keepAllocs = 0

// learned returns a keeper that knows five weeks of 25 models, as many as two
// years hence fall to one endpoint.
func learned() *warm.Learned {
	l := warm.NewLearned(0.5)
	for d := range 35 {
		for m := range 25 {
			at := monday.AddDate(0, 0, d-35).Add(8*time.Hour + time.Duration(m)*time.Minute)
			for i := range 20 {
				l.RecordArrival(model(m), at.Add(time.Duration(i)*20*time.Minute))
			}
		}
	}
	return l
}

func model(n int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("m%d@1", n)) }

func BenchmarkLearned(b *testing.B) {
	l := learned()
	now := monday.Add(7 * time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		l.KeepUntil("m1@1", now, reload)
		l.PrewarmAt("m1@1", now, reload)
	}
}

func TestLearnedAllocations(t *testing.T) {
	l := learned()
	now := monday.Add(7 * time.Hour)
	l.PrewarmAt("m1@1", now, reload)
	got := testing.AllocsPerRun(100, func() {
		l.KeepUntil("m1@1", now, reload)
		l.PrewarmAt("m1@1", now, reload)
	})
	require.LessOrEqual(t, got, float64(keepAllocs))
}
