package swap

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/quota"
	"chervilreach/core/stock"
)

// lastReport returns the report that the effects publish, if any.
func lastReport(effects []event.Effect) (stock.Report, bool) {
	published, ok := lo.Find(effects, func(eff event.Effect) bool { _, ok := eff.(Publish); return ok })
	if !ok {
		return stock.Report{}, false
	}
	return published.(Publish).Report, true
}

// An agent publishes the limits and their ends at once, and forgets those that nobody confirms.
func TestLimitsArePublished(t *testing.T) {
	s, now := New(), time.UnixMilli(1_000_000)
	s.Apply(now, RouterConnected{Router: 1})
	s.Apply(now, Observed{AskedAt: now, Engine: Snapshot{Report: stock.Report{Instance: "e1"}}})
	limit := stock.EndpointLimit{Instance: "p1", PerSecond: 2, SentAt: now.Add(-time.Second), SeenAt: now}
	r, ok := lastReport(s.Apply(now, LimitReported{Limit: limit}))
	require.True(t, ok)
	assert.Equal(t, []stock.EndpointLimit{limit}, r.Limits)
	now = now.Add(10 * time.Millisecond)
	_, ok = lastReport(s.Apply(now, LimitReported{Limit: limit}))
	assert.False(t, ok, "nothing has changed")
	limit.Ended, limit.SentAt, limit.SeenAt = true, now, now
	r, ok = lastReport(s.Apply(now, LimitReported{Limit: limit}))
	require.True(t, ok)
	assert.True(t, r.Limits[0].Ended)
	now = now.Add(2 * limitMemory)
	r, ok = lastReport(s.Apply(now, event.Tick{}))
	require.True(t, ok)
	assert.Empty(t, r.Limits)
}

// A router that does not know yet that the limit has ended is granted what it asks for.
func TestPermitsAreFreeAfterTheEndOfTheLimit(t *testing.T) {
	s, now := New(), time.UnixMilli(1_000_000)
	old := stock.EndpointLimit{Instance: "p1", PerSecond: 0.2, SentAt: now.Add(-time.Second), SeenAt: now}
	ask := func(n uint64) PermitAnswered {
		effects := s.Apply(now, PermitAsked{Number: n, Limit: old, Ask: quota.Ask{PerSecond: old.PerSecond, Latest: now}})
		answered, ok := effects[0].(PermitAnswered)
		require.True(t, ok)
		return answered
	}
	for n := range uint64(4) {
		assert.Equal(t, n < 2, ask(n).Granted)
	}
	now = now.Add(time.Second)
	s.Apply(now, LimitReported{Limit: stock.EndpointLimit{Instance: "p1", Ended: true, SentAt: now, SeenAt: now}})
	for n := range uint64(4) {
		assert.True(t, ask(10+n).Granted)
	}
}
