package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/warm"
)

// TestWarmPolicy takes the learned policy where no idle time is set.
func TestWarmPolicy(t *testing.T) {
	require.Equal(t, warm.FixedIdle{Idle: time.Minute}, newWarmPolicy(time.Minute))
	require.IsType(t, &warm.Learned{}, newWarmPolicy(0))
}

// TestWarmPolicyFollowsRecord keeps an unknown model longer where the record weighs
// the tail of cold starts more.
func TestWarmPolicyFollowsRecord(t *testing.T) {
	require.Greater(t, keptFor(0.8), keptFor(0.2))
}

// keptFor returns how long a model without history is kept under a weight.
func keptFor(weight float64) time.Duration {
	k := newWarmPolicy(0)
	s := agent.New(agent.Options{WarmPolicy: k, LoadTime: time.Second})
	now := time.Unix(1_800_000_000, 0)
	s.Apply(now, agent.Started{Endpoint: "e", Instance: 1})
	s.Apply(now, agent.ConfigAccepted{Set: &record.Set{Revision: 1, Deployment: record.Deployment{TailWeight: weight}}})
	for i := range 20 {
		k.RecordArrival("m", now.Add(time.Duration(i*i)*10*time.Second))
	}
	last := now.Add(time.Hour)
	return k.KeepUntil(fleet.ModelID("m"), last, 7*time.Second).Sub(last)
}
