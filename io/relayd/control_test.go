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
	// frameHead is what a frame has besides its message: the header of its session,
	// its length, time and version.
	frameOverheadBytes = 12 + 2 + 10 + 5
	// pingBytes goes both ways every pingPeriod on each connection.
	pingBytes  = 2 * 12
	pingPeriod = 2 * time.Second
	// controlMost is the users' bound on a node's control traffic in bytes a second.
	maxControlBytesPerSecond = 3000
)

// target is a router's part of the users' target size.
type routerSim struct {
	state        *relay.State
	now          time.Time
	bytes        int
	followed     map[string]time.Time
	reportGap    time.Duration
	loadedModels map[string][]stock.Held
	rng          *rand.Rand
}

func (g *routerSim) apply(ev event.Event) {
	for _, eff := range g.state.Apply(g.now, ev) {
		switch eff := eff.(type) {
		case relay.FollowAgents:
			g.follow(eff)
		case relay.SendDemand:
			g.reportGap = eff.Demand.ReportGap
			g.bytes += frameOverheadBytes + proto.Size(demandFrame(eff.Demand))
		}
	}
}

func (g *routerSim) follow(eff relay.FollowAgents) {
	next := make(map[string]time.Time, len(eff.List))
	for _, m := range eff.List {
		next[m.Instance] = g.followed[m.Instance]
	}
	g.followed = next
}

// report has the agents report whose turn it is.
func (g *routerSim) report() {
	for _, id := range slices.Sorted(maps.Keys(g.followed)) {
		at := g.followed[id]
		if g.now.Before(at.Add(g.reportGap)) {
			continue
		}
		g.followed[id] = g.now
		r := stock.Report{
			Instance: id, Address: netip.MustParseAddrPort("10.1.2.3:8000"), Running: g.rng.IntN(40), KVUsed: g.rng.IntN(100_000),
			KVTotal: 133_000, Models: g.loadedModels[id], Routers: 4,
		}
		frame := &wirepb.Frame{Body: &wirepb.Frame_Stock{Stock: wire.EncodeBriefStock(g.now, r, r)}}
		if at.IsZero() {
			frame = &wirepb.Frame{Body: &wirepb.Frame_Stock{Stock: wire.EncodeStock(g.now, r, stock.Report{})}}
		}
		g.bytes += frameOverheadBytes + proto.Size(frame)
		g.apply(relay.AgentReported{Report: r})
	}
}

// TestControlTrafficAtTarget: a router of the users' target size, 6,000 endpoints,
// 240 models, 30 requests a second for them, stays within its control traffic.
func TestControlTrafficAtTarget(t *testing.T) {
	t.Parallel()
	const endpoints, models, perSecond, seconds = 6000, 240, 30, 60
	engine := &route.Engine{Slots: 64, Memory: 230_000, AdapterSlots: 8, KVCapacity: 133_000, Models: make(map[string]route.Model)}
	for n := range models {
		name := fmt.Sprintf("model%06d", n)
		engine.Models[name] = route.Model{Name: name, Size: 70_000, FromStore: 9 * time.Second, FromMemory: time.Second}
	}
	g := &routerSim{
		now: time.UnixMilli(1_000_000), followed: map[string]time.Time{}, loadedModels: make(map[string][]stock.Held),
		rng:   rand.New(rand.NewPCG(1, 2)),
		state: relay.New(relay.Settings{Process: "relay-1", FailureDomain: "d0", RetryRatio: 0.1, RetryExtra: 10, RetryWindow: 10 * time.Second}),
	}
	g.apply(relay.RoutesAdopted{Table: route.New(1, route.Limits{}, nil, []*route.Service{{Name: "llm", Engine: engine}})})
	list := make([]relay.Member, 0, endpoints)
	for n := range endpoints {
		id := fmt.Sprintf("i-%010d", n)
		for k := range 3 {
			g.loadedModels[id] = append(g.loadedModels[id], stock.Held{Model: fmt.Sprintf("model%06d", (3*n+k)%models), Version: 1, Adapters: []string{"a1", "a2"}})
		}
		list = append(list, relay.Member{
			Instance: id, Service: "llm", FailureDomain: fmt.Sprintf("d%d", n%12), Slots: 64, HasModels: true,
			Stock: stock.Report{Instance: id, Models: g.loadedModels[id]},
		})
	}
	g.apply(relay.MembersListed{List: list})
	g.now = g.now.Add(2 * time.Second)
	rt := &route.Route{Name: "r", Kind: route.Stream, Timeout: 15 * time.Second, Objective: 880 * time.Millisecond, MaxGap: 63 * time.Millisecond, MaxAttempts: 2}
	run := func(seconds int) {
		for n := range seconds * perSecond {
			g.now = g.now.Add(time.Second / perSecond)
			id := relay.RequestID(g.now.UnixNano())
			// A few models have most of the requests.
			model := int(g.rng.ExpFloat64() * models / 8)
			g.apply(relay.RequestArrived{ID: id, Request: relay.Request{
				Attempt: fmt.Sprint(n), Route: rt, Service: "llm", TokensIn: 400, TokensOut: 100,
				Item: stock.Item{Model: fmt.Sprintf("model%06d", model%models)}, Deadline: g.now.Add(rt.Timeout), LastEvent: relay.NoEvent,
			}})
			g.apply(relay.AttemptEnded{ID: id, Result: relay.Done, LastEvent: relay.NoEvent})
			g.report()
		}
	}
	run(seconds)
	g.bytes = 0
	run(seconds)
	pings := len(g.followed) * pingBytes * int(time.Second) / int(pingPeriod)
	total := g.bytes/seconds + pings
	t.Logf("%d agents followed, %d bytes a second, of which pings %d", len(g.followed), total, pings)
	require.Greater(t, len(g.followed), 20)
	require.LessOrEqual(t, total, maxControlBytesPerSecond)
}
