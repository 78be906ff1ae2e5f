package router_test

import (
	"container/heap"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/router"
)

// TestMain sets a fixed seed for the property tests, so that every run is the same;
// the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// run simulates calls and faults at random times for simDuration, and then as long
// again without new ones, so that all calls end.
func (s *sim) run() {
	keys := []string{"", "", "k1", "k2"}
	end := s.now.Add(simDuration)
	for s.now.Before(end.Add(simDuration)) {
		s.now = s.now.Add(simStep)
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			heap.Pop(&s.queue).(task).action()
		}
		if s.now.Before(end) && s.rng.IntN(20) == 0 {
			s.arrive(keys[s.rng.IntN(len(keys))])
		}
		if s.now.Before(end) && s.rng.IntN(20_000) < s.faultPercent {
			s.injectFault()
		}
		for n := range s.routers {
			s.applyRouter(n, s.routers[n].epoch, event.Tick{})
		}
		for _, id := range []fleet.EndpointID{"a", "b"} {
			s.applyAgent(s.agents[id], s.agents[id].instance, event.Tick{})
		}
	}
}

// arrive starts a call with random properties at a random router. Key is its
// idempotency key, or empty.
func (s *sim) arrive(key string) {
	n := s.rng.IntN(len(s.routers))
	c := &simCall{router: n, epoch: s.routers[n].epoch, Call: router.Call{
		ID: fleet.RequestID(fmt.Sprintf("q%d", len(s.calls))), Member: "x", Target: fleet.Target{Service: "s"},
		Idempotent: key == "" && s.rng.IntN(2) == 0, ClaimKey: key, BodyHash: "body",
		Deadline: s.now.Add(time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))),
	}}
	s.calls[c.ID] = c
	s.applyRouter(n, c.epoch, router.CallArrived{Call: c.Call})
}

// injectFault restarts a router or an agent, or starts or ends an outage of the
// key-value service.
func (s *sim) injectFault() {
	switch s.rng.IntN(3) {
	case 0:
		s.startRouter(s.rng.IntN(len(s.routers)))
	case 1:
		s.startAgent(s.agents[[]fleet.EndpointID{"a", "b"}[s.rng.IntN(2)]])
	case 2:
		s.kvDown = !s.kvDown
	}
}

// TestAtMostOnce connects routers and agents by an unreliable network and checks
// what is guaranteed for each call: it runs at most once unless it is idempotent, a
// refusal as not run is true, and there is one final answer by the deadline.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.run()
		byKey := make(map[string]int)
		for n := range len(s.calls) {
			c := s.calls[fleet.RequestID(fmt.Sprintf("q%d", n))]
			s.checkCall(t, c)
			if c.ClaimKey != "" {
				byKey[c.ClaimKey] += s.runCount[c.ID]
			}
		}
		for _, key := range []string{"k1", "k2"} {
			if byKey[key] > 1 {
				t.Fatalf("key %s: run %d times", key, byKey[key])
			}
		}
	})
}

// checkCall checks the guarantees for one call. A call whose router was restarted
// may have no final answer.
func (s *sim) checkCall(t *rapid.T, c *simCall) {
	runs := s.runCount[c.ID]
	switch alive := s.routers[c.router].epoch == c.epoch; {
	case !c.Idempotent && runs > 1:
		t.Fatalf("%s: run %d times", c.ID, runs)
	case c.finalAnswerCount > 1 || (alive && c.finalAnswerCount == 0):
		t.Fatalf("%s: %d final answers", c.ID, c.finalAnswerCount)
	case c.finalAnswerCount == 1 && c.finalAt.After(c.Deadline):
		t.Fatalf("%s: answered %v after its deadline, %+v", c.ID, c.finalAt.Sub(c.Deadline), c.refusal)
	case c.finalAnswerCount == 1 && c.refusal.NotRun == fleet.NotRunTrue && runs > 0:
		t.Fatalf("%s: refused as not run and run %d times: %+v", c.ID, runs, c.refusal)
	case c.answered && c.ClaimKey == "" && runs == 0:
		t.Fatalf("%s: answered and never run", c.ID)
	}
}
