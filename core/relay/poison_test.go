package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/poison"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// promptOf returns the parts of a prompt with the given IDs.
func promptOf(ids ...string) []PromptPart {
	return lo.Map(ids, func(id string, _ int) PromptPart { return PromptPart{ID: id, Tokens: 100} })
}

// arriveWithPrompt applies the arrival of a request for model a whose prompt has the given parts.
func (router *testRouter) arriveWithPrompt(ids ...string) RequestID {
	router.lastID++
	rt := streamRoute()
	router.apply(RequestArrived{ID: router.lastID, Request: Request{
		AttemptID: "x", Route: rt, Service: llm, Item: modelA, TokensIn: 300, TokensOut: 100,
		Prefix: promptOf(ids...), Deadline: router.now.Add(rt.Timeout), LastEvent: NoEvent,
	}})
	return router.lastID
}

// loseAttempt ends the attempt of a request because its endpoint closes the connection.
func (router *testRouter) loseAttempt(id RequestID) {
	router.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: NoEvent, Cut: true})
}

func (router *testRouter) reportDown(instance string) {
	router.report(instance, func(r *stock.Report) { r.Down = true })
}

func (router *testRouter) reportVerdicts(instance string, verdicts ...poison.Verdict) {
	router.report(instance, func(r *stock.Report) {
		withModels("a")(r)
		r.Verdicts = verdicts
	})
}

// newPromptRouter returns a router with three endpoints that hold model a.
func newPromptRouter(t *testing.T) *testRouter {
	t.Helper()
	entries := []EndpointEntry{testEntry("e1", llm), testEntry("e2", llm), testEntry("e3", llm)}
	router := newTestRouter(t, entries...)
	for _, e := range entries {
		router.report(e.Instance, withModels("a"))
	}
	return router
}

func TestLostAttemptsOfACrashAreReportedToJudges(t *testing.T) {
	router := newPromptRouter(t)
	id := router.arriveWithPrompt("shared", "deadly", "own")
	send := onlyEffect[Send](router)
	router.loseAttempt(id)
	assert.Empty(t, effectsOf[ReportCrashes](router), "the connection may have been cut")
	lostAt := router.now
	router.now = router.now.Add(100 * time.Millisecond)
	router.reportDown(send.Instance)
	reports := effectsOf[ReportCrashes](router)
	require.Len(t, reports, judgeCount)
	require.Len(t, reports[0].Crashes, 1)
	crash := reports[0].Crashes[0]
	assert.Equal(t, send.Instance, crash.Instance)
	assert.Equal(t, lostAt, crash.At)
	assert.ElementsMatch(t, []poison.Part{poison.PartOf(llm, "shared"), poison.PartOf(llm, "deadly")},
		lo.Map(crash.Suspects, func(s poison.Suspect, _ int) poison.Part { return s.Part }), "not the last part")
}

func TestNoCrashIsReported(t *testing.T) {
	for name, lose := range map[string]func(router *testRouter, id RequestID, instance string){
		"connection cut, endpoint up": func(router *testRouter, id RequestID, instance string) {
			router.loseAttempt(id)
			router.report(instance, withModels("a"))
		},
		"silent endpoint": func(router *testRouter, id RequestID, instance string) {
			router.endAttempt(id, Broken)
			router.reportDown(instance)
		},
		"crash long after": func(router *testRouter, id RequestID, instance string) {
			router.loseAttempt(id)
			router.now = router.now.Add(crashConfirmTime + time.Millisecond)
			router.reportDown(instance)
		},
		"leaving endpoint": func(router *testRouter, id RequestID, instance string) {
			router.listEndpoints(lo.Map(router.list, func(e EndpointEntry, _ int) EndpointEntry {
				e.Leaving = e.Instance == instance
				return e
			})...)
			router.loseAttempt(id)
			router.reportDown(instance)
		},
		"answer that has gone on": func(router *testRouter, id RequestID, instance string) {
			router.apply(AnswerStarted{ID: id})
			router.now = router.now.Add(answerSettleTime)
			router.loseAttempt(id)
			router.reportDown(instance)
		},
		"parts that were answered": func(router *testRouter, id RequestID, instance string) {
			other := router.arriveWithPrompt("shared", "deadly", "other")
			router.endAttempt(other, Done)
			router.loseAttempt(id)
			router.reportDown(instance)
		},
		"prompt without shared parts": func(router *testRouter, id RequestID, instance string) {
			router.endAttempt(id, Done)
			for range 9 {
				router.now = router.now.Add(time.Second)
				own := router.arriveWithPrompt("own")
				if onlyEffect[Send](router).Instance == instance {
					router.loseAttempt(own)
					router.reportDown(instance)
					return
				}
				router.endAttempt(own, Done)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			router := newPromptRouter(t)
			id := router.arriveWithPrompt("shared", "deadly", "own")
			lose(router, id, onlyEffect[Send](router).Instance)
			assert.Empty(t, effectsOf[ReportCrashes](router))
		})
	}
}

func TestCrashIsFoundWithoutTheAgent(t *testing.T) {
	for name, find := range map[string]func(router *testRouter, instance string){
		"connection refused": func(router *testRouter, _ string) {
			id := router.arriveWithPrompt("shared", "else", "own-2")
			router.apply(AttemptEnded{ID: id, Result: Unsent, LastEvent: NoEvent, Refused: true})
		},
		"another instance answers": func(router *testRouter, _ string) {
			router.endAttempt(router.arriveWithPrompt("shared", "else", "own-2"), Replaced)
		},
		"another instance listed at the address": func(router *testRouter, _ string) {
			e := testEntry("e9", llm)
			e.Born = 2
			router.listEndpoints(e)
		},
		"new incarnation listed": func(router *testRouter, _ string) {
			router.listEndpoints(lo.Map(router.list, func(e EndpointEntry, _ int) EndpointEntry {
				e.Born = 2
				return e
			})...)
		},
		"new instance reported": func(router *testRouter, instance string) {
			router.apply(InstanceChanged{From: instance, Report: stock.Report{Instance: "e9"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			entry := testEntry("e1", llm)
			entry.Born = 1
			router := newTestRouter(t, entry)
			router.report("e1", withModels("a"))
			id := router.arriveWithPrompt("shared", "deadly", "own")
			router.loseAttempt(id)
			find(router, "e1")
			assert.Len(t, effectsOf[EndpointCrashed](router), 1)
		})
	}
}

func TestRequestWithConvictedPartIsRefusedAtOnce(t *testing.T) {
	router := newPromptRouter(t)
	v := poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3}
	router.reportVerdicts("e1", v)
	for name, c := range map[string]struct {
		prompt  []string
		refused bool
	}{
		"convicted part":     {[]string{"shared", "deadly", "own"}, true},
		"first part":         {[]string{"deadly", "own"}, true},
		"last part":          {[]string{"shared", "deadly"}, false},
		"other part":         {[]string{"shared", "sound", "own"}, false},
		"no parts":           {nil, false},
		"part of other case": {[]string{"shared", "Deadly", "own"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			id := router.arriveWithPrompt(c.prompt...)
			if !c.refused {
				onlyEffect[Send](router)
				router.endAttempt(id, Done)
				return
			}
			assert.Empty(t, effectsOf[Send](router))
			refusal := onlyEffect[Refuse](router)
			assert.Equal(t, PromptCrashes, refusal.Reason)
			assert.Equal(t, v.ExpiresAt(), refusal.RetryAt)
			assert.Empty(t, router.state.requests)
		})
	}
}

func TestConvictionEndsRequestsInProgress(t *testing.T) {
	router := newPromptRouter(t)
	atEndpoint := router.arriveWithPrompt("shared", "deadly", "own-1")
	answered := router.arriveWithPrompt("shared", "deadly", "own-2")
	router.apply(AnswerStarted{ID: answered})
	router.reportVerdicts("e1", poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3})
	assert.Equal(t, atEndpoint, onlyEffect[AbortAttempt](router).ID, "not the one that is being answered")
	router.endAttempt(atEndpoint, Broken)
	assert.Equal(t, Fail{ID: atEndpoint, Reason: PromptCrashes}, onlyEffect[Fail](router), "it may have run")
}

func TestRefusedPartsAreNoTraffic(t *testing.T) {
	router := newPromptRouter(t)
	router.reportVerdicts("e1", poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now})
	for range 20 {
		router.arriveWithPrompt("shared", "deadly", "own")
	}
	assert.Empty(t, router.state.modelTraffic)
	assert.Zero(t, lo.Sum(router.state.retryBudget.window(router.now, llm).requestCounts[:]))
}

func TestAnsweredPartIsObjectedTo(t *testing.T) {
	for name, change := range map[string]func(r *stock.Report){
		"suspect": func(r *stock.Report) { r.Suspects = []poison.Part{poison.PartOf(llm, "shared")} },
		"convicted": func(r *stock.Report) {
			r.Verdicts = []poison.Verdict{{Part: poison.PartOf(llm, "shared"), DecidedAt: time.UnixMilli(1_000_000)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			router := newPromptRouter(t)
			router.endAttempt(router.arriveWithPrompt("shared", "own"), Done)
			router.report("e1", change)
			objection := onlyEffect[ReportAnswered](router)
			assert.Equal(t, ReportAnswered{Judge: "e1", Parts: []poison.Part{poison.PartOf(llm, "shared")}}, objection)
			router.arriveWithPrompt("shared", "own")
			onlyEffect[Send](router)
		})
	}
}

func TestVerdictsSpreadToAgentsThatLackThem(t *testing.T) {
	router := newPromptRouter(t)
	v := poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3}
	router.reportVerdicts("e1", v)
	told := lo.Map(effectsOf[ReportVerdicts](router), func(eff ReportVerdicts, _ int) string { return eff.Agent })
	assert.Equal(t, []string{"e2", "e3"}, told)
	router.now = router.now.Add(time.Second)
	router.reportVerdicts("e2", v)
	assert.Empty(t, effectsOf[ReportVerdicts](router), "known there now")
	router.apply(AgentLost{Instance: "e2"})
	router.report("e2", withModels("a"))
	assert.Equal(t, ReportVerdicts{Agent: "e2", Verdicts: []poison.Verdict{v}}, onlyEffect[ReportVerdicts](router), "the agent has restarted")
}

func TestLiftedVerdictLetsRequestsPass(t *testing.T) {
	router := newPromptRouter(t)
	part := poison.PartOf(llm, "deadly")
	router.reportVerdicts("e1", poison.Verdict{Part: part, DecidedAt: router.now, CrashCount: 3})
	router.now = router.now.Add(time.Second)
	router.reportVerdicts("e2", poison.Verdict{Part: part, DecidedAt: router.now, Lifted: true})
	router.arriveWithPrompt("shared", "deadly", "own")
	onlyEffect[Send](router)
	router.now = router.now.Add(time.Second)
	router.reportVerdicts("e1", poison.Verdict{Part: part, DecidedAt: router.now.Add(-2 * time.Second), CrashCount: 3})
	router.arriveWithPrompt("shared", "deadly", "own")
	onlyEffect[Send](router)
}

// Guards against callers that are told to try again, as the conviction came during the last attempt
// or when the retry budget was used up.
func TestConvictionDuringLastAttemptIsTold(t *testing.T) {
	router := newPromptRouter(t)
	id := router.arriveWithPrompt("shared", "deadly", "own")
	router.loseAttempt(id)
	onlyEffect[Send](router)
	router.reportVerdicts("e1", poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3})
	onlyEffect[AbortAttempt](router)
	router.endAttempt(id, Broken)
	assert.Equal(t, Fail{ID: id, Reason: PromptCrashes}, onlyEffect[Fail](router))
}

// Guards against endpoints that are avoided because the router has aborted attempts there itself.
func TestAbortOfConvictedRequestsIsNoFailureOfEndpoint(t *testing.T) {
	router := newPromptRouter(t)
	var ids []RequestID
	for range 30 {
		ids = append(ids, router.arriveWithPrompt("shared", "deadly", "own"))
	}
	router.reportVerdicts("e1", poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3})
	for _, id := range ids {
		router.endAttempt(id, Broken)
	}
	for _, e := range router.state.endpoints {
		assert.Zero(t, e.failureRate, e.Instance)
		assert.False(t, router.now.Before(e.ejectedUntil), e.Instance)
	}
}

// Guards against an endpoint that is taken for down for good, as its agent was lost after a refused
// poll.
func TestEndpointIsUsedAgainAfterItsAgentIsLost(t *testing.T) {
	entry := testEntry("e1", llm)
	entry.Stock.Models = []stock.LoadedModel{{Model: "a"}}
	router := newTestRouter(t, entry)
	router.report("e1", withModels("a"))
	router.reportDown("e1")
	router.apply(AgentLost{Instance: "e1"})
	router.now = router.now.Add(time.Minute)
	router.listEndpoints(entry)
	router.arriveWithPrompt("shared", "own")
	assert.Len(t, effectsOf[Send](router), 1, "%v", router.effects)
}

// Guards against cut connections that count as the crash of an endpoint whose agent, since lost, has
// reported it down.
func TestStaleDownReportMakesNoCrash(t *testing.T) {
	entry := testEntry("e1", llm)
	entry.Stock.Models = []stock.LoadedModel{{Model: "a"}}
	router := newTestRouter(t, entry)
	router.report("e1", withModels("a"))
	id := router.arriveWithPrompt("shared", "rare", "own")
	router.reportDown("e1")
	router.apply(AgentLost{Instance: "e1"})
	router.now = router.now.Add(10 * time.Second)
	router.loseAttempt(id)
	assert.Empty(t, effectsOf[EndpointCrashed](router))
}

// Guards against connections that a network fault resets and refuses being taken for a crash of an
// endpoint that its agent reports as up.
func TestRefusedConnectionToLiveEndpointIsNoCrash(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", llm))
	router.report("e1", withModels("a"))
	id := router.arriveWithPrompt("shared", "rare", "own")
	next := router.arriveWithPrompt("other")
	router.loseAttempt(id)
	router.now = router.now.Add(time.Second)
	router.report("e1", withModels("a"))
	router.apply(AttemptEnded{ID: next, Result: Unsent, LastEvent: NoEvent, Refused: true})
	assert.Empty(t, effectsOf[ReportCrashes](router))
}

// Guards against a sound suspect that is convicted because the router has objected to another one
// just before.
func TestSecondSuspectIsObjectedToAtOnce(t *testing.T) {
	router := newPromptRouter(t)
	router.endAttempt(router.arriveWithPrompt("first", "second", "own"), Done)
	for _, id := range []string{"first", "second"} {
		part := poison.PartOf(llm, id)
		router.report("e1", func(r *stock.Report) { r.Suspects = []poison.Part{part} })
		assert.Equal(t, []poison.Part{part}, onlyEffect[ReportAnswered](router).Parts)
		router.report("e1", func(r *stock.Report) { r.Suspects = []poison.Part{part} })
		assert.Empty(t, effectsOf[ReportAnswered](router), "told already")
		router.now = router.now.Add(100 * time.Millisecond)
	}
}

// Guards against a verdict that waits for the next reports of agents that were told another one just
// before.
func TestSecondVerdictSpreadsAtOnce(t *testing.T) {
	router := newPromptRouter(t)
	v1 := poison.Verdict{Part: 1, DecidedAt: router.now, CrashCount: 3}
	router.reportVerdicts("e1", v1)
	require.Len(t, effectsOf[ReportVerdicts](router), 2)
	router.now = router.now.Add(100 * time.Millisecond)
	router.reportVerdicts("e1", v1, poison.Verdict{Part: 2, DecidedAt: router.now, CrashCount: 3})
	for _, eff := range effectsOf[ReportVerdicts](router) {
		assert.True(t, poison.Includes(eff.Verdicts, 2), eff.Agent)
	}
	assert.Len(t, effectsOf[ReportVerdicts](router), 2)
}

// Guards against judges that are not followed because other services take all places.
func TestJudgesAreFollowedBesideManyServices(t *testing.T) {
	for _, services := range []int{2, 8, 11, 12, 16} {
		t.Run(fmt.Sprint(services, " services"), func(t *testing.T) {
			engine := testTable().Engine(llm)
			list := []*route.Service{{Name: llm, Engine: engine}}
			for i := 1; i < services; i++ {
				list = append(list, &route.Service{Name: fmt.Sprintf("a%02d", i), Engine: engine})
			}
			router := &testRouter{t: t, now: time.UnixMilli(1_000_000), state: New(Settings{
				Process: "p", FailureDomain: "here", RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
			})}
			router.apply(RoutesAdopted{Table: route.NewTable(1, route.Limits{}, nil, list)})
			var entries []EndpointEntry
			for i := range services * 30 {
				e := testEntry(fmt.Sprintf("e%04d", i), list[i%services].Name)
				e.HasModels = true
				e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
				e.Stock.Models = []stock.LoadedModel{{Model: "a"}}
				entries = append(entries, e)
			}
			for len(entries) <= followAllLimit {
				i := len(entries)
				e := testEntry(fmt.Sprintf("e%04d", i), llm)
				e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
				e.Stock.Models = []stock.LoadedModel{{Model: "a"}}
				entries = append(entries, e)
			}
			router.listEndpoints(entries...)
			router.now = router.now.Add(2 * time.Second)
			router.arriveWithPrompt("shared", "deadly", "own")
			send := onlyEffect[Send](router)
			router.loseAttempt(router.lastID)
			for id, r := range router.state.requests {
				if r.target != nil {
					router.endAttempt(id, Done)
				}
			}
			e := router.state.endpoint(send.Instance)
			router.state.now, router.state.effects = router.now, nil
			router.state.endIncarnation(e, foundByAgent)
			router.advance(followInterval)
			for _, judge := range router.state.judges(llm) {
				_, ok := router.state.followed[judge.Instance]
				assert.True(t, ok, judge.Instance)
			}
		})
	}
}

// Guards against one long prompt that makes the router forget which parts are sound.
func TestLongPromptDoesNotHideAnswers(t *testing.T) {
	router := newPromptRouter(t)
	router.endAttempt(router.arriveWithPrompt("shared", "own"), Done)
	for n := range 2 {
		ids := lo.Map(lo.Range(5000), func(i, _ int) string { return fmt.Sprint(n, "-", i) })
		router.endAttempt(router.arriveWithPrompt(ids...), Done)
	}
	assert.True(t, router.state.poison.answered.Recently(router.now, poison.PartOf(llm, "shared")))
}

// Guards against reports of crashes without bound, and against a part that is left out of them though
// the endpoint had begun to answer its request.
func TestReportOfCrashIsBounded(t *testing.T) {
	router := newPromptRouter(t)
	deadly := router.arriveWithPrompt("deadly", "own")
	instance := onlyEffect[Send](router).Instance
	ids := make(map[string][]RequestID)
	for n := range 30 {
		id := router.arriveWithPrompt(lo.Map(lo.Range(4000), func(i, _ int) string { return fmt.Sprint(n, "-", i) })...)
		for _, send := range effectsOf[Send](router) {
			ids[send.Instance] = append(ids[send.Instance], id)
		}
	}
	require.Greater(t, len(ids[instance])*maxSharedParts, maxReportedSuspects)
	for _, id := range ids[instance] {
		router.loseAttempt(id)
	}
	router.apply(AttemptEnded{ID: deadly, Result: Broken, LastEvent: NoEvent, Cut: true, HeadReceived: true})
	router.reportDown(instance)
	reports := effectsOf[ReportCrashes](router)
	require.NotEmpty(t, reports)
	suspects := reports[0].Crashes[0].Suspects
	assert.Len(t, suspects, maxReportedSuspects)
	assert.True(t, lo.ContainsBy(suspects, func(s poison.Suspect) bool { return s.Part == poison.PartOf(llm, "deadly") }))
}
