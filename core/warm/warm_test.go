package warm_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilreach/core/warm"

	"github.com/stretchr/testify/require"
)

// loadTime is the load time that the tests pass to the policies.
const loadTime = 8 * time.Second

// monday is 2026-09-07, 00:00 UTC.
var monday = time.Date(2026, 9, 7, 0, 0, 0, 0, time.UTC)

func ExampleNew() {
	policy, err := warm.New(warm.PolicyFixed, 0.5)
	if err != nil {
		panic(err)
	}
	fmt.Println(policy.KeepUntil("m@1", monday, loadTime).Sub(monday))
	// Output: 10m0s
}

func TestNewUnknownPolicy(t *testing.T) {
	_, err := warm.New("sometimes", 0.5)
	require.ErrorIs(t, err, warm.ErrUnknownPolicy)
}

// TestLearnedKeep checks how long a model stays loaded after a request for two tail weights.
func TestLearnedKeep(t *testing.T) {
	// Each session has six requests 30 s apart; sessions start four hours apart.
	train := func(weight float64) *warm.Learned {
		l := warm.NewLearned(weight)
		for s := range 40 {
			for i := range 6 {
				l.RecordArrival("m@1", monday.Add(time.Duration(s)*4*time.Hour+time.Duration(i)*30*time.Second))
			}
		}
		return l
	}
	tailKeep := train(0.8).KeepUntil("m@1", monday, loadTime).Sub(monday)
	require.Greater(t, tailKeep, 30*time.Second)
	require.Less(t, tailKeep, time.Minute, "kept longer than the gaps within a session")
	idleKeep := train(0.01).KeepUntil("m@1", monday, loadTime).Sub(monday)
	require.Zero(t, idleKeep, "idle time costs more than any cold start")
}

// TestLearnedPrewarm checks on which past sessions a prewarm for Monday at 09:00 depends.
func TestLearnedPrewarm(t *testing.T) {
	tests := map[string]struct {
		// days lists how many days before monday a session started at 09:00.
		days []int
		want bool
	}{
		"every week":      {days: []int{28, 21, 14, 7}, want: true},
		"every work day":  {days: []int{7, 6, 5, 4, 3}, want: true},
		"once":            {days: []int{7}},
		"never":           {},
		"other week days": {days: []int{25, 18}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := warm.NewLearned(0.9)
			nine := monday.Add(9 * time.Hour)
			for _, n := range tt.days {
				l.RecordArrival("m@1", nine.AddDate(0, 0, -n))
			}
			at, ok := l.PrewarmAt("m@1", monday.Add(8*time.Hour), loadTime)
			require.Equal(t, tt.want, ok)
			if !ok {
				return
			}
			require.True(t, at.Before(nine.Add(-loadTime)) && at.After(nine.Add(-5*time.Minute)), at)
			require.False(t, l.KeepUntil("m@1", at.Add(loadTime), loadTime).Before(nine), "unloaded before it is used")
			l.RecordArrival("m@1", nine)
			again, ok := l.PrewarmAt("m@1", nine.Add(time.Minute), loadTime)
			require.True(t, !ok || again.After(nine.Add(time.Hour)), "prewarmed twice for one session")
		})
	}
}

// TestLearnedMerge checks that a policy that has merged a stored snapshot predicts the same
// session, and that a second merge changes nothing.
func TestLearnedMerge(t *testing.T) {
	l := trainedPolicy()
	m, ok := l.Export("m1@1")
	require.True(t, ok)
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	require.Less(t, len(raw), 6<<10)
	var stored warm.Snapshot
	require.NoError(t, json.Unmarshal(raw, &stored))
	merged := warm.NewLearned(0.5)
	_, ok = merged.Export("m1@1")
	require.False(t, ok)
	for range 2 {
		merged.Merge(stored)
		got, ok := merged.Export("m1@1")
		require.True(t, ok)
		require.Equal(t, stored, got)
	}
	now := monday.Add(7 * time.Hour)
	want, ok := l.PrewarmAt("m1@1", now, loadTime)
	require.True(t, ok)
	got, ok := merged.PrewarmAt("m1@1", now, loadTime)
	require.True(t, ok)
	// Without other models there is no surge, so the lead times differ by the spread.
	require.WithinDuration(t, want, got, 3*time.Minute)
}

// TestSetTailWeight checks that a higher tail weight keeps an idle model loaded for longer.
func TestSetTailWeight(t *testing.T) {
	l := trainedPolicy()
	l.SetTailWeight(0.01)
	idle := l.KeepUntil("m1@1", monday, loadTime)
	l.SetTailWeight(0.99)
	require.True(t, l.KeepUntil("m1@1", monday, loadTime).After(idle))
}
