package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/router"
)

// TestOwnCallsCountUntilTheyEnd guards against counting finished calls as load. It
// runs calls one after another while the agents' reports stay the same, so the
// first endpoint must be chosen each time.
func TestOwnCallsCountUntilTheyEnd(t *testing.T) {
	size := fleetSize{routers: 1, endpoints: 2, models: 1, domains: 1, replicas: 2}
	s := size.newState()
	for n := range 500 {
		require.Equal(t, size.endpoint(0), serveAt(size, s, n), "call %d", n)
	}
}

// serveAt runs the n-th call to its end and returns the endpoint that it was
// offered to.
func serveAt(size fleetSize, s *router.State, n int) fleet.EndpointID {
	id := fleet.RequestID(time.Duration(n).String())
	now := benchEpoch.Add(time.Second)
	effects := s.Apply(now, router.CallArrived{Call: router.Call{
		ID: id, Member: "m", Target: fleet.Target{Model: size.model(0)}, Idempotent: true, Deadline: now.Add(time.Minute),
	}})
	for _, eff := range effects {
		if offer, ok := eff.(router.SendOffer); ok {
			s.Apply(now, router.AnswerEnded{ID: id, ExchangeID: offer.ExchangeID})
			return offer.Endpoint
		}
	}
	return ""
}
