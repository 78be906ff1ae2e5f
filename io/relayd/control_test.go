package relayd

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/event"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/core/stock"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// frameOverheadBytes is the size of a frame without its message: the yamux header, and the
	// frame's length, time and routes version.
	frameOverheadBytes = 12 + 2 + 10 + 5
	// pingBytes is the size of a ping and its answer. One is sent every pingPeriod on each
	// connection.
	pingBytes  = 2 * 12
	pingPeriod = 2 * time.Second
	// maxControlBytesPerSecond is the limit that the users have set for the control traffic of
	// one node.
	maxControlBytesPerSecond = 3000
)

// routerSim simulates a router and the agents that it follows, and adds up the bytes that they
// exchange.
type routerSim struct {
	state *relay.State
	now   time.Time
	// bytes is the size of all frames so far.
	controlBytes int
	// lastReports holds the time of the last report of each followed agent, by instance; zero
	// if it has not reported yet.
	lastReports map[string]time.Time
	// reportGap is the time between two reports that the router asked for last.
	reportGap time.Duration
	// loadedModels holds the loaded models of all endpoints, by instance.
	loadedModels map[string][]stock.LoadedModel
	rng          *rand.Rand
}

// apply applies an event to the reducer and handles its effects.
func (sim *routerSim) apply(ev event.Event) {
	for _, eff := range sim.state.Apply(sim.now, ev) {
		switch eff := eff.(type) {
		case relay.FollowAgents:
			sim.follow(eff)
		case relay.SendDemand:
			sim.reportGap = eff.Demand.ReportGap
			sim.controlBytes += frameOverheadBytes + proto.Size(demandFrame(eff.Demand))
		}
	}
}

// follow replaces the set of agents. Agents that stay keep the time of their last report.
func (sim *routerSim) follow(eff relay.FollowAgents) {
	kept := make(map[string]time.Time, len(eff.List))
	for _, m := range eff.List {
		kept[m.Instance] = sim.lastReports[m.Instance]
	}
	sim.lastReports = kept
}

// report lets all agents whose report is due report.
func (sim *routerSim) report() {
	for _, id := range slices.Sorted(maps.Keys(sim.lastReports)) {
		lastReport := sim.lastReports[id]
		if sim.now.Before(lastReport.Add(sim.reportGap)) {
			continue
		}
		sim.lastReports[id] = sim.now
		r := stock.Report{
			Instance: id, Address: netip.MustParseAddrPort("10.1.2.3:8000"), Running: sim.rng.IntN(40), KVUsed: sim.rng.IntN(100_000),
			KVTotal: 133_000, Models: sim.loadedModels[id], Routers: 4,
		}
		frame := &wirepb.Frame{Body: &wirepb.Frame_Stock{Stock: wire.EncodeBriefStock(sim.now, r, r)}}
		if lastReport.IsZero() {
			frame = &wirepb.Frame{Body: &wirepb.Frame_Stock{Stock: wire.EncodeStock(sim.now, r, stock.Report{})}}
		}
		sim.controlBytes += frameOverheadBytes + proto.Size(frame)
		sim.apply(relay.AgentReported{Report: r})
	}
}

// A router at the users' target size (6,000 endpoints, 240 models and 30 requests per second)
// must stay within the limit for control traffic.
func TestControlTrafficAtTarget(t *testing.T) {
	t.Parallel()
	const endpointCount, modelCount, requestsPerSecond, seconds = 6000, 240, 30, 60
	engine := &route.Engine{Slots: 64, Memory: 230_000, AdapterSlots: 8, KVCapacity: 133_000, Models: make(map[string]route.Model)}
	for n := range modelCount {
		name := fmt.Sprintf("model%06d", n)
		engine.Models[name] = route.Model{Name: name, Size: 70_000, FromStore: 9 * time.Second, FromMemory: time.Second}
	}
	sim := &routerSim{
		now: time.UnixMilli(1_000_000), lastReports: map[string]time.Time{}, loadedModels: make(map[string][]stock.LoadedModel),
		rng:   rand.New(rand.NewPCG(1, 2)),
		state: relay.New(relay.Settings{Process: "relay-1", FailureDomain: "d0", RetryRatio: 0.1, RetryExtra: 10, RetryWindow: 10 * time.Second}),
	}
	sim.apply(relay.RoutesAdopted{Table: route.NewTable(1, route.Limits{}, nil, []*route.Service{{Name: "llm", Engine: engine}})})
	list := make([]relay.EndpointEntry, 0, endpointCount)
	for n := range endpointCount {
		id := fmt.Sprintf("i-%010d", n)
		for k := range 3 {
			sim.loadedModels[id] = append(sim.loadedModels[id], stock.LoadedModel{Model: fmt.Sprintf("model%06d", (3*n+k)%modelCount), Version: 1, Adapters: []string{"a1", "a2"}})
		}
		list = append(list, relay.EndpointEntry{
			Instance: id, Service: "llm", FailureDomain: fmt.Sprintf("d%d", n%12), Slots: 64, HasModels: true,
			Stock: stock.Report{Instance: id, Models: sim.loadedModels[id]},
		})
	}
	sim.apply(relay.EndpointsListed{List: list})
	sim.now = sim.now.Add(2 * time.Second)
	rt := &route.Route{Name: "r", Kind: route.Stream, Timeout: 15 * time.Second, Objective: 880 * time.Millisecond, MaxGap: 63 * time.Millisecond, MaxAttempts: 2}
	run := func(seconds int) {
		for n := range seconds * requestsPerSecond {
			sim.now = sim.now.Add(time.Second / requestsPerSecond)
			id := relay.RequestID(sim.now.UnixNano())
			// Most requests are for a few models.
			model := int(sim.rng.ExpFloat64() * modelCount / 8)
			sim.apply(relay.RequestArrived{ID: id, Request: relay.Request{
				AttemptID: fmt.Sprint(n), Route: rt, Service: "llm", TokensIn: 400, TokensOut: 100,
				Item: stock.Item{Model: fmt.Sprintf("model%06d", model%modelCount)}, Deadline: sim.now.Add(rt.Timeout), LastEvent: relay.NoEvent,
			}})
			sim.apply(relay.AttemptEnded{ID: id, Result: relay.Done, LastEvent: relay.NoEvent})
			sim.report()
		}
	}
	run(seconds)
	sim.controlBytes = 0
	run(seconds)
	pings := len(sim.lastReports) * pingBytes * int(time.Second) / int(pingPeriod)
	total := sim.controlBytes/seconds + pings
	t.Logf("%d agents followed, %d bytes per second, of which pings %d", len(sim.lastReports), total, pings)
	require.Greater(t, len(sim.lastReports), 20)
	require.LessOrEqual(t, total, maxControlBytesPerSecond)
}
