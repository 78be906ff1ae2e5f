package faults_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/fakes"
)

// restarts is the number of times that TestAgentRestartsAtOnce kills and starts an agent.
const restarts = 60

// TestAgentRestartsAtOnce checks that an agent which was killed while routers connect to it can
// listen on the same address at once.
func TestAgentRestartsAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions())
	f.KV.SetFaults(fakes.KVFaults{Silent: true})
	e := f.Endpoints[0]
	for range restarts {
		require.NoError(t, e.Agent.Kill())
		require.NoError(t, e.Restart(context.Background()))
	}
}
