package relay

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/epoch"
	"chervilreach/core/event"
	"chervilreach/core/stock"
)

// record is what the store has of the test service.
func record(revision int64, versions ...string) VersionsRead {
	return VersionsRead{Records: []VersionsRecord{{Service: llm, Versions: versions, Revision: epoch.At(0, revision)}}}
}

// newOutOfStepRouter returns a router that lists two endpoints with v1 and has read a record with that
// version for as long as streams can be resumed.
func newOutOfStepRouter(t *testing.T) *testRouter {
	t.Helper()
	router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1"))
	id := router.arrive(streamRoute(), stock.Item{Model: "a"})
	require.Len(t, effectsOf[ReadVersions](router), 1)
	router.apply(record(1, "v1"))
	router.apply(CallerDone{ID: id})
	router.advance(2 * time.Minute)
	return router
}

// judgesAnswer answers all asks for the origin of the stream that a request resumes. The effects of all
// answers become those of the last event.
func (router *testRouter) judgesAnswer(id RequestID, answer OriginAnswered) {
	var effects []event.Effect
	for _, judge := range []string{"i-1", "i-2"} {
		answer.ID, answer.Judge = id, judge
		effects = append(effects, router.apply(answer)...)
	}
	router.effects = effects
}

// A router that is cut off or was frozen while a new version joined does not take the only version
// of its old list for the one that began a stream.
func TestOutOfStepRouterGoesOnWithNoStreamOfAnotherVersion(t *testing.T) {
	for name, c := range map[string]struct {
		// read is the result of a call of the store for versions, if it returns.
		read  *VersionsRead
		agent OriginAnswered
		want  string
	}{
		"record has another version":                  {lo.ToPtr(record(2, "v1", "v1.1")), OriginAnswered{}, ""},
		"record has another version, agents fail":     {lo.ToPtr(record(2, "v1", "v1.1")), OriginAnswered{Failed: true}, ""},
		"record has two, agent knows the stream":      {lo.ToPtr(record(2, "v1", "v1.1")), OriginAnswered{Software: "v1"}, "v1"},
		"store silent, agents know another version":   {nil, OriginAnswered{Versions: []string{"v1.1"}}, ""},
		"store silent, agents fail":                   {nil, OriginAnswered{Failed: true}, ""},
		"store fails, agents fail":                    {&VersionsRead{Failed: true}, OriginAnswered{Failed: true}, ""},
		"store silent, agents know no other version":  {nil, OriginAnswered{}, "v1"},
		"store fails, agents know no other version":   {&VersionsRead{Failed: true}, OriginAnswered{Versions: []string{"v1"}}, "v1"},
		"record has one version":                      {lo.ToPtr(record(1, "v1")), OriginAnswered{}, "v1"},
		"record has one version, agents fail":         {lo.ToPtr(record(1, "v1")), OriginAnswered{Failed: true}, "v1"},
		"record has one version, agents know another": {lo.ToPtr(record(1, "v1")), OriginAnswered{Versions: []string{"v1.1"}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			router := newOutOfStepRouter(t)
			id := router.resume()
			var sent []Send
			var refused []Refuse
			collect := func() {
				sent = append(sent, effectsOf[Send](router)...)
				refused = append(refused, effectsOf[Refuse](router)...)
			}
			reads := len(effectsOf[ReadVersions](router))
			router.judgesAnswer(id, c.agent)
			collect()
			if c.read != nil && reads > 0 {
				router.apply(*c.read)
				collect()
			}
			for waited := time.Duration(0); waited <= originTimeout && len(sent)+len(refused) == 0; waited += originSettleTime {
				router.advance(originSettleTime)
				collect()
				if len(effectsOf[AskOrigin](router)) > 0 {
					router.judgesAnswer(id, c.agent)
					collect()
				}
			}
			if c.want == "" {
				require.Empty(t, sent)
				require.Len(t, refused, 1)
				assert.Equal(t, UnknownVersion, refused[0].Reason)
				return
			}
			require.Len(t, sent, 1)
			assert.Equal(t, c.want, sent[0].Software)
		})
	}
}

// What a call of the store returns that began before the request arrived may be older than its stream.
func TestReadBeforeArrivalDoesNotCount(t *testing.T) {
	router := newOutOfStepRouter(t)
	first := router.resume()
	require.Len(t, effectsOf[ReadVersions](router), 1)
	// The process stands still here.
	router.now = router.now.Add(4 * time.Second)
	router.apply(CallerDone{ID: first})
	second := router.resume()
	assert.Empty(t, effectsOf[ReadVersions](router), "one call at a time")
	router.apply(record(1, "v1"))
	require.Empty(t, effectsOf[Send](router))
	assert.Len(t, effectsOf[ReadVersions](router), 1)
	router.judgesAnswer(second, OriginAnswered{})
	require.Empty(t, effectsOf[Send](router))
	router.apply(record(2, "v1", "v1.1"))
	assert.Empty(t, effectsOf[Send](router))
	router.advance(originSettleTime)
	router.judgesAnswer(second, OriginAnswered{})
	assert.Equal(t, UnknownVersion, onlyEffect[Refuse](router).Reason)
}

// One call of the store serves all waiting requests, and a service with one version is not held up.
func TestResumedStreamsShareReadsOfVersions(t *testing.T) {
	router := newOutOfStepRouter(t)
	var ids []RequestID
	reads := 0
	for range 20 {
		ids = append(ids, router.resume())
		reads += len(effectsOf[ReadVersions](router))
	}
	assert.Equal(t, 1, reads)
	router.apply(record(1, "v1"))
	for _, id := range ids {
		router.judgesAnswer(id, OriginAnswered{})
		assert.Len(t, effectsOf[Send](router), 1, "no time has passed")
		router.apply(CallerDone{ID: id})
	}
}

// The store is not read for streams of a service that is known to have several versions.
func TestKnownVersionsAreNotReadAgain(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.apply(record(1, "v1", "v1.1"))
	router.advance(time.Second)
	id := router.resume()
	assert.Empty(t, effectsOf[ReadVersions](router))
	router.judgesAnswer(id, OriginAnswered{Software: "v1"})
	assert.Len(t, effectsOf[Send](router), 1)
}

// While the store fails, resumed streams do not wait for it, and it is not called for each.
func TestFailingStoreHoldsUpNoResumedStream(t *testing.T) {
	router := newOutOfStepRouter(t)
	id := router.resume()
	router.apply(VersionsRead{Failed: true})
	router.judgesAnswer(id, OriginAnswered{})
	require.Len(t, effectsOf[Send](router), 1)
	for range 20 {
		router.apply(CallerDone{ID: id})
		id = router.resume()
		assert.Empty(t, effectsOf[ReadVersions](router))
		router.judgesAnswer(id, OriginAnswered{})
		assert.Len(t, effectsOf[Send](router), 1)
	}
	router.advance(2 * versionsRetryPause)
	router.resume()
	assert.Len(t, effectsOf[ReadVersions](router), 1, "the store is tried again")
}

// A router whose list lacks a version leaves it in the record that others have written.
func TestOutOfStepRouterKeepsRecordedVersion(t *testing.T) {
	router := newOutOfStepRouter(t)
	router.resume()
	router.apply(record(2, "v1", "v1.1"))
	for range 50 {
		router.advance(100 * time.Millisecond)
		for range effectsOf[ReadVersions](router) {
			router.apply(record(2, "v1", "v1.1"))
		}
		require.Empty(t, effectsOf[WriteVersions](router))
	}
}

// A version begins streams only once the store has it, so that a router with an old list learns of
// it. A store that fails does not keep endpoints from serving.
func TestVersionIsRecordedBeforeItBeginsStreams(t *testing.T) {
	for name, recorded := range map[string]bool{"recorded": true, "store fails": false} {
		t.Run(name, func(t *testing.T) {
			router := newOutOfStepRouter(t)
			router.listEndpoints(withSoftware("i-3", "v1.1"))
			router.report("i-3", withModels("a"))
			id := router.arrive(patientRoute(), stock.Item{Model: "a"})
			require.Empty(t, effectsOf[Send](router), "not in the record")
			for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
				require.Less(t, waited, 2*time.Second)
				reads, writes := effectsOf[ReadVersions](router), effectsOf[WriteVersions](router)
				if sent := effectsOf[Send](router); len(sent) > 0 {
					assert.Equal(t, id, sent[0].ID)
					assert.False(t, recorded)
					return
				}
				switch {
				case !recorded && len(reads) > 0:
					router.apply(VersionsRead{Failed: true})
				case len(reads) > 0:
					router.apply(record(1, "v1"))
					writes = effectsOf[WriteVersions](router)
					fallthrough
				case len(writes) > 0:
					require.Len(t, writes, 1)
					assert.Equal(t, []string{"v1", "v1.1"}, writes[0].Record.Versions)
					router.apply(VersionsWritten{Record: writes[0].Record})
					assert.Equal(t, "i-3", onlyEffect[Send](router).Instance)
					assert.Less(t, waited, time.Second)
					return
				}
				router.advance(10 * time.Millisecond)
			}
		})
	}
}

// All agents are told which versions serve, as a router with an old list asks others than the judges.
func TestAgentsAreToldOfVersions(t *testing.T) {
	var entries []EndpointEntry
	for _, instance := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		entries = append(entries, withSoftware(instance, "v1"))
	}
	router := newVersionsRouter(t, entries...)
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	require.Empty(t, effectsOf[TellVersions](router), "one version")
	router.listEndpoints(append(entries, withSoftware("i-6", "v1.1"))...)
	told := effectsOf[TellVersions](router)
	assert.ElementsMatch(t, []string{"i-1", "i-2", "i-3", "i-4", "i-5"}, lo.Map(told, func(eff TellVersions, _ int) string { return eff.Agent }))
	for _, eff := range told {
		assert.Equal(t, []string{"v1", "v1.1"}, eff.Versions)
	}
	router.report("i-6", nil)
	assert.Equal(t, "i-6", onlyEffect[TellVersions](router).Agent)
	router.advance(time.Second)
	assert.Empty(t, effectsOf[TellVersions](router), "told already")
	router.apply(AgentLost{Instance: "i-1"})
	router.report("i-1", nil)
	assert.Equal(t, "i-1", onlyEffect[TellVersions](router).Agent)
	router.advance(versionsTellInterval)
	assert.Len(t, effectsOf[TellVersions](router), 6, "agents forget")
	// A version that has left is not told again, so that agents forget it when its streams have ended.
	router.listEndpoints(withSoftware("i-6", "v1.1"))
	assert.Equal(t, []string{"v1.1"}, onlyEffect[TellVersions](router).Versions)
}

// A router that has started after a version left reads the record again before it refuses streams for it.
func TestRecordedVersionThatHasEndedIsReadAgain(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1.1"), withSoftware("i-2", "v1.1"))
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.apply(record(1, "v1", "v1.1"))
	router.advance(time.Second)
	id := router.resume()
	require.Len(t, effectsOf[ReadVersions](router), 1)
	router.judgesAnswer(id, OriginAnswered{})
	require.Empty(t, effectsOf[Refuse](router))
	router.apply(record(2, "v1.1"))
	assert.Equal(t, "v1.1", onlyEffect[Send](router).Software)
}

// A router that gets no answer from the store and from agents, as it is cut off from all, refuses a
// stream that it did not begin and goes on with one that it did.
func TestCutOffRouterRefusesStreamOfOthers(t *testing.T) {
	router := newOutOfStepRouter(t)
	router.resume()
	for range 4 {
		router.advance(originSettleTime)
		require.Empty(t, effectsOf[Send](router))
		require.Empty(t, effectsOf[Refuse](router))
	}
	router.advance(originSettleTime)
	refusal := onlyEffect[Refuse](router)
	assert.Equal(t, UnknownVersion, refusal.Reason)
	assert.Equal(t, router.now, refusal.RetryAt, "another router may know")

	id := router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.state.requests[id].Origin = resumedStream
	router.apply(AnswerStarted{ID: id})
	router.apply(CallerDone{ID: id})
	router.resume()
	assert.Equal(t, "v1", onlyEffect[Send](router).Software)
}
