package relay

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/poison"
	"chervilreach/core/stock"
	"chervilreach/core/swap"
)

// An agent of an older version ignores verdicts and reports none. Routers must neither forget them nor
// tell them without end.
func TestVerdictsBesideOlderAgent(t *testing.T) {
	router := newPromptRouter(t)
	v := poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3}
	router.reportVerdicts("e1", v)
	told := 0
	for range 100 {
		router.now = router.now.Add(150 * time.Millisecond)
		router.report("e2", withModels("a"))
		told += len(effectsOf[ReportVerdicts](router))
	}
	router.arriveWithPrompt("shared", "deadly", "own")
	assert.Equal(t, PromptCrashes, onlyEffect[Refuse](router).Reason)
	assert.LessOrEqual(t, told, 10, "within 15 s")
}

// Guards against a router and an agent that tell each other verdicts without end, as the router knows
// more of them than the agent can remember.
func TestVerdictsOfFullTableAreNotToldAgainAndAgain(t *testing.T) {
	router := newPromptRouter(t)
	agent := swap.New()
	agent.Apply(router.now, swap.RouterConnected{Router: 1})
	agent.Apply(router.now, swap.Observed{AskedAt: router.now, Engine: swap.Snapshot{Report: stock.Report{Instance: "e1"}}})
	verdicts := lo.Map(lo.Range(400), func(n, _ int) poison.Verdict {
		return poison.Verdict{Part: poison.Part(n + 1), DecidedAt: router.now.Add(time.Duration(n-400) * 6 * time.Second), CrashCount: 3}
	})
	told := 0
	apply := func(ev event.Event) {
		for _, eff := range agent.Apply(router.now, ev) {
			if p, ok := eff.(swap.Publish); ok {
				router.reportVerdicts("e1", p.Report.Verdicts...)
			}
		}
	}
	tell := func() {
		for _, eff := range effectsOf[ReportVerdicts](router) {
			if eff.Agent == "e1" {
				told++
				apply(swap.VerdictsReported{Verdicts: eff.Verdicts})
			}
		}
	}
	router.reportVerdicts("e2", verdicts[:200]...)
	tell()
	router.reportVerdicts("e3", verdicts[200:]...)
	tell()
	for range 50 {
		router.now = router.now.Add(250 * time.Millisecond)
		router.reportVerdicts("e3", verdicts[200:]...)
		tell()
		router.reportVerdicts("e2", verdicts[:200]...)
		tell()
		apply(event.Tick{})
		tell()
	}
	require.NotZero(t, told)
	assert.LessOrEqual(t, told, 10, "within 12 s")
}

// Guards against memory that grows with the verdicts of agents, which are bounded each.
func TestVerdictsOfRouterAreBounded(t *testing.T) {
	router := newPromptRouter(t)
	for n := range 40 {
		router.now = router.now.Add(time.Second)
		router.reportVerdicts("e1", lo.Map(lo.Range(256), func(i, _ int) poison.Verdict {
			return poison.Verdict{Part: poison.Part(n*256 + i + 1), DecidedAt: router.now, CrashCount: 3}
		})...)
	}
	assert.LessOrEqual(t, len(router.state.poison.verdicts), 1024)
}

// Guards against memory for lost attempts and crashes that grows with the requests of callers.
func TestMemoryForCrashesIsBounded(t *testing.T) {
	router := newPromptRouter(t)
	for range 1000 {
		router.now = router.now.Add(time.Millisecond)
		id := router.arriveWithPrompt(lo.Times(50, func(n int) string { return string(rune('a'+n)) + router.now.String() })...)
		for _, send := range effectsOf[Send](router) {
			router.loseAttempt(id)
			if e := router.state.endpoint(send.Instance); e != nil {
				assert.LessOrEqual(t, len(e.lostAttempts), maxLostAttempts)
			}
		}
	}
	router.reportDown("e1")
	for _, r := range effectsOf[ReportCrashes](router) {
		suspects := lo.SumBy(r.Crashes, func(c poison.Crash) int { return len(c.Suspects) })
		assert.LessOrEqual(t, suspects, 1024, "a message must stay small")
	}
}

func BenchmarkApplyReportWithVerdicts(b *testing.B) {
	router := newTestRouter(&testing.T{}, testEntry("e1", llm), testEntry("e2", llm))
	r := stock.Report{Instance: "e1", KVTotal: 130_000, Routers: 1}
	for n := range 256 {
		r.Verdicts = append(r.Verdicts, poison.Verdict{Part: poison.Part(n + 1), DecidedAt: router.now, CrashCount: 3})
		r.Suspects = append(r.Suspects, poison.Part(1000+n))
	}
	router.apply(AgentReported{Report: r})
	for b.Loop() {
		router.now = router.now.Add(time.Millisecond)
		router.apply(AgentReported{Report: r})
	}
}
