package relay

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/epoch"
	"chervilreach/core/origin"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// resumedStream is the stream that resume names.
const resumedStream origin.Stream = 77

// withSoftware returns a test entry of the service llm with a version of the software.
func withSoftware(instance, software string) EndpointEntry {
	e := testEntry(instance, llm)
	e.Software = software
	return e
}

// newVersionsRouter returns a router whose endpoints all hold the model a and have connected agents.
func newVersionsRouter(t *testing.T, entries ...EndpointEntry) *testRouter {
	t.Helper()
	router := newTestRouter(t, entries...)
	for _, e := range entries {
		router.report(e.Instance, withModels("a"))
	}
	return router
}

// resume applies the arrival of a request that resumes resumedStream, and returns its ID.
func (router *testRouter) resume() RequestID {
	router.lastID++
	rt := streamRoute()
	router.apply(RequestArrived{ID: router.lastID, Request: Request{
		AttemptID: "resuming", Route: rt, Service: llm, Item: stock.Item{Model: "a"}, TokensIn: 1400, TokensOut: 170,
		Deadline: router.now.Add(rt.Timeout), LastEvent: 3, Resuming: true, Resumes: resumedStream, Origin: 78,
	}})
	return router.lastID
}

// tellOrigin answers the first ask of the last event.
func (router *testRouter) tellOrigin(software string) {
	router.t.Helper()
	asks := effectsOf[AskOrigin](router)
	require.NotEmpty(router.t, asks)
	router.apply(OriginAnswered{ID: asks[0].ID, Judge: asks[0].Judge, Software: software})
}

// A router goes on with a stream only at an endpoint with the version that began it.
func TestAnswerGoesOnAtItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		first  string
		others []EndpointEntry
		want   string
	}{
		"same version":         {"v1", []EndpointEntry{withSoftware("i-2", "v1.1"), withSoftware("i-3", "v1")}, "i-3"},
		"other version":        {"v1", []EndpointEntry{withSoftware("i-2", "v1.1")}, ""},
		"back to old version":  {"v1.1", []EndpointEntry{withSoftware("i-2", "v1"), withSoftware("i-3", "v1.1")}, "i-3"},
		"both unknown":         {"", []EndpointEntry{withSoftware("i-2", "")}, ""},
		"unknown, then known":  {"", []EndpointEntry{withSoftware("i-2", "v1")}, ""},
		"known, then unknown":  {"v1", []EndpointEntry{withSoftware("i-2", "")}, ""},
		"differs in case only": {"v1", []EndpointEntry{withSoftware("i-2", "V1")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			router := newVersionsRouter(t, withSoftware("i-1", c.first))
			id := router.arrive(streamRoute(), stock.Item{Model: "a"})
			require.Equal(t, "i-1", onlyEffect[Send](router).Instance)
			router.listEndpoints(c.others...)
			for _, e := range c.others {
				router.report(e.Instance, withModels("a"))
			}
			router.apply(AnswerStarted{ID: id})
			router.apply(AttemptEnded{ID: id, Result: Broken, LastEvent: 5, Answering: true, HeadReceived: true})
			if c.want == "" {
				assert.Empty(t, effectsOf[Send](router))
				assert.Len(t, effectsOf[Fail](router), 1)
				return
			}
			assert.Equal(t, c.want, onlyEffect[Send](router).Instance)
		})
	}
}

// An attempt that fails before the first event leaves the choice of the version open.
func TestVersionIsOpenUntilFirstEvent(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	id := router.arrive(streamRoute(), stock.Item{Model: "a"})
	first := onlyEffect[Send](router).Instance
	router.endAttempt(id, Broken)
	assert.NotEqual(t, first, onlyEffect[Send](router).Instance)
}

// Which version a resuming request needs is known from the router's memory, from agents, or because
// only one version can have begun the stream.
func TestOriginOfResumedStream(t *testing.T) {
	mixed := []EndpointEntry{withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1")}
	single := []EndpointEntry{withSoftware("i-1", "v1"), withSoftware("i-2", "v1")}
	for name, c := range map[string]struct {
		entries []EndpointEntry
		// record is what the store has; told is what agents answer.
		record []string
		told   string
		known  []string
		want   string
	}{
		"told old version":                {mixed, nil, "v1", nil, "v1"},
		"told new version":                {mixed, nil, "v1.1", nil, "v1.1"},
		"nobody knows":                    {mixed, nil, "", nil, ""},
		"one version":                     {single, nil, "", nil, "v1"},
		"one version, recorded":           {single, []string{"v1"}, "", []string{"v1"}, "v1"},
		"the other has left, recorded":    {single, []string{"v0", "v1"}, "", nil, ""},
		"the other has left, agents know": {single, nil, "", []string{"v0"}, ""},
		"told a version that has left":    {single, []string{"v0", "v1"}, "v0", nil, ""},
		"unknown version":                 {[]EndpointEntry{withSoftware("i-1", "")}, nil, "", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			router := newVersionsRouter(t, c.entries...)
			router.resume()
			asks := effectsOf[AskOrigin](router)
			require.Len(t, asks, len(c.entries), "all judges are asked")
			router.apply(VersionsRead{Records: []VersionsRecord{{Service: llm, Versions: c.record, Revision: epoch.At(0, 1)}}})
			for round := 0; round < 2 && len(effectsOf[Send](router))+len(effectsOf[Refuse](router)) == 0; round++ {
				for _, ask := range asks {
					router.apply(OriginAnswered{ID: ask.ID, Judge: ask.Judge, Software: c.told, Versions: c.known})
					if len(effectsOf[Send](router))+len(effectsOf[Refuse](router)) > 0 {
						break
					}
				}
				if len(effectsOf[Send](router))+len(effectsOf[Refuse](router)) == 0 {
					router.advance(originSettleTime)
					asks = effectsOf[AskOrigin](router)
				}
			}
			if c.want == "" {
				refusal := onlyEffect[Refuse](router)
				assert.Contains(t, []Reason{UnknownVersion, VersionGone}, refusal.Reason)
				assert.Equal(t, router.now, refusal.RetryAt, "the caller may begin anew at once")
				return
			}
			assert.Equal(t, c.want, onlyEffect[Send](router).Software)
		})
	}
}

// A router remembers the streams that it has begun, and asks nobody.
func TestOwnStreamIsResumedWithoutAsking(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	rt := streamRoute()
	router.apply(RequestArrived{ID: 100, Request: Request{
		AttemptID: "first", Route: rt, Service: llm, Item: stock.Item{Model: "a"}, TokensIn: 1400, Deadline: router.now.Add(rt.Timeout),
		LastEvent: NoEvent, Origin: resumedStream,
	}})
	began := onlyEffect[Send](router).Software
	router.apply(AnswerStarted{ID: 100})
	router.apply(CallerDone{ID: 100})
	for range 10 {
		id := router.resume()
		assert.Empty(t, effectsOf[AskOrigin](router))
		assert.Equal(t, began, onlyEffect[Send](router).Software)
		router.apply(CallerDone{ID: id})
	}
}

// Agents that connect while a request waits are asked, too. Without any answer the request is refused
// in time.
func TestLateAgentsAreAskedForOrigin(t *testing.T) {
	for name, connects := range map[string]bool{"agent connects": true, "no agent": false} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
			router.apply(VersionsRead{})
			router.resume()
			require.Empty(t, effectsOf[AskOrigin](router))
			router.advance(originSettleTime)
			if connects {
				router.report("i-1", withModels("a"))
				router.tellOrigin("v1")
				assert.Equal(t, "v1", onlyEffect[Send](router).Software)
				return
			}
			router.advance(originTimeout)
			assert.Equal(t, UnknownVersion, onlyEffect[Refuse](router).Reason)
		})
	}
}

// A stream whose version is still served, but not with its model, has the model loaded there, while
// others use the endpoints that hold it.
func TestModelIsLoadedForResumedStream(t *testing.T) {
	router := newTestRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	router.report("i-1", withModels("b"))
	router.report("i-2", withModels("a"))
	id := router.resume()
	router.tellOrigin("v1")
	require.Empty(t, effectsOf[Refuse](router))
	demand, ok := lo.Find(effectsOf[SendDemand](router), func(d SendDemand) bool { return d.Instance == "i-1" })
	require.True(t, ok, "effects: %v", router.effects)
	assert.Equal(t, "a", demand.Demand.Wants[0].Item.Model)
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	assert.Equal(t, "i-2", onlyEffect[Send](router).Instance)
	router.report("i-1", withModels("b", "a"))
	sent := onlyEffect[Send](router)
	assert.Equal(t, id, sent.ID)
	assert.Equal(t, "i-1", sent.Instance)
	assert.Empty(t, router.state.pendingLoads)
}

// A request whose version has gone is refused at once, whatever else could serve it, and no retry is
// spent on it.
func TestStreamOfGoneVersionIsRefusedAtOnce(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	router.resume()
	leaving := withSoftware("i-1", "v1")
	leaving.Leaving = true
	router.listEndpoints(leaving, withSoftware("i-2", "v1.1"))
	router.apply(OriginAnswered{ID: router.lastID, Judge: "i-2", Software: "v1"})
	assert.Equal(t, VersionGone, onlyEffect[Refuse](router).Reason)
}

// The version of an incarnation that the list does not have yet is unknown.
func TestVersionBelongsToIncarnation(t *testing.T) {
	old := withSoftware("i-1", "v1")
	old.Born = 1
	for name, restart := range map[string]func(router *testRouter){
		"other instance": func(router *testRouter) {
			router.apply(InstanceChanged{From: "i-1", Report: stock.Report{Instance: "i-9", Models: []stock.LoadedModel{{Model: "a"}}}})
		},
		"same instance": func(router *testRouter) {
			router.report("i-1", func(r *stock.Report) { r.Down = true })
			// The list still has the old entry.
			router.listEndpoints(old, withSoftware("i-2", "v1.1"))
			router.report("i-1", withModels("a"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			router := newVersionsRouter(t, old, withSoftware("i-2", "v1.1"))
			restart(router)
			router.resume()
			router.tellOrigin("v1")
			assert.Equal(t, VersionGone, onlyEffect[Refuse](router).Reason)
			known := withSoftware("i-1", "v1")
			known.Born = 2
			router.listEndpoints(known, withSoftware("i-2", "v1.1"))
			router.report("i-1", withModels("a"))
			router.resume()
			router.tellOrigin("v1")
			assert.Equal(t, "i-1", onlyEffect[Send](router).Instance)
		})
	}
}

// An endpoint that has started again under its name may have begun streams with other software before the
// list has its new version.
func TestUnlistedVersionCountsAsAnother(t *testing.T) {
	old := withSoftware("i-1", "v1")
	old.Born = 1
	router := newVersionsRouter(t, old, withSoftware("i-2", "v1"))
	router.apply(VersionsRead{})
	router.report("i-1", func(r *stock.Report) { r.Down = true })
	router.report("i-1", withModels("a"))
	router.resume()
	for range 2 {
		for _, ask := range effectsOf[AskOrigin](router) {
			router.apply(OriginAnswered{ID: ask.ID, Judge: ask.Judge})
		}
		router.advance(originSettleTime)
	}
	require.Empty(t, effectsOf[Send](router))
	router.advance(originTimeout)
	assert.Empty(t, router.state.requests, "refused")
}

// Origins go to the judges while a service has several versions, and all recent ones to an agent that has
// lost its memory or becomes a judge.
func TestOriginsAreReportedWhileVersionsMix(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"))
	begin := func(id RequestID) {
		rt := streamRoute()
		router.apply(RequestArrived{ID: id, Request: Request{
			AttemptID: "x", Route: rt, Service: llm, Item: stock.Item{Model: "a"}, Deadline: router.now.Add(rt.Timeout), LastEvent: NoEvent, Origin: origin.Stream(id),
		}})
		router.apply(AnswerStarted{ID: id})
		router.apply(CallerDone{ID: id})
		router.advance(minOriginInterval)
	}
	begin(101)
	assert.Empty(t, effectsOf[ReportOrigins](router), "one version")
	router.listEndpoints(withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	router.advance(minOriginInterval)
	assert.Equal(t, []origin.Origin{{Stream: 101, Software: "v1"}}, onlyEffect[ReportOrigins](router).Origins)
	router.report("i-2", nil)
	router.advance(minOriginInterval)
	assert.Equal(t, "i-2", onlyEffect[ReportOrigins](router).Judge)
	begin(102)
	reports := effectsOf[ReportOrigins](router)
	require.Len(t, reports, 2)
	assert.Equal(t, []origin.Origin{{Stream: 102, Software: "v1"}}, reports[0].Origins)
	router.apply(AgentLost{Instance: "i-1"})
	router.report("i-1", withModels("a"))
	router.advance(minOriginInterval)
	assert.Len(t, onlyEffect[ReportOrigins](router).Origins, 2)
	// The old version has gone, but its streams may still be resumed.
	router.listEndpoints(withSoftware("i-2", "v1.1"))
	router.report("i-2", withModels("a"))
	begin(103)
	assert.Equal(t, []origin.Origin{{Stream: 103, Software: "v1.1"}}, onlyEffect[ReportOrigins](router).Origins)
	router.advance(origin.Lifetime)
	begin(104)
	assert.Empty(t, effectsOf[ReportOrigins](router), "one version again")
}

// The store has the versions that have served lately. It is written when they change, and only if
// another router has not done so.
func TestVersionsAreRecorded(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"))
	assert.Empty(t, effectsOf[ReadVersions](router), "no stream yet")
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	require.Len(t, effectsOf[ReadVersions](router), 1)
	router.apply(VersionsRead{})
	awaitRead := func() {
		t.Helper()
		for range 100 {
			router.advance(50 * time.Millisecond)
			require.Empty(t, effectsOf[WriteVersions](router), "the records are read again first")
			if len(effectsOf[ReadVersions](router)) > 0 {
				return
			}
		}
		require.Fail(t, "the records are not read again")
	}
	awaitRead()
	router.apply(VersionsRead{})
	first := onlyEffect[WriteVersions](router).Record
	assert.Equal(t, VersionsRecord{Service: llm, Versions: []string{"v1"}}, first)
	first.Revision = epoch.At(0, 5)
	router.apply(VersionsWritten{Record: first})

	// Another router is faster.
	router.listEndpoints(withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	awaitRead()
	router.apply(VersionsRead{Records: []VersionsRecord{{Service: llm, Versions: []string{"v1", "v1.1"}, Revision: epoch.At(0, 6)}}})
	assert.Empty(t, effectsOf[WriteVersions](router))

	// A version that has gone is taken out when its streams can't be resumed any more.
	router.listEndpoints(withSoftware("i-2", "v1.1"))
	router.advance(origin.Lifetime - time.Second)
	require.Empty(t, effectsOf[ReadVersions](router))
	router.advance(time.Second)
	awaitRead()
	router.apply(VersionsRead{Records: []VersionsRecord{{Service: llm, Versions: []string{"v1", "v1.1"}, Revision: epoch.At(0, 6)}}})
	assert.Equal(t, VersionsRecord{Service: llm, Versions: []string{"v1.1"}, Revision: epoch.At(0, 6)}, onlyEffect[WriteVersions](router).Record)
	// A lost write is tried again.
	router.apply(VersionsWritten{Failed: true})
	awaitRead()
}

// A router that starts when a version has just left tells the agents of its streams, as other routers
// still take that version into account.
func TestNewRouterReportsOriginsAfterRelease(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1.1"))
	id := router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.state.requests[id].Origin = resumedStream
	router.apply(VersionsRead{Records: []VersionsRecord{{Service: llm, Versions: []string{"v1", "v1.1"}, Revision: epoch.At(0, 1)}}})
	router.apply(AnswerStarted{ID: id})
	assert.Equal(t, []origin.Origin{{Stream: resumedStream, Software: "v1.1"}}, onlyEffect[ReportOrigins](router).Origins)
}

// Only streams are bound to a version, whatever the headers of a plain request say.
func TestPlainRequestsAreNotBoundToVersions(t *testing.T) {
	router := newTestRouter(t, testEntry("i-1", plain))
	rt := plainRoute(route.Unsafe)
	router.apply(RequestArrived{ID: 1, Request: Request{
		AttemptID: "x", Route: rt, Service: plain, Deadline: router.now.Add(rt.Timeout), LastEvent: 3, Resuming: true, Resumes: resumedStream,
	}})
	assert.Len(t, effectsOf[Send](router), 1)
}

// A router that has just started takes no version out of the record.
func TestNewRouterKeepsRecordedVersions(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1.1"))
	router.arrive(streamRoute(), stock.Item{Model: "a"})
	router.apply(VersionsRead{Records: []VersionsRecord{{Service: llm, Versions: []string{"v1", "v1.1"}, Revision: epoch.At(0, 1)}}})
	for range 100 {
		router.advance(100 * time.Millisecond)
		require.Empty(t, effectsOf[ReadVersions](router))
	}
}

// New streams go to versions of which several endpoints hold the model, so that another can go on with
// them, unless these are much busier.
func TestStreamsPreferVersionsWithSeveralHolders(t *testing.T) {
	sole, others := withSoftware("i-1", "v1"), []EndpointEntry{withSoftware("i-2", "v1.1"), withSoftware("i-3", "v1.1")}
	for name, c := range map[string]struct {
		entries []EndpointEntry
		busy    int
		want    []string
	}{
		"one of a version alone": {append([]EndpointEntry{sole}, others...), 0, []string{"i-2", "i-3"}},
		"others are busy":        {append([]EndpointEntry{sole}, others...), 62, []string{"i-1"}},
		"each alone":             {[]EndpointEntry{sole, others[0]}, 62, []string{"i-1"}},
		"unknown versions":       {[]EndpointEntry{sole, withSoftware("i-2", ""), withSoftware("i-3", "")}, 62, []string{"i-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			router := newVersionsRouter(t, c.entries...)
			for _, e := range c.entries[1:] {
				router.report(e.Instance, func(r *stock.Report) {
					withModels("a")(r)
					r.Running = c.busy
				})
			}
			router.arrive(streamRoute(), stock.Item{Model: "a"})
			assert.Contains(t, c.want, onlyEffect[Send](router).Instance)
		})
	}
}

// A third attempt names the first one, whichever router served the second.
func TestThirdAttemptNamesTheFirst(t *testing.T) {
	router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", "v1.1"))
	second := router.resume()
	router.tellOrigin("v1.1")
	router.apply(AnswerStarted{ID: second})
	router.apply(CallerDone{ID: second})
	router.resume()
	assert.Empty(t, effectsOf[AskOrigin](router))
	assert.Equal(t, "v1.1", onlyEffect[Send](router).Software)
}

// A request that does not name its stream is served while one version alone can have begun it, whatever
// streams of unknown name others resume.
func TestUnnamedStream(t *testing.T) {
	for name, c := range map[string]struct {
		second string
		served bool
	}{"one version": {"v1", true}, "two versions": {"v1.1", false}} {
		t.Run(name, func(t *testing.T) {
			router := newVersionsRouter(t, withSoftware("i-1", "v1"), withSoftware("i-2", c.second))
			router.apply(VersionsRead{})
			rt := streamRoute()
			router.apply(RequestArrived{ID: 1, Request: Request{
				AttemptID: "x", Route: rt, Service: llm, Item: stock.Item{Model: "a"}, Deadline: router.now.Add(rt.Timeout), LastEvent: 3, Resuming: true,
			}})
			sent := 0
			for range 2 {
				for _, ask := range effectsOf[AskOrigin](router) {
					router.apply(OriginAnswered{ID: ask.ID, Judge: ask.Judge})
					sent += len(effectsOf[Send](router))
				}
				router.advance(originSettleTime)
				sent += len(effectsOf[Send](router))
			}
			assert.Equal(t, c.served, sent == 1)
		})
	}
}
