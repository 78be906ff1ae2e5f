package swap

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/stock"
)

// crashOf returns the crash of an instance with one part in a request that it had begun to answer.
func crashOf(instance string, at time.Time, part poison.Part) poison.Crash {
	return poison.Crash{Instance: instance, At: at, Suspects: []poison.Suspect{
		{Part: part, SentAt: at.Add(-time.Millisecond), Depth: 1, Answering: true},
	}}
}

// newJudgingAgent returns the state of an agent with a router, and the time.
func newJudgingAgent() (*State, time.Time) {
	s, now := New(), time.UnixMilli(1_000_000)
	s.Apply(now, RouterConnected{Router: 1})
	s.Apply(now, Observed{AskedAt: now, Engine: Snapshot{Report: stock.Report{Instance: "e1"}}})
	return s, now
}

func TestSuspectsAndVerdictsArePublishedAtOnce(t *testing.T) {
	s, now := newJudgingAgent()
	_, ok := lastReport(s.Apply(now, CrashesReported{Crashes: []poison.Crash{crashOf("e2", now, 7)}}))
	assert.False(t, ok, "one crash says little")
	now = now.Add(time.Second)
	effects := s.Apply(now, CrashesReported{Crashes: []poison.Crash{crashOf("e3", now, 7)}})
	r, ok := lastReport(effects)
	require.True(t, ok)
	assert.Equal(t, []poison.Part{7}, r.Suspects)
	now = now.Add(time.Second)
	effects = s.Apply(now, CrashesReported{Crashes: []poison.Crash{crashOf("e4", now.Add(-300*time.Millisecond), 7)}})
	r, ok = lastReport(effects)
	require.True(t, ok)
	v := poison.Verdict{Part: 7, DecidedAt: now, CrashCount: 3}
	assert.Equal(t, []poison.Verdict{v}, r.Verdicts)
	assert.Empty(t, r.Suspects)
	assert.Contains(t, effects, PartConvicted{Verdict: v})
	r, ok = lastReport(s.Apply(now, PartsAnswered{Parts: []poison.Part{7}}))
	require.True(t, ok)
	assert.True(t, r.Verdicts[0].Lifted)
}

// An agent wakes up to convict a part when the time for objections is over.
func TestConvictionNeedsNoFurtherEvent(t *testing.T) {
	s, now := newJudgingAgent()
	crashes := lo.Map(lo.Range(3), func(n, _ int) poison.Crash {
		return crashOf(fmt.Sprint("e", 2+n), now.Add(time.Duration(n-3)*time.Second), 7)
	})
	effects := s.Apply(now, CrashesReported{Crashes: crashes})
	wakes := lo.FilterMap(effects, func(eff event.Effect, _ int) (time.Time, bool) {
		w, ok := eff.(event.Wake)
		return w.At, ok
	})
	require.NotEmpty(t, wakes)
	var r stock.Report
	for at := now; at.Before(now.Add(time.Second)) && len(r.Verdicts) == 0; {
		next := now.Add(time.Second)
		for _, w := range wakes {
			if w.After(at) && w.Before(next) {
				next = w
			}
		}
		at = next
		r, _ = lastReport(s.Apply(at, event.Tick{}))
	}
	assert.Len(t, r.Verdicts, 1)
}

func TestVerdictsOfOtherAgentsArePublished(t *testing.T) {
	s, now := newJudgingAgent()
	v := poison.Verdict{Part: 7, DecidedAt: now.Add(-time.Minute), CrashCount: 3}
	r, ok := lastReport(s.Apply(now, VerdictsReported{Verdicts: []poison.Verdict{v}}))
	require.True(t, ok)
	assert.Equal(t, []poison.Verdict{v}, r.Verdicts)
	v.DecidedAt = v.DecidedAt.Add(2 * time.Second)
	_, ok = lastReport(s.Apply(now, VerdictsReported{Verdicts: []poison.Verdict{v}}))
	assert.False(t, ok, "the same decision, told late")
	r, ok = lastReport(s.Apply(now.Add(2*time.Hour), event.Tick{}))
	require.True(t, ok)
	assert.Empty(t, r.Verdicts, "expired")
}

// An agent judges and publishes even while its own endpoint is down.
func TestAgentOfCrashedEndpointJudges(t *testing.T) {
	s, now := newJudgingAgent()
	r, ok := lastReport(s.Apply(now, ObserveFailed{Refused: true}))
	require.True(t, ok)
	assert.True(t, r.Down)
	for n := range 3 {
		now = now.Add(time.Second)
		r, ok = lastReport(s.Apply(now, CrashesReported{Crashes: []poison.Crash{crashOf(fmt.Sprint("e", 2+n), now.Add(-300*time.Millisecond), 7)}}))
	}
	require.True(t, ok)
	assert.True(t, r.Down)
	assert.Len(t, r.Verdicts, 1)
}
