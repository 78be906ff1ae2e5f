package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
	"chervilreach/io/wire/wirepb"
)

func TestRunStateRoundTrip(t *testing.T) {
	for state := range runStates {
		assert.Equal(t, state, DecodeRunState(EncodeRunState(state)))
	}
	assert.Equal(t, stock.RunUnanswered, DecodeRunState(EncodeRunState(stock.RunUnanswered)))
	assert.Equal(t, stock.RunUnanswered, DecodeRunState(wirepb.RunState(99)), "of a newer version")
}
