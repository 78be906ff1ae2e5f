package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/record"

	"pgregory.net/rapid"
)

// stepsPerRun is the number of random actions in one run.
const stepsPerRun = 300

// node is an endpoint together with its current host and its agent.
type node struct {
	ep place.Endpoint
	// hiddenUntil is the time until which the host list omits the live host.
	hiddenUntil time.Time
	// agentView is the placement known to the agent, which may be stale.
	agentView   place.Placement
	modelLoaded bool
	// releasedGeneration is the highest generation whose unload the agent has
	// confirmed.
	releasedGeneration fleet.Generation
}

// pendingWrite is a compare-and-swap that was sent. It may be applied late, twice
// or never.
type pendingWrite struct {
	value            place.Placement
	expectedRevision int
}

// proposer is a router with its own, possibly stale, view of the host list and the
// placement.
type proposer struct {
	roster    place.Roster
	placement place.Placement
	revision  int
}

// simulation models the placement of one model in the key-value service, with two
// proposers, six endpoints with their agents, and hosts that are replaced.
type simulation struct {
	now             time.Time
	model           record.Model
	nodes           []*node
	storedPlacement place.Placement
	storedRevision  int
	writes          []pendingWrite
	releases        []place.ConfirmedRelease
	proposers       [2]proposer
	hostSeq         int
	writeSeq        int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: epoch, model: record.Model{ID: "m@1", Weights: 1, WarmLimit: rapid.IntRange(1, 4).Draw(t, "limit")}}
	for i := range 6 {
		ep := endpoint(i, fmt.Sprint(i%3))
		sim.nodes = append(sim.nodes, &node{ep: ep})
	}
	return sim
}

// drawNode returns a random node.
func (sim *simulation) drawNode(t *rapid.T) *node {
	return sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")]
}

// drawProposer returns a random proposer.
func (sim *simulation) drawProposer(t *rapid.T) *proposer {
	return &sim.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")]
}

// apply carries out a write if it expects the stored revision.
func (sim *simulation) apply(w pendingWrite) {
	if w.expectedRevision == sim.storedRevision {
		sim.storedPlacement, sim.storedRevision = w.value, sim.storedRevision+1
	}
}

// propose sends the write of one proposer, if it proposes a change. Endpoints may
// lack memory at random, and some confirmed releases may not be known yet.
func (sim *simulation) propose(t *rapid.T) {
	p := sim.drawProposer(t)
	sim.writeSeq++
	in := place.Input{HostListReadAt: p.roster.HostListReadAt(), Model: sim.model, GoneAt: p.roster.GoneTimes(), WriteID: fmt.Sprint(sim.writeSeq)}
	for _, n := range sim.nodes {
		if _, ok := p.roster.Host(n.ep.Host); ok {
			ep := n.ep
			if rapid.IntRange(0, 9).Draw(t, "no-room") == 0 {
				ep.OutOfMemoryFor = []fleet.ModelID{sim.model.ID}
			}
			in.Endpoints = append(in.Endpoints, ep)
		}
	}
	for _, r := range sim.releases {
		if rapid.Bool().Draw(t, "release known") {
			in.Released = append(in.Released, r)
		}
	}
	if next, ok := place.Propose(in, p.placement); ok {
		sim.writes = append(sim.writes, pendingWrite{value: next, expectedRevision: p.revision})
	}
}

// readHostList updates one proposer's roster from the current host list.
func (sim *simulation) readHostList(t *rapid.T) {
	list := fleet.HostList{AsOf: sim.now}
	for _, n := range sim.nodes {
		if !sim.now.Before(n.hiddenUntil) {
			list.Hosts = append(list.Hosts, fleet.Host{ID: n.ep.Host, Endpoint: n.ep.ID, State: n.ep.State})
		}
	}
	p := sim.drawProposer(t)
	p.roster.Update(sim.now, list, lag)
	p.roster.TrackPlacement(sim.now, p.placement, lag)
}

// deliverWrite applies one of the last six writes that were sent, possibly again.
func (sim *simulation) deliverWrite(t *rapid.T) {
	if len(sim.writes) == 0 {
		return
	}
	age := min(rapid.IntRange(0, 5).Draw(t, "age"), len(sim.writes)-1)
	sim.apply(sim.writes[len(sim.writes)-1-age])
}

// updateAgentViews delivers the stored placement to some agents.
func (sim *simulation) updateAgentViews(t *rapid.T) {
	for _, n := range sim.nodes {
		if rapid.Bool().Draw(t, "receives placement") {
			n.agentView = sim.storedPlacement
		}
	}
}

// runAgents calls runAgent on some nodes.
func (sim *simulation) runAgents(t *rapid.T) {
	for _, n := range sim.nodes {
		if rapid.Bool().Draw(t, "agent runs") {
			sim.runAgent(n)
		}
	}
}

// runAgent makes an agent load or unload the model according to the placement
// that it knows.
func (sim *simulation) runAgent(n *node) {
	e, ok := n.agentView.Find(n.ep.ID)
	if !ok || e.Host != n.ep.Host || e.Fence.Generation <= n.releasedGeneration {
		return
	}
	if e.State == place.StateAssigned {
		n.modelLoaded = true
		return
	}
	n.modelLoaded = false
	n.releasedGeneration = e.Fence.Generation
	sim.releases = append(sim.releases, place.ConfirmedRelease{Endpoint: e.Endpoint, Fence: e.Fence})
}

// hideHost omits a live host from the host list for less than the lag. A host is
// hidden again only after it was listed for more than half of the lag.
func (sim *simulation) hideHost(t *rapid.T) {
	n := sim.drawNode(t)
	if sim.now.After(n.hiddenUntil.Add(lag / 2)) {
		n.hiddenUntil = sim.now.Add(lag - time.Second)
	}
}

// replaceHost ends a host and moves its endpoint to a new one.
func (sim *simulation) replaceHost(t *rapid.T) {
	n := sim.drawNode(t)
	sim.hostSeq++
	host := fleet.HostID(fmt.Sprintf("n%d", sim.hostSeq))
	*n = node{ep: n.ep, agentView: sim.storedPlacement}
	n.ep.Host, n.ep.State = host, fleet.HostLive
}

// checkLimit fails the test if the warm limit is exceeded, or if a model is loaded
// on a host without an entry.
func (sim *simulation) checkLimit(t *rapid.T) {
	if len(sim.storedPlacement.Entries) > sim.model.WarmLimit {
		t.Fatalf("%d entries exceed the warm limit of %d", len(sim.storedPlacement.Entries), sim.model.WarmLimit)
	}
	loaded := 0
	for _, n := range sim.nodes {
		if !n.modelLoaded {
			continue
		}
		loaded++
		i := slices.IndexFunc(sim.storedPlacement.Entries, func(e place.Entry) bool { return e.Host == n.ep.Host })
		if i < 0 {
			t.Fatalf("%s has loaded the model without an entry for its host", n.ep.ID)
		}
	}
	if loaded > sim.model.WarmLimit {
		t.Fatalf("%d replicas exceed the warm limit of %d", loaded, sim.model.WarmLimit)
	}
}

// TestLimitUnderChurn checks the warm limit under random interleavings of two
// proposers, lost, late and duplicated writes, agents with stale placements, and
// hosts that are leaving, unlisted or replaced.
func TestLimitUnderChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		actions := []func(*rapid.T){
			func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second)
			},
			func(t *rapid.T) {
				p := sim.drawProposer(t)
				p.placement, p.revision = sim.storedPlacement, sim.storedRevision
			},
			sim.readHostList, sim.propose, sim.propose, sim.deliverWrite, sim.deliverWrite, sim.updateAgentViews, sim.updateAgentViews, sim.runAgents, sim.runAgents,
			func(t *rapid.T) { sim.drawNode(t).ep.State = fleet.HostLeaving },
			sim.hideHost,
			sim.replaceHost,
		}
		for range stepsPerRun {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			sim.checkLimit(t)
		}
	})
}

// TestAllAssigned checks that in a fleet without changes the first proposal
// reaches the warm limit and the next one changes nothing.
func TestAllAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		in := place.Input{HostListReadAt: sim.now, Model: sim.model}
		for _, n := range sim.nodes {
			in.Endpoints = append(in.Endpoints, n.ep)
		}
		first, _ := place.Propose(in, place.Placement{})
		if len(first.Assigned()) != sim.model.WarmLimit {
			t.Fatalf("%d of %d replicas assigned", len(first.Assigned()), sim.model.WarmLimit)
		}
		if _, changed := place.Propose(in, first); changed {
			t.Fatal("proposal changed although the input did not")
		}
	})
}
