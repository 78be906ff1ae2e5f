package warm_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilreach/core/warm"

	"github.com/stretchr/testify/require"
)

const reload = 8 * time.Second

// monday is 2026-09-07, 00:00 UTC.
var monday = time.Date(2026, 9, 7, 0, 0, 0, 0, time.UTC)

func ExampleNew() {
	k, err := warm.New(warm.PolicyFixed, 0.5)
	if err != nil {
		panic(err)
	}
	fmt.Println(k.KeepUntil("m@1", monday, reload).Sub(monday))
	// Output: 10m0s
}

func TestNewUnknown(t *testing.T) {
	_, err := warm.New("sometimes", 0.5)
	require.ErrorIs(t, err, warm.ErrUnknownPolicy)
}

func TestLearnedKeep(t *testing.T) {
	// Sessions of six requests 30 s apart, four hours from one to the next.
	learn := func(weight float64) *warm.Learned {
		l := warm.NewLearned(weight)
		for s := range 40 {
			for i := range 6 {
				l.RecordArrival("m@1", monday.Add(time.Duration(s)*4*time.Hour+time.Duration(i)*30*time.Second))
			}
		}
		return l
	}
	tail := learn(0.8).KeepUntil("m@1", monday, reload).Sub(monday)
	require.Greater(t, tail, 30*time.Second)
	require.Less(t, tail, time.Minute, "keeps past the gaps of a session only")
	idle := learn(0.01).KeepUntil("m@1", monday, reload).Sub(monday)
	require.Zero(t, idle, "idle hours weigh more than any cold start")
}

func TestLearnedPrewarm(t *testing.T) {
	tests := map[string]struct {
		// days before monday on which a session began at 09:00.
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
			at, ok := l.PrewarmAt("m@1", monday.Add(8*time.Hour), reload)
			require.Equal(t, tt.want, ok)
			if !ok {
				return
			}
			require.True(t, at.Before(nine.Add(-reload)) && at.After(nine.Add(-5*time.Minute)), at)
			require.False(t, l.KeepUntil("m@1", at.Add(reload), reload).Before(nine), "unloaded before it is used")
			l.RecordArrival("m@1", nine)
			again, ok := l.PrewarmAt("m@1", nine.Add(time.Minute), reload)
			require.True(t, !ok || again.After(nine.Add(time.Hour)), "prewarmed twice for one session")
		})
	}
}

func TestLearnedRecall(t *testing.T) {
	l := learned()
	m, ok := l.Remember("m1@1")
	require.True(t, ok)
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	require.Less(t, len(raw), 6<<10)
	var read warm.Memory
	require.NoError(t, json.Unmarshal(raw, &read))
	fresh := warm.NewLearned(0.5)
	_, ok = fresh.Remember("m1@1")
	require.False(t, ok)
	for range 2 {
		fresh.Recall(read)
		got, ok := fresh.Remember("m1@1")
		require.True(t, ok)
		require.Equal(t, read, got)
	}
	now := monday.Add(7 * time.Hour)
	want, ok := l.PrewarmAt("m1@1", now, reload)
	require.True(t, ok)
	got, ok := fresh.PrewarmAt("m1@1", now, reload)
	require.True(t, ok)
	// Alone, the model is in no surge, so its load is spread less.
	require.WithinDuration(t, want, got, 3*time.Minute)
}

func TestSetTailWeight(t *testing.T) {
	l := learned()
	l.SetTailWeight(0.01)
	idle := l.KeepUntil("m1@1", monday, reload)
	l.SetTailWeight(0.99)
	require.True(t, l.KeepUntil("m1@1", monday, reload).After(idle))
}
