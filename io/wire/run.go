package wire

import (
	"chervilreach/core/stock"
	"chervilreach/io/wire/wirepb"
)

// runStates maps the states of runs to those in messages.
var runStates = map[stock.RunState]wirepb.RunState{
	stock.RunListed:           wirepb.RunState_RUN_STATE_LISTED,
	stock.RunUnlisted:         wirepb.RunState_RUN_STATE_UNLISTED,
	stock.RunGone:             wirepb.RunState_RUN_STATE_GONE,
	stock.RunsUnknown:         wirepb.RunState_RUN_STATE_RUNS_UNKNOWN,
	stock.EndpointSilent:      wirepb.RunState_RUN_STATE_ENDPOINT_SILENT,
	stock.EndpointRefuses:     wirepb.RunState_RUN_STATE_ENDPOINT_REFUSES,
	stock.EndpointUnreachable: wirepb.RunState_RUN_STATE_ENDPOINT_UNREACHABLE,
}

// EncodeRunState returns the state in messages; unspecified for stock.RunUnanswered.
func EncodeRunState(state stock.RunState) wirepb.RunState { return runStates[state] }

// DecodeRunState returns the state that a message has; stock.RunUnanswered if it is not known.
func DecodeRunState(m wirepb.RunState) stock.RunState {
	for state, code := range runStates {
		if code == m {
			return state
		}
	}
	return stock.RunUnanswered
}
