package relay

import (
	"net/netip"
	"time"

	"chervilreach/core/stock"
)

// Send asks for an attempt at an endpoint.
type Send struct {
	ID       RequestID
	Try      int
	Instance string
	Address  netip.AddrPort
	Deadline time.Time
	// FirstBy is when the attempt is given up if no part of the answer has come, and
	// MaxGap the longest silence within a stream; zero for no bound.
	FirstBy time.Time
	MaxGap  time.Duration
	// Once says that the request must not run twice.
	Once bool
	// LastEvent is where a stream goes on.
	LastEvent int64
	// Version is that of the weights which must go on with the stream; 0 for any.
	Version int64
	// Basis is what the endpoint was chosen by.
	Basis Basis
	// Urgency is the rank among the endpoint's requests; 0 is the first, and below
	// 0 it has none.
	Urgency int
}

// Kind implements event.Effect.
func (Send) Kind() string { return "relay-send" }

// Routine implements event.Routine.
func (Send) Routine() {}

// Basis is what a choice went by.
type Basis struct {
	// Candidates is how many endpoints could have served the request now.
	Candidates int
	// Cost is the expected time to the first part of the answer.
	Cost time.Duration
	// Load is how many requests the endpoint had, from all routers.
	Load int
	// ReportedAt is when its agent last reported; zero without an agent.
	ReportedAt time.Time
	// Routes is the version of the routes in force.
	Routes int64
}

// Wait tells that a request waits, and for what.
type Wait struct {
	ID RequestID
	// Instance is the endpoint that is asked to load what the request needs; empty
	// when the request waits for room.
	Instance string
	// ReadyAt is when the request is expected to be sent.
	ReadyAt time.Time
}

// Kind implements event.Effect.
func (Wait) Kind() string { return "relay-wait" }

// Routine implements event.Routine.
func (Wait) Routine() {}

// Reason says why a request is refused or fails.
type Reason string

// Reasons of refusals and failures.
const (
	NoEndpoint Reason = "no-endpoint"
	NoModel    Reason = "unknown-model"
	TooLate    Reason = "too-late"
	TooBusy    Reason = "too-busy"
	NoBudget   Reason = "no-retry-budget"
	MayHaveRun Reason = "may-have-run"
	OutOfTime  Reason = "out-of-time"
	AllFailed  Reason = "attempts-failed"
	Stopping   Reason = "stopping"
)

// Refuse answers a request that has not run and will not run.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// RetryAt is when a repeat is likely to be served.
	RetryAt time.Time
}

// Kind implements event.Effect.
func (Refuse) Kind() string { return "relay-refuse" }

// Routine implements event.Routine.
func (Refuse) Routine() {}

// Fail answers a request that may have run, or ends its answer visibly short.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// Kind implements event.Effect.
func (Fail) Kind() string { return "relay-fail" }

// Routine implements event.Routine.
func (Fail) Routine() {}

// Deliver passes on the endpoint's own failure that the last attempt brought.
type Deliver struct {
	ID RequestID
}

// Kind implements event.Effect.
func (Deliver) Kind() string { return "relay-deliver" }

// Routine implements event.Routine.
func (Deliver) Routine() {}

// BreakOff ends an attempt whose endpoint is gone, though its connection has not
// ended. The attempt ends as broken.
type BreakOff struct {
	ID RequestID
	// Try is the number of the attempt.
	Try int
}

// Kind implements event.Effect.
func (BreakOff) Kind() string { return "relay-break-off" }

// Routine implements event.Routine.
func (BreakOff) Routine() {}

// Follow has the router connected to the agents of these endpoints, and to no
// others.
type Follow struct {
	List []Member
}

// Kind implements event.Effect.
func (Follow) Kind() string { return "relay-follow" }

// Routine implements event.Routine.
func (Follow) Routine() {}

// Ask sends a router's demand to the agent beside an endpoint.
type Ask struct {
	Instance string
	Demand   stock.Demand
}

// Kind implements event.Effect.
func (Ask) Kind() string { return "relay-ask" }

// Routine implements event.Routine.
func (Ask) Routine() {}
