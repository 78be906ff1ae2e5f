package agent_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
)

// overLimitRequestCount is a number of requests larger than the capacity of the journal.
const overLimitRequestCount = 25_000

// TestDeliveredMakesRoom serves more requests within the retention period than the journal
// can hold. Idempotent requests without a key leave the journal once delivered; others stay,
// and requests beyond the limit are refused.
func TestDeliveredMakesRoom(t *testing.T) {
	tests := map[string]struct {
		idempotent, hasIdempotencyKey bool
		wantRefused                   bool
	}{
		"idempotent":           {idempotent: true},
		"idempotent, with key": {idempotent: true, hasIdempotencyKey: true, wantRefused: true},
		"not idempotent":       {wantRefused: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newAgent(1)
			refusedCount := 0
			for n := range overLimitRequestCount {
				refusedCount += serveAndDeliver(s, n, tt.idempotent, tt.hasIdempotencyKey)
			}
			require.Equal(t, tt.wantRefused, refusedCount > 0, "%d refused", refusedCount)
		})
	}
}

// TestDeliveredWhileRunning checks that a delivery message does not remove a running request
// from the journal.
func TestDeliveredWhileRunning(t *testing.T) {
	s := newAgent(1)
	now := epoch.Add(time.Second)
	offer := agent.Offer{
		ID: "r", Member: "m", Target: fleet.Target{Model: numberedModel(0)}, Idempotent: true,
		Deadline: now.Add(time.Minute), StreamID: 1,
	}
	s.Apply(now, agent.Offered{Offer: offer})
	s.Apply(now, agent.Delivered{ID: "r"})
	require.Equal(t, 1, s.Report(now).Running)
	effects := s.Apply(now, agent.TombstoneRequested{ID: "r", ExpectInstance: 1, StreamID: 2})
	require.Contains(t, effects, event.Effect(agent.AnswerTombstone{ID: "r", StreamID: 2, State: agent.TombstoneRunning}))
}

// serveAndDeliver serves and delivers one request; it returns 1 if the request was refused
// and 0 otherwise.
func serveAndDeliver(s *agent.State, n int, idempotent, hasIdempotencyKey bool) int {
	now := epoch.Add(time.Second)
	id := fleet.RequestID(strconv.Itoa(n))
	effects := s.Apply(now, agent.Offered{Offer: agent.Offer{
		ID: id, Member: "m", Target: fleet.Target{Model: numberedModel(0)}, Idempotent: idempotent, KeepAnswer: hasIdempotencyKey,
		Deadline: now.Add(time.Minute), StreamID: 1,
	}})
	for _, eff := range effects {
		if _, ok := eff.(agent.RefuseOffer); ok {
			return 1
		}
	}
	s.Apply(now, agent.AnswerBegan{ID: id})
	s.Apply(now, agent.AnswerEnded{ID: id})
	s.Apply(now, agent.Delivered{ID: id})
	return 0
}
