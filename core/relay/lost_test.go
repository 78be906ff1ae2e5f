package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/stock"
)

// entryAt returns the entry of an endpoint with an address of its own.
func entryAt(instance string, host byte) EndpointEntry {
	e := testEntry(instance, llm)
	e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80)
	return e
}

// crashWords are the ways in which a router learns of the end of endpoint e1, listed with two others, of which
// e1 alone holds the model. successor is the entry of its next incarnation. idle is a further request at e1.
var crashWords = map[string]func(router *testRouter, successor EndpointEntry, idle RequestID){
	"entry removed": func(router *testRouter, _ EndpointEntry, _ RequestID) {
		router.listEndpoints(entryAt("e2", 2), entryAt("e3", 3))
	},
	"successor in place of the entry": func(router *testRouter, successor EndpointEntry, _ RequestID) {
		router.listEndpoints(entryAt("e2", 2), entryAt("e3", 3), successor)
	},
	"successor beside the entry": func(router *testRouter, successor EndpointEntry, _ RequestID) {
		router.listEndpoints(append(lo.Filter(router.list, func(e EndpointEntry, _ int) bool { return e.Instance != successor.Instance }), successor)...)
	},
	"agent reports it down": func(router *testRouter, _ EndpointEntry, _ RequestID) { router.reportDown("e1") },
	"agent reports a restart": func(router *testRouter, _ EndpointEntry, _ RequestID) {
		router.apply(InstanceChanged{From: "e1", Report: stock.Report{Instance: "e1-2"}})
	},
	"port refuses": func(router *testRouter, _ EndpointEntry, _ RequestID) {
		router.apply(PortChecked{Instance: "e1", Refused: true})
	},
	"attempt refused": func(router *testRouter, _ EndpointEntry, idle RequestID) {
		router.apply(AttemptEnded{ID: idle, Result: Unsent, LastEvent: NoEvent, Refused: true})
	},
	"another instance answers": func(router *testRouter, _ EndpointEntry, idle RequestID) { router.endAttempt(idle, Replaced) },
}

// Guards against a crash that counts only if its endpoint's attempts break before, or after, a certain source tells
// of its end (incident of 2026-12-06).
func TestCrashIsReportedInAnyOrder(t *testing.T) {
	names := lo.Keys(crashWords)
	for _, word := range names {
		for _, other := range append(names, "") {
			for place := range 3 {
				for _, born := range []int64{0, 7} {
					t.Run(fmt.Sprintf("%s, %s, lost as number %d, born %d", word, other, place+1, born), func(t *testing.T) {
						entry := entryAt("e1", 1)
						entry.Born = born
						router := newTestRouter(t, entry, entryAt("e2", 2), entryAt("e3", 3))
						router.report("e1", withModels("a"))
						router.report("e2", withModels("b"))
						router.report("e3", withModels("b"))
						id, idle := router.arriveWithPrompt("shared", "deadly", "own"), router.arriveWithPrompt("else")
						successor := entry
						successor.Instance, successor.Born = "e1-2", born*2
						lost := 0
						step := func(apply func()) {
							router.now = router.now.Add(50 * time.Millisecond)
							apply()
							lost += lo.SumBy(effectsOf[EndpointCrashed](router), func(eff EndpointCrashed) int {
								return lo.Ternary(eff.Endpoint == "e1" && len(eff.Suspects) > 0, 1, 0)
							})
						}
						for n, name := range []string{word, other} {
							if n == place {
								step(func() { router.loseAttempt(id) })
							}
							if tell := crashWords[name]; tell != nil {
								step(func() { tell(router, successor, idle) })
							}
						}
						if place == 2 {
							step(func() { router.loseAttempt(id) })
						}
						assert.Equal(t, 1, lost)
					})
				}
			}
		}
	}
}

// A cut connection alone is no crash, whatever comes between, and neither is one at an endpoint that has said that
// it leaves.
func TestLostAttemptsThatAreNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(router *testRouter)
		reason        lossReason
	}{
		"endpoint goes on": {nil, func(router *testRouter) {
			for range 60 {
				router.now = router.now.Add(100 * time.Millisecond)
				router.apply(PortChecked{Instance: "e1"})
				router.report("e1", withModels("a"))
			}
		}, lossWithoutEnd},
		"endpoint drains, then goes": {func(router *testRouter) {
			entry := entryAt("e1", 1)
			entry.Leaving = true
			router.listEndpoints(entry, entryAt("e2", 2))
		}, func(router *testRouter) { router.listEndpoints(entryAt("e2", 2)) }, lossOfLeaving},
		"entry removed, cut at the exit": {func(router *testRouter) {
			router.listEndpoints(entryAt("e2", 2))
			router.now = router.now.Add(removalGrace)
		}, nil, lossOfLeaving},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, entryAt("e1", 1), entryAt("e2", 2))
			router.report("e1", withModels("a"))
			router.report("e2", withModels("b"))
			id := router.arriveWithPrompt("shared", "rare", "own")
			if c.before != nil {
				c.before(router)
			}
			router.loseAttempt(id)
			reasons := effectsOf[LossDiscarded](router)
			if c.after != nil {
				c.after(router)
			}
			reasons = append(reasons, effectsOf[LossDiscarded](router)...)
			assert.Empty(t, router.state.poison.crashes)
			assert.Zero(t, router.state.poison.crashCount)
			if len(reasons) > 0 {
				assert.Equal(t, c.reason, reasons[0].Reason)
			}
		})
	}
}

// Guards against an endpoint that starts again under its name, and whose later crash is taken for the one before.
func TestInstanceThatCrashesAgainCountsTwice(t *testing.T) {
	entry := entryAt("e1", 1)
	entry.Born = 1
	router := newTestRouter(t, entry, entryAt("e2", 2))
	router.report("e2", withModels("b"))
	for n := range 2 {
		router.report("e1", withModels("a"))
		id := router.arriveWithPrompt("shared", "deadly", "own")
		router.loseAttempt(id)
		router.reportDown("e1")
		assert.Equal(t, 1, lo.CountBy(effectsOf[event.Count](router), func(c event.Count) bool { return c.Name == "relay.crashes" }), "crash %d", n)
		router.now = router.now.Add(crashConfirmTime + time.Second)
		entry.Born++
		router.listEndpoints(entry, entryAt("e2", 2))
	}
	crashes := router.state.poison.crashes
	require.Len(t, crashes, 2)
	assert.Equal(t, crashConfirmTime+time.Second, crashes[1].crash.At.Sub(crashes[0].crash.At))
}
