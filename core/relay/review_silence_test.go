package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// Guards against an endpoint that never answers and keeps getting new streams, because callers that leave
// a silent attempt count as successes of it.
func TestEndpointWhoseCallersLeaveInSilenceIsAvoided(t *testing.T) {
	router := newTestRouter(t, testEntry("e1", plain), testEntry("e2", plain))
	const streams = 60
	mute := 0
	for range streams {
		id := router.arrive(streamRoute(), stock.Item{})
		if onlyEffect[Send](router).Instance == "e2" {
			router.apply(AnswerStarted{ID: id})
			router.advance(100 * time.Millisecond)
			router.endAttempt(id, Done)
			continue
		}
		mute++
		router.advance(time.Second)
		router.silence(id)
		router.apply(PortChecked{Instance: "e1"})
		router.advance(3 * time.Second)
		require.Empty(t, effectsOf[AbortAttempt](router))
		router.endAttempt(id, Abandoned)
	}
	assert.Less(t, mute, streams/3, "streams sent to the endpoint that never answers")
}
