package relay

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"chervilreach/core/poison"
)

func TestAcquittedPartIsServedAndTheLiftSpreads(t *testing.T) {
	router := newPromptRouter(t)
	v := poison.Verdict{Part: poison.PartOf(llm, "deadly"), DecidedAt: router.now, CrashCount: 3}
	router.reportVerdicts("e1", v)
	router.now = router.now.Add(time.Second)
	router.apply(PartAcquitted{Part: v.Part})
	lifted := poison.Verdict{Part: v.Part, DecidedAt: router.now, Lifted: true}
	assert.Equal(t, VerdictChanged{Verdict: lifted}, onlyEffect[VerdictChanged](router))
	told := effectsOf[ReportVerdicts](router)
	assert.Equal(t, []string{"e1", "e2", "e3"}, lo.Map(told, func(eff ReportVerdicts, _ int) string { return eff.Agent }))
	for _, eff := range told {
		assert.Equal(t, []poison.Verdict{lifted}, eff.Verdicts)
	}
	router.arriveWithPrompt("shared", "deadly", "own")
	onlyEffect[Send](router)

	router.now = router.now.Add(time.Second)
	router.reportVerdicts("e2", v)
	assert.Empty(t, effectsOf[VerdictChanged](router), "the agent has the conviction from before")
	assert.Equal(t, ReportVerdicts{Agent: "e2", Verdicts: []poison.Verdict{lifted}}, onlyEffect[ReportVerdicts](router))

	router.now = router.now.Add(10 * time.Second)
	router.reportVerdicts("e3", poison.Verdict{Part: v.Part, DecidedAt: router.now, CrashCount: 3})
	router.arriveWithPrompt("shared", "deadly", "own")
	assert.Equal(t, PromptCrashes, onlyEffect[Refuse](router).Reason, "crashes after the lift count")
}

func TestAcquittalOfPartThatIsNotConvictedChangesNothing(t *testing.T) {
	part := poison.PartOf(llm, "deadly")
	for name, prepare := range map[string]func(router *testRouter){
		"unknown": func(*testRouter) {},
		"expired": func(router *testRouter) {
			v := poison.Verdict{Part: part, DecidedAt: router.now, CrashCount: 3}
			router.reportVerdicts("e1", v)
			router.now = v.ExpiresAt()
		},
		"lifted": func(router *testRouter) {
			router.reportVerdicts("e1", poison.Verdict{Part: part, DecidedAt: router.now, Lifted: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			router := newPromptRouter(t)
			prepare(router)
			router.apply(PartAcquitted{Part: part})
			assert.Empty(t, effectsOf[VerdictChanged](router))
			assert.Empty(t, effectsOf[ReportVerdicts](router))
		})
	}
}
