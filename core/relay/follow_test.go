package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// fleetOf returns so many endpoints in three failure domains; what each holds the
// list tells.
func fleetMembers(n int, held func(i int) []string) []Member {
	list := make([]Member, 0, n)
	for i := range n {
		m := testMember(fmt.Sprintf("i-%04d", i), llm)
		m.FailureDomain = []string{"here", "there", "yonder"}[i%3]
		m.Stock.Instance = m.Instance
		for _, model := range held(i) {
			m.Stock.Models = append(m.Stock.Models, stock.Held{Model: model})
		}
		list = append(list, m)
	}
	return list
}

func noModels(int) []string { return nil }

// followed returns the instances of the last Follow of the last event.
func (w *testRouter) followed() []string {
	w.t.Helper()
	return lo.Map(onlyEffect[FollowAgents](w).List, func(m Member, _ int) string { return m.Instance })
}

// TestFollowAllOfSmallFleet: up to followAll agents are followed whole, as before
// fleets were larger; plain services stay on the list.
func TestFollowAllOfSmallFleet(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, append(fleetMembers(followAllLimit, noModels), testMember("p-1", plain))...)
	require.Len(t, w.followed(), followAllLimit+1)
	w.arrive(streamRoute(), stock.Item{Model: "a"})
	require.Empty(t, effectsOf[FollowAgents](w))
}

// TestFollowPartOfLargeFleet: of a large fleet a router follows no more than
// followMost agents, those of the models that it is asked for, and lets go of them
// when nobody asks any more.
func TestFollowPartOfLargeFleet(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, func(i int) []string { return []string{string(rune('a' + i%4))} })...)
	always := w.followed()
	require.Len(t, always, alwaysFollowed, "nothing is asked for yet")
	w.advance(confirmTimeout)
	w.arrive(streamRoute(), stock.Item{Model: "b"})
	send := onlyEffect[Send](w)
	followed := w.followed()
	require.NotEmpty(t, followed)
	require.LessOrEqual(t, len(followed), alwaysFollowed+followedHolders+followedLoaders)
	var holders []string
	near := 0
	for _, m := range onlyEffect[FollowAgents](w).List {
		if m.Stock.Holds(stock.Item{Model: "b"}) && !slices.Contains(always, m.Instance) {
			holders = append(holders, m.Instance)
			near += lo.Ternary(m.FailureDomain == "here", 1, 0)
		}
	}
	require.GreaterOrEqual(t, near, followedHolders-1, "but for one that is followed always")
	require.Equal(t, "b", w.s.endpoint(send.Instance).Stock.Models[0].Model, "served before any agent is followed")
	w.ended(send.ID, Done)

	w.report(holders[0], withModels("b"))
	w.arrive(streamRoute(), stock.Item{Model: "b"})
	require.Equal(t, holders[0], onlyEffect[Send](w).Instance, "the one whose load is known")

	w.advance(2 * time.Minute)
	require.Equal(t, always, w.followed(), "nobody asks for it any more")
	require.False(t, w.s.endpoint(holders[0]).hasAgent)
	require.True(t, w.s.endpoint(holders[0]).Stock.Holds(stock.Item{Model: "b"}), "as the list says")
}

// TestRoutersSpreadOverUnseen: routers that see the same list and no load do not
// all choose the same endpoint.
func TestRoutersSpreadOverUnseen(t *testing.T) {
	t.Parallel()
	list := fleetMembers(600, func(i int) []string { return lo.Ternary(i%10 == 0, []string{"a"}, nil) })
	chosen := make(map[string]int)
	const routers = 100
	for n := range routers {
		w := newTestRouter(t)
		w.s.cfg.Process = fmt.Sprintf("relay-%d", n)
		w.setMembers(list...)
		w.advance(confirmTimeout)
		w.arrive(streamRoute(), stock.Item{Model: "a"})
		chosen[onlyEffect[Send](w).Instance]++
	}
	for id, n := range chosen {
		require.LessOrEqual(t, n, routers/5, "%s of %v", id, chosen)
	}
}

// TestFollowBounded: busy models have more agents followed than rare ones, and all
// together no more than followMost.
func TestFollowBounded(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, func(i int) []string { return []string{string(rune('a' + i%5))} })...)
	w.advance(confirmTimeout)
	for n := range 400 {
		model := "a"
		if n%10 == 0 {
			model = string(rune('b' + n/10%4))
		}
		w.arrive(streamRoute(), stock.Item{Model: model})
		w.ended(w.lastID, Done)
		w.advance(20 * time.Millisecond)
		require.LessOrEqual(t, len(w.s.followed), maxFollowed)
	}
	followed := lo.CountValuesBy(lo.Keys(w.s.followed), func(id string) string {
		return w.s.endpoint(id).Stock.Models[0].Model
	})
	for _, model := range []string{"a", "b", "c", "d", "e"} {
		require.GreaterOrEqual(t, followed[model], followedHolders, "%v", followed)
	}
}

// TestColdModelInLargeFleet: a model that nobody holds is asked for where all
// routers would ask for it, as soon as the agent there reports.
func TestColdModelInLargeFleet(t *testing.T) {
	t.Parallel()
	var asked []string
	for _, process := range []string{"relay-1", "relay-2"} {
		w := newTestRouter(t, fleetMembers(600, noModels)...)
		w.s.cfg.Process = process
		w.advance(confirmTimeout)
		w.arrive(patientRoute(), stock.Item{Model: "a"})
		require.Empty(t, effectsOf[Refuse](w), "the agents are being connected to")
		followed := w.followed()
		require.Len(t, followed, alwaysFollowed+followedLoaders)
		for _, id := range followed {
			require.Empty(t, w.s.pendingLoads[loadKey{llm, stock.Item{Model: "a"}}].instance, "not all have reported")
			w.report(id, nil)
		}
		one := w.s.pendingLoads[loadKey{llm, stock.Item{Model: "a"}}].instance
		require.Contains(t, followed, one)
		w.report(one, withModels("a"))
		require.Equal(t, one, onlyEffect[Send](w).Instance)
		asked = append(asked, one)
	}
	require.Equal(t, asked[0], asked[1], "the same at all routers")
}

// TestFormerHolderFollowed: endpoints that held a model last have a copy of it, so
// that they are asked for it first.
func TestFormerHolderFollowed(t *testing.T) {
	t.Parallel()
	held := func(i int) []string { return lo.Ternary(i == 77, []string{"a"}, nil) }
	w := newTestRouter(t, fleetMembers(600, held)...)
	w.advance(confirmTimeout)
	w.setMembers(fleetMembers(600, noModels)...)
	w.arrive(patientRoute(), stock.Item{Model: "a"})
	require.Contains(t, w.followed(), "i-0077")
	for _, id := range w.followed() {
		w.report(id, func(r *stock.Report) {
			r.Copies = stock.Copies{Disk: []string{"b"}}
			if id == "i-0077" {
				r.Copies.Memory = []string{"a"}
			}
		})
	}
	require.Equal(t, "i-0077", w.s.pendingLoads[loadKey{llm, stock.Item{Model: "a"}}].instance)
}

// TestReportOfAgentLetGo: a report that was on its way when its agent was let go
// of changes nothing.
func TestReportOfAgentLetGo(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, noModels)...)
	w.report("i-0001", withModels("a"))
	require.False(t, w.s.endpoint("i-0001").hasAgent)
	require.Empty(t, w.s.candidates(llm, "a"))
}

// TestFollowRenamed: an endpoint that has started again stays followed under its
// new name.
func TestFollowRenamed(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, noModels)...)
	w.advance(confirmTimeout)
	w.arrive(patientRoute(), stock.Item{Model: "a"})
	id := w.followed()[0]
	w.report(id, nil)
	w.apply(InstanceChanged{From: id, Report: stock.Report{Instance: "i-9999", KVTotal: 130_000, Routers: 1}})
	require.True(t, w.s.endpoint("i-9999").hasAgent)
	w.advance(followInterval)
	for _, f := range effectsOf[FollowAgents](w) {
		require.False(t, slices.ContainsFunc(f.List, func(m Member) bool { return m.Instance == id }))
	}
}

// TestLoadBetweenSparseReports: requests of this router that have ended since the
// last report no longer count.
func TestLoadBetweenSparseReports(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, func(int) []string { return []string{"a"} })...)
	w.advance(confirmTimeout)
	w.arrive(streamRoute(), stock.Item{Model: "a"})
	w.ended(w.lastID, Done)
	var e *endpoint
	for id := range w.s.followed {
		e = w.s.endpoint(id)
		w.report(id, func(r *stock.Report) {
			withModels("a")(r)
			r.Running = 10
		})
	}
	for range 100 * followedHolders {
		w.arrive(streamRoute(), stock.Item{Model: "a"})
		w.ended(w.lastID, Done)
	}
	require.Equal(t, 10, e.load())
}

// TestHolderAboutToBeConfirmed: a router that has just started loads no second copy
// while the agents of those that hold a model have had no time to report.
func TestHolderAboutToBeConfirmed(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, func(i int) []string { return lo.Ternary(i == 42, []string{"a"}, nil) })...)
	w.arrive(streamRoute(), stock.Item{Model: "a"})
	require.Empty(t, effectsOf[Send](w))
	require.Contains(t, w.followed(), "i-0042")
	for id := range w.s.followed {
		if id != "i-0042" {
			w.report(id, nil)
		}
	}
	require.Empty(t, w.s.pendingLoads, "no load is asked for")
	w.report("i-0042", withModels("a"))
	require.Equal(t, "i-0042", onlyEffect[Send](w).Instance)
}

// TestRoutersSeen: where each router follows a part of the agents, an agent sees
// a part of the routers.
func TestRoutersSeen(t *testing.T) {
	t.Parallel()
	w := newTestRouter(t, fleetMembers(600, noModels)...)
	w.advance(confirmTimeout)
	w.arrive(patientRoute(), stock.Item{Model: "a"})
	id := w.followed()[0]
	w.report(id, func(r *stock.Report) { r.Routers = 2 })
	const followed = alwaysFollowed + followedLoaders
	require.Equal(t, 2*600/followed, w.s.retryBudget.routers)
	require.Equal(t, followed*time.Second/maxReportsPerSecond, w.s.reportGap())
}
