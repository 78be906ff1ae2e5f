package stock

// Runs are the runs that an endpoint reports.
type Runs struct {
	// Known reports whether the endpoint lists its runs.
	Known bool
	// Events has the number of events of each listed run so far, by the request's attempt ID.
	Events map[string]int
	// Unlisted is the number of requests at the endpoint that are not listed: they wait, or have made
	// no event yet.
	Unlisted int
}

// RunState is what is known of the run of a request at an endpoint.
type RunState string

// States of runs.
const (
	// RunListed means that the endpoint works on the request.
	RunListed RunState = "listed"
	// RunUnlisted means that the request may be one of those that the endpoint does not list.
	RunUnlisted RunState = "unlisted"
	// RunGone means that the request is not at the endpoint.
	RunGone RunState = "gone"
	// RunsUnknown means that the endpoint answers and does not list its runs.
	RunsUnknown RunState = "unknown"
	// EndpointSilent means that the endpoint accepts connections and does not answer.
	EndpointSilent RunState = "endpoint-silent"
	// EndpointRefuses means that the endpoint's host refuses connections: its process has ended.
	EndpointRefuses RunState = "endpoint-refuses"
	// EndpointUnreachable means that no connection to the endpoint can be opened.
	EndpointUnreachable RunState = "endpoint-unreachable"
	// RunUnanswered means that the agent has not told.
	RunUnanswered RunState = "unanswered"
)

// State returns what the runs tell of the request with the given attempt ID.
func (r Runs) State(attemptID string) RunState {
	_, listed := r.Events[attemptID]
	switch {
	case !r.Known:
		return RunsUnknown
	case listed:
		return RunListed
	case r.Unlisted > 0 || attemptID == "":
		return RunUnlisted
	default:
		return RunGone
	}
}
