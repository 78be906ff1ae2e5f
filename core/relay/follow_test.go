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
func fleetOf(n int, held func(i int) []string) []Member {
	list := make([]Member, 0, n)
	for i := range n {
		m := member(fmt.Sprintf("i-%04d", i), llm)
		m.FailureDomain = []string{"here", "there", "yonder"}[i%3]
		m.Stock.Instance = m.Instance
		for _, model := range held(i) {
			m.Stock.Models = append(m.Stock.Models, stock.Held{Model: model})
		}
		list = append(list, m)
	}
	return list
}

func holdsNothing(int) []string { return nil }

// followed returns the instances of the last Follow of the last event.
func (w *world) followed() []string {
	w.t.Helper()
	return lo.Map(only[Follow](w).List, func(m Member, _ int) string { return m.Instance })
}

// TestFollowAllOfSmallFleet: up to followMost agents are followed whole, as before
// fleets were larger; plain services stay on the list.
func TestFollowAllOfSmallFleet(t *testing.T) {
	t.Parallel()
	w := newWorld(t, append(fleetOf(followMost, holdsNothing), member("p-1", plain))...)
	require.Len(t, w.followed(), followMost+1)
	w.arrive(streamRoute(), stock.Item{Model: "a"})
	require.Empty(t, effectsOf[Follow](w))
}

// TestFollowPartOfLargeFleet: of a large fleet a router follows no more than
// followMost agents, those of the models that it is asked for, and lets go of them
// when nobody asks any more.
func TestFollowPartOfLargeFleet(t *testing.T) {
	t.Parallel()
	w := newWorld(t, fleetOf(600, func(i int) []string { return []string{string(rune('a' + i%4))} })...)
	require.Empty(t, w.followed(), "nothing is asked for yet")
	w.pass(confirmTime)
	w.arrive(streamRoute(), stock.Item{Model: "b"})
	send := only[Send](w)
	followed := w.followed()
	require.NotEmpty(t, followed)
	require.LessOrEqual(t, len(followed), followHolders+followPlaces)
	var holders []string
	for _, m := range only[Follow](w).List {
		if m.Stock.Holds(stock.Item{Model: "b"}) {
			holders = append(holders, m.Instance)
			require.Equal(t, "here", m.FailureDomain)
		}
	}
	require.Len(t, holders, followHolders)
	require.Equal(t, "b", w.s.endpoint(send.Instance).Stock.Models[0].Model, "served before any agent is followed")
	w.ended(send.ID, Done)

	w.report(holders[0], holding("b"))
	w.arrive(streamRoute(), stock.Item{Model: "b"})
	require.Equal(t, holders[0], only[Send](w).Instance, "the one whose load is known")

	w.pass(2 * time.Minute)
	require.Empty(t, w.followed(), "nobody asks for it any more")
	require.False(t, w.s.endpoint(holders[0]).hasAgent)
	require.True(t, w.s.endpoint(holders[0]).Stock.Holds(stock.Item{Model: "b"}), "as the list says")
}

// TestFollowBounded: busy models have more agents followed than rare ones, and all
// together no more than followMost.
func TestFollowBounded(t *testing.T) {
	t.Parallel()
	w := newWorld(t, fleetOf(600, func(i int) []string { return []string{string(rune('a' + i%5))} })...)
	w.pass(confirmTime)
	for n := range 400 {
		model := "a"
		if n%10 == 0 {
			model = string(rune('b' + n/10%4))
		}
		w.arrive(streamRoute(), stock.Item{Model: model})
		w.ended(w.last, Done)
		w.pass(20 * time.Millisecond)
		require.LessOrEqual(t, len(w.s.followed), followMost)
	}
	followed := lo.CountValuesBy(lo.Keys(w.s.followed), func(id string) string {
		return w.s.endpoint(id).Stock.Models[0].Model
	})
	for _, model := range []string{"a", "b", "c", "d", "e"} {
		require.GreaterOrEqual(t, followed[model], followHolders, "%v", followed)
	}
}

// TestColdModelInLargeFleet: a model that nobody holds is asked for where all
// routers would ask for it, as soon as the agent there reports.
func TestColdModelInLargeFleet(t *testing.T) {
	t.Parallel()
	var places [][]string
	for _, process := range []string{"relay-1", "relay-2"} {
		w := newWorld(t, fleetOf(600, holdsNothing)...)
		w.s.cfg.Process = process
		w.pass(confirmTime)
		w.arrive(patientRoute(), stock.Item{Model: "a"})
		require.Empty(t, effectsOf[Refuse](w), "the agents are being connected to")
		places = append(places, w.followed())
		require.Len(t, places[0], followPlaces)
		for _, id := range w.followed() {
			w.report(id, nil)
		}
		w.pass(50 * time.Millisecond)
		asked := w.s.wants[wantKey{llm, stock.Item{Model: "a"}}].instance
		require.Contains(t, places[0], asked)
		w.report(asked, holding("a"))
		require.Equal(t, asked, only[Send](w).Instance)
	}
	require.Equal(t, places[0], places[1])
}

// TestFormerHolderFollowed: endpoints that held a model last have a copy of it, so
// that they are asked for it first.
func TestFormerHolderFollowed(t *testing.T) {
	t.Parallel()
	held := func(i int) []string { return lo.Ternary(i == 77, []string{"a"}, nil) }
	w := newWorld(t, fleetOf(600, held)...)
	w.pass(confirmTime)
	w.setMembers(fleetOf(600, holdsNothing)...)
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
	require.Equal(t, "i-0077", w.s.wants[wantKey{llm, stock.Item{Model: "a"}}].instance)
}

// TestReportOfAgentLetGo: a report that was on its way when its agent was let go
// of changes nothing.
func TestReportOfAgentLetGo(t *testing.T) {
	t.Parallel()
	w := newWorld(t, fleetOf(600, holdsNothing)...)
	w.report("i-0001", holding("a"))
	require.False(t, w.s.endpoint("i-0001").hasAgent)
	require.Empty(t, w.s.candidates(llm, "a"))
}

// TestFollowRenamed: an endpoint that has started again stays followed under its
// new name.
func TestFollowRenamed(t *testing.T) {
	t.Parallel()
	w := newWorld(t, fleetOf(600, holdsNothing)...)
	w.pass(confirmTime)
	w.arrive(patientRoute(), stock.Item{Model: "a"})
	id := w.followed()[0]
	w.report(id, nil)
	w.apply(Renamed{From: id, Report: stock.Report{Instance: "i-9999", KVTotal: 130_000, Routers: 1}})
	require.True(t, w.s.endpoint("i-9999").hasAgent)
	w.pass(followTime)
	for _, f := range effectsOf[Follow](w) {
		require.False(t, slices.ContainsFunc(f.List, func(m Member) bool { return m.Instance == id }))
	}
}

// TestRoutersSeen: where each router follows a part of the agents, an agent sees
// a part of the routers.
func TestRoutersSeen(t *testing.T) {
	t.Parallel()
	w := newWorld(t, fleetOf(600, holdsNothing)...)
	w.pass(confirmTime)
	w.arrive(patientRoute(), stock.Item{Model: "a"})
	id := w.followed()[0]
	w.report(id, func(r *stock.Report) { r.Routers = 2 })
	require.Equal(t, 2*600/followPlaces, w.s.budget.routers)
	require.Equal(t, followPlaces*time.Second/reportsMost, w.s.reportGap())
}
