package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Guards against what is known of an endpoint, and its requests, that are lost because another writer has left an
// entry of another incarnation for a moment.
func TestEndpointReturnsAfterAnOddIncarnation(t *testing.T) {
	own := testEntry("e1", llm)
	own.Born = 1_000_000
	router := newTestRouter(t, own)
	router.report("e1", withModels("a"))
	router.arrive(streamRoute(), modelA)
	require.Equal(t, "e1", onlyEffect[Send](router).Instance)
	for born := int64(3); born < 6; born++ {
		odd := own
		odd.Born, odd.Address, odd.Stock.Models = born, netip.AddrPortFrom(own.Address.Addr(), uint16(born)), nil
		router.listEndpoints(odd)
		require.Empty(t, effectsOf[AbortAttempt](router))
		require.Empty(t, effectsOf[ReportCrashes](router))
		router.advance(100 * time.Millisecond)
	}
	router.listEndpoints(own)
	assert.Empty(t, effectsOf[AbortAttempt](router))
	assert.Equal(t, 1, router.state.endpoint("e1").runningAttemptCount)
	router.arrive(streamRoute(), modelA)
	assert.Equal(t, own.Address, onlyEffect[Send](router).Address)
	router.advance(2 * replacedTimeout)
	router.listEndpoints(own)
	assert.Empty(t, effectsOf[AbortAttempt](router))
}

// Guards against attempts that are never ended, because the incarnation that replaced their endpoint has another
// address.
func TestAttemptsEndWhenAnotherIncarnationLasts(t *testing.T) {
	own := testEntry("e1", plain)
	own.Born = 7
	router := newTestRouter(t, own)
	id := router.arrive(plainRoute(route.Unsafe), stock.Item{})
	next := own
	next.Born, next.Address = 8, netip.MustParseAddrPort("10.0.0.9:1")
	router.listEndpoints(next)
	require.Empty(t, effectsOf[AbortAttempt](router))
	router.advance(replacedTimeout)
	router.listEndpoints(next)
	assert.Equal(t, id, onlyEffect[AbortAttempt](router).ID)
	router.listEndpoints(next)
	assert.Empty(t, effectsOf[AbortAttempt](router), "once")
}
