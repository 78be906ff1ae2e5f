package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Guards against requests of another service that an endpoint gets after another writer has replaced
// its entry, and against the loss of what is known of it.
func TestForeignEntryDoesNotMoveEndpoint(t *testing.T) {
	for name, change := range map[string]func(m *EndpointEntry){
		"malformed":                     func(m *EndpointEntry) { m.Malformed = true },
		"other service":                 func(m *EndpointEntry) { m.Service = llm },
		"other service, without a born": func(m *EndpointEntry) { m.Service, m.Born = llm, 0 },
		"other address":                 func(m *EndpointEntry) { m.Address = netip.MustParseAddrPort("10.0.0.9:80") },
		"other software":                func(m *EndpointEntry) { m.Software = "v9" },
	} {
		t.Run(name, func(t *testing.T) {
			own := testEntry("e1", plain)
			own.Born = 7
			router := newTestRouter(t, own)
			running := router.arrive(plainRoute(route.Unsafe), stock.Item{})
			router.report("e1", nil)
			foreign := own
			change(&foreign)
			router.listEndpoints(foreign)
			assert.Empty(t, effectsOf[AbortAttempt](router), "its requests go on")
			assert.Empty(t, effectsOf[EndpointLeaving](router))
			assert.Empty(t, effectsOf[ReportCrashes](router))
			assert.Equal(t, plain, router.state.endpoint("e1").Service)
			router.arrive(plainRoute(route.Unsafe), stock.Item{})
			assert.Empty(t, effectsOf[Send](router), "the entry names no endpoint to use")
			assert.Empty(t, effectsOf[Refuse](router), "the endpoint is about to write its own")
			router.listEndpoints(foreign)
			assert.Empty(t, effectsOf[EntryContradicted](router), "told once")
			router.listEndpoints(own)
			assert.Equal(t, "e1", onlyEffect[Send](router).Instance)
			assert.True(t, router.state.endpoint("e1").hasAgent)
			router.endAttempt(running, Done)
		})
	}
}

// Guards against requests that wait for an entry that its endpoint does not write again.
func TestRequestsDoNotWaitForOwnEntryForever(t *testing.T) {
	own := testEntry("e1", plain)
	router := newTestRouter(t, own)
	own.Malformed = true
	router.listEndpoints(own)
	router.arrive(plainRoute(route.Unsafe), stock.Item{})
	assert.Empty(t, effectsOf[Refuse](router))
	router.advance(ownEntryTimeout)
	assert.Equal(t, NoEndpoint, onlyEffect[Refuse](router).Reason)
	router.arrive(plainRoute(route.Unsafe), stock.Item{})
	assert.Equal(t, NoEndpoint, onlyEffect[Refuse](router).Reason)
}

// Guards against a model that is loaded elsewhere because its holder's entry can't be read for a moment.
func TestForeignEntryOfHolderCausesNoLoad(t *testing.T) {
	holder, other := testEntry("e1", llm), testEntry("e2", llm)
	other.Address = netip.MustParseAddrPort("10.0.0.2:80")
	router := newTestRouter(t, holder, other)
	router.report("e1", withModels("a"))
	router.report("e2", withModels("b"))
	odd := holder
	odd.Malformed = true
	router.listEndpoints(odd, other)
	router.arrive(patientRoute(), modelA)
	assert.Empty(t, effectsOf[SendDemand](router))
	assert.Empty(t, effectsOf[Send](router))
	router.advance(time.Second)
	router.listEndpoints(holder, other)
	assert.Equal(t, "e1", onlyEffect[Send](router).Instance)
}

// Guards against the new incarnation of an endpoint, or another one at its address, that is taken for
// a foreign entry.
func TestNewIncarnationMayChangeItsService(t *testing.T) {
	own := testEntry("e1", plain)
	own.Born = 7
	router := newTestRouter(t, own)
	next := own
	next.Born, next.Software, next.Address = 8, "v2", netip.MustParseAddrPort("10.0.0.9:80")
	router.listEndpoints(next)
	router.arrive(plainRoute(route.Unsafe), stock.Item{})
	assert.Equal(t, next.Address, onlyEffect[Send](router).Address)
}

// Guards against a malformed entry that makes an endpoint ready again which has said that it leaves,
// and against one that outlasts the endpoint.
func TestMalformedEntryKeepsEndpointLeaving(t *testing.T) {
	own := testEntry("e1", plain)
	own.Leaving = true
	router := newTestRouter(t, own)
	odd := own
	odd.Malformed = true
	router.listEndpoints(odd)
	router.arrive(plainRoute(route.Unsafe), stock.Item{})
	assert.Equal(t, NoEndpoint, onlyEffect[Refuse](router).Reason)
	router.listEndpoints()
	assert.Empty(t, router.state.endpoints)
}

// Guards against an endpoint that moves to another service because an entry of another writer lasts while its own
// can't reach the store.
func TestLastingEntryMovesNoEndpointToAnotherService(t *testing.T) {
	own := testEntry("e1", plain)
	own.Born = 7
	router := newTestRouter(t, own)
	odd := own
	odd.Service, odd.HasModels = llm, true
	for range 10 {
		router.listEndpoints(odd)
		router.advance(time.Second)
	}
	assert.Equal(t, plain, router.state.endpoint("e1").Service)
}
