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

// TestWarmPolicy checks that the learned policy is used if no idle time is set.
func TestWarmPolicy(t *testing.T) {
	require.Equal(t, warm.FixedIdle{IdleTime: time.Minute}, newWarmPolicy(time.Minute))
	require.IsType(t, &warm.Learned{}, newWarmPolicy(0))
}

// TestWarmPolicyFollowsRecord checks that the policy uses the tail weight of the deployment's
// configuration record: a higher weight keeps an idle model loaded longer.
func TestWarmPolicyFollowsRecord(t *testing.T) {
	require.Greater(t, keepDuration(0.8), keepDuration(0.2))
}

// keepDuration returns how long a model stays loaded after its last use if the deployment
// record has the given tail weight.
func keepDuration(weight float64) time.Duration {
	policy := newWarmPolicy(0)
	s := agent.New(agent.Options{WarmPolicy: policy, LoadTime: time.Second})
	now := time.Unix(1_800_000_000, 0)
	s.Apply(now, agent.Started{Endpoint: "e", Instance: 1})
	s.Apply(now, agent.ConfigAccepted{Config: &record.Config{Revision: 1, Deployment: record.Deployment{TailWeight: weight}}})
	for i := range 20 {
		policy.RecordArrival("m", now.Add(time.Duration(i*i)*10*time.Second))
	}
	lastUse := now.Add(time.Hour)
	return policy.KeepUntil(fleet.ModelID("m"), lastUse, 7*time.Second).Sub(lastUse)
}
