package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilreach/core/event"
	"chervilreach/core/stock"
)

// holderAt returns the entry of an incarnation that holds model a.
func holderAt(instance string, host byte, born int64) EndpointEntry {
	e := entryAt(instance, host)
	e.Born, e.Stock.Models = born, []stock.LoadedModel{{Model: "a"}}
	return e
}

// Guards against sound requests that are refused because an incarnation which had ended was listed again by a store
// that came back from an older copy, and the attempts sent there counted as one more crash.
func TestEndedIncarnationListedAgainIsNoCrash(t *testing.T) {
	first, second := holderAt("e1", 1, 7), holderAt("e1-2", 1, 8)
	for name, c := range map[string]struct {
		// before is what the router sees of the first incarnation before it is listed again, after is what it sees then.
		before  func(router *testRouter) *testRouter
		after   func(router *testRouter)
		crashes int
	}{
		"crashed": {func(router *testRouter) *testRouter {
			router.report("e1", withModels("a"))
			id := router.arriveWithPrompt("shared", "deadly", "own")
			router.loseAttempt(id)
			router.reportDown("e1")
			return router
		}, nil, 1},
		"ended without a lost request": {func(router *testRouter) *testRouter {
			router.report("e1", withModels("a"))
			router.reportDown("e1")
			return router
		}, nil, 0},
		"entry removed": {func(router *testRouter) *testRouter {
			router.report("e1", withModels("a"))
			router.listEndpoints()
			return router
		}, nil, 0},
		"agent reports a restart": {func(router *testRouter) *testRouter {
			router.report("e1", withModels("a"))
			router.apply(InstanceChanged{From: "e1", Report: stock.Report{Instance: "e1-2"}})
			return router
		}, nil, 0},
		"router started since": {func(router *testRouter) *testRouter {
			restarted := newTestRouter(router.t)
			restarted.now = router.now
			restarted.apply(VersionsRead{})
			return restarted
		}, nil, 0},
		"agent reports it up again": {func(router *testRouter) *testRouter {
			router.report("e1", withModels("a"))
			router.listEndpoints()
			return router
		}, func(router *testRouter) { router.report("e1", withModels("a")) }, 1},
		"answers again": {func(router *testRouter) *testRouter {
			router.report("e1", withModels("a"))
			router.listEndpoints()
			return router
		}, func(router *testRouter) {
			router.endAttempt(router.arriveWithPrompt("shared", "sound", "before"), Done)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, first)
			router.apply(VersionsRead{})
			router = c.before(router)
			router.listEndpoints(second)
			router.now = router.now.Add(crashConfirmTime + time.Second)
			router.listEndpoints(first)
			router.now = router.now.Add(firstReportTimeout)
			if c.after != nil {
				c.after(router)
				router.now = router.now.Add(time.Second)
			}
			id := router.arriveWithPrompt("other", "sound", "own")
			require.Equal(t, "e1", onlyEffect[Send](router).Instance)
			router.now = router.now.Add(50 * time.Millisecond)
			router.listEndpoints(second)
			require.Equal(t, id, onlyEffect[AbortAttempt](router).ID)
			router.endAttempt(id, Broken)
			assert.Len(t, router.state.poison.crashes, c.crashes)
		})
	}
}

// Guards against the same because a list of the past has an earlier incarnation at the address of a living one.
func TestEarlierIncarnationInListIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		listed  EndpointEntry
		crashes int
	}{
		"earlier": {holderAt("e1", 1, 7), 0},
		"later":   {holderAt("e1-3", 1, 9), 1},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, holderAt("e1-2", 1, 8))
			router.report("e1-2", withModels("a"))
			id := router.arriveWithPrompt("shared", "sound", "own")
			router.now = router.now.Add(50 * time.Millisecond)
			router.listEndpoints(c.listed)
			require.Equal(t, id, onlyEffect[AbortAttempt](router).ID)
			router.endAttempt(id, Broken)
			assert.Len(t, router.state.poison.crashes, c.crashes)
		})
	}
}

// Judges take two crashes of an incarnation for one unless it was alive in between.
func TestCrashTellsWhenItsEndpointWasAlive(t *testing.T) {
	for name, c := range map[string]struct {
		born int64
		want time.Duration
	}{
		"with a start":    {7, -staleReportTime},
		"without a start": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, holderAt("e1", 1, c.born))
			reportedAt := router.now
			router.report("e1", withModels("a"))
			id := router.arriveWithPrompt("shared", "deadly", "own")
			router.now = router.now.Add(time.Second)
			router.loseAttempt(id)
			router.reportDown("e1")
			require.Len(t, router.state.poison.crashes, 1)
			aliveAt := router.state.poison.crashes[0].crash.AliveAt
			if c.want == 0 {
				assert.Zero(t, aliveAt, "the next incarnation may have the same name")
				return
			}
			assert.Equal(t, reportedAt.Add(c.want), aliveAt)
		})
	}
}

// life is an incarnation in a pastRun.
type life struct {
	entry EndpointEntry
	// ended reports whether it has ended. told and seen are what the router knows: that it has ended, and that it
	// has shown life since.
	ended, told, seen bool
}

// pastRun is one random history of endpoints, lists of which some are of the past, agents, answers, and
// restarts of the router.
type pastRun struct {
	*testRouter
	t *rapid.T
	// hosts has the incarnations of each endpoint, the last one last. lists are the lists of the store so far.
	hosts [][]*life
	lists [][]EndpointEntry
	born  int64
	// attempts has the incarnation of each attempt in progress, evidence the number of attempts, by
	// instance, that were lost and may count.
	attempts map[RequestID]*attemptAt
	evidence map[string]int
	// losing is the attempt that was lost last.
	losing *attemptAt
}

// attemptAt is an attempt in progress. late reports whether it was sent to an incarnation of which the router was told
// that it has ended, or of which it has seen no life.
type attemptAt struct {
	*life
	late bool
}

func newPastRun(outer *testing.T, t *rapid.T) *pastRun {
	run := &pastRun{t: t, attempts: make(map[RequestID]*attemptAt), evidence: make(map[string]int)}
	run.testRouter = newTestRouter(outer)
	run.apply(VersionsRead{})
	for host := range 3 {
		run.hosts = append(run.hosts, nil)
		run.start(host)
	}
	run.list()
	return run
}

func (run *pastRun) start(host int) {
	run.born++
	name := fmt.Sprintf("i%d-%d", host, run.born)
	run.hosts[host] = append(run.hosts[host], &life{entry: holderAt(name, byte(host+1), run.born)})
}

func (run *pastRun) current(host int) *life { return run.hosts[host][len(run.hosts[host])-1] }

func (run *pastRun) drawHost() int { return rapid.IntRange(0, 2).Draw(run.t, "host") }

// lifeAt returns the incarnation with the given name.
func (run *pastRun) lifeAt(instance string) *life {
	l, _ := lo.Find(lo.Flatten(run.hosts), func(l *life) bool { return l.entry.Instance == instance })
	return l
}

// do applies an event, ends the attempts that the router aborts, and checks the crashes that it reports.
func (run *pastRun) do(ev event.Event) {
	effects := run.apply(ev)
	for _, eff := range effects {
		switch eff := eff.(type) {
		case Send:
			l := run.lifeAt(eff.Instance)
			run.attempts[eff.ID] = &attemptAt{l, l.told || !l.seen}
		case Refuse:
			delete(run.attempts, eff.ID)
		case Fail:
			delete(run.attempts, eff.ID)
		case LossDiscarded:
			if eff.Reason == lossAfterEnd && !run.losing.late {
				run.t.Fatalf("an attempt lost in the crash of %s is discarded", eff.Endpoint)
			}
		case EndpointCrashed:
			run.evidence[eff.Endpoint] -= eff.Lost
			if run.evidence[eff.Endpoint] < 0 {
				run.t.Fatalf("an attempt sent to %s after its end counts as a crash", eff.Endpoint)
			}
		}
	}
	for _, eff := range effects {
		if abort, ok := eff.(AbortAttempt); ok && run.attempts[abort.ID] != nil {
			run.lose(abort.ID, false)
		}
	}
}

// lose ends an attempt without an answer. cut reports whether its endpoint closed the connection.
func (run *pastRun) lose(id RequestID, cut bool) {
	a := run.attempts[id]
	delete(run.attempts, id)
	run.losing = a
	if !a.late || cut {
		run.evidence[a.entry.Instance]++
	}
	run.do(AttemptEnded{ID: id, Result: Broken, LastEvent: NoEvent, Cut: cut})
}

// tell lists entries to the router.
func (run *pastRun) tell(entries []EndpointEntry) {
	for _, l := range lo.Flatten(run.hosts) {
		if lo.ContainsBy(run.testRouter.list, func(e EndpointEntry) bool { return e.Instance == l.entry.Instance }) &&
			!lo.ContainsBy(entries, func(e EndpointEntry) bool { return e.Instance == l.entry.Instance }) {
			l.told, l.seen = true, false
		}
	}
	run.testRouter.list = entries
	run.do(EndpointsListed{List: entries, ReadAt: run.now})
}

// list lists the last incarnations, of which some may have ended unnoticed.
func (run *pastRun) list() {
	var entries []EndpointEntry
	for host := range run.hosts {
		entries = append(entries, run.current(host).entry)
	}
	run.lists = append(run.lists, entries)
	run.tell(entries)
}

func (run *pastRun) listPast() { run.tell(rapid.SampledFrom(run.lists).Draw(run.t, "list")) }

// report has the agent of a host report its endpoint.
func (run *pastRun) report() {
	l := run.current(run.drawHost())
	if run.state.endpoint(l.entry.Instance) == nil {
		return
	}
	run.now = run.now.Add(staleReportTime)
	l.told, l.seen = l.ended, !l.ended
	run.do(AgentReported{Report: stock.Report{
		Instance: l.entry.Instance, Down: l.ended, KVTotal: 130_000, Routers: 1, Models: l.entry.Stock.Models,
	}})
}

// crash ends an endpoint, which closes its connections, or starts it again.
func (run *pastRun) crash() {
	host := run.drawHost()
	l := run.current(host)
	if l.ended {
		run.start(host)
		return
	}
	l.ended = true
	for id := RequestID(0); id <= run.lastID; id++ {
		if a := run.attempts[id]; a != nil && a.life == l {
			run.lose(id, true)
		}
	}
}

func (run *pastRun) request() {
	run.lastID++
	rt := streamRoute()
	run.do(RequestArrived{ID: run.lastID, Request: Request{
		AttemptID: "x", Route: rt, Service: llm, Item: modelA, TokensIn: 300, TokensOut: 100,
		Prefix: promptOf("shared", fmt.Sprint(run.lastID), "own"), Deadline: run.now.Add(rt.Timeout), LastEvent: NoEvent,
	}})
}

// answer has living endpoints answer their attempts.
func (run *pastRun) answer() {
	for id := RequestID(0); id <= run.lastID; id++ {
		if a := run.attempts[id]; a != nil && !a.ended {
			delete(run.attempts, id)
			a.told, a.seen = false, true
			run.do(AttemptEnded{ID: id, Result: Done, LastEvent: NoEvent})
		}
	}
}

// restart starts the router again. It knows nothing but the list.
func (run *pastRun) restart() {
	lastID, now, entries := run.lastID, run.now, run.testRouter.list
	run.testRouter = newTestRouter(run.testRouter.t)
	run.lastID, run.now = lastID, now
	run.apply(VersionsRead{})
	clear(run.attempts)
	clear(run.evidence)
	for _, l := range lo.Flatten(run.hosts) {
		l.told, l.seen = false, false
	}
	run.tell(entries)
}

// Guards against the same in any order of crashes, reports, lists of the past, answers, and restarts of the router.
func TestCrashesAreOfLivingIncarnations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		run := newPastRun(t, rt)
		step := func(f func()) func(*rapid.T) {
			return func(*rapid.T) {
				run.now = run.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
				f()
				run.do(event.Tick{})
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"list": step(run.list), "list past": step(run.listPast), "report": step(run.report), "crash": step(run.crash),
			"request": step(run.request), "requests": step(run.request), "answer": step(run.answer), "restart": step(run.restart),
		})
	})
}
