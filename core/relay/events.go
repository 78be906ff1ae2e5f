package relay

import (
	"net/netip"
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// RequestID numbers the requests of one process.
type RequestID uint64

// NoEvent is the number before the first event of a stream.
const NoEvent int64 = -1

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	// Attempt is the caller's id of the request.
	Attempt string
	Route   *route.Route
	Service string
	// Item is the model or adapter asked for; empty at services without models.
	Item stock.Item
	// TokensIn is the length of the prompt, TokensOut the most that may be
	// generated.
	TokensIn, TokensOut int
	// Prefix are the parts of the prompt in order.
	Prefix []Part
	// Deadline is when the caller or the route gives up, whichever is first.
	Deadline time.Time
	// LastEvent is the last event of the stream that the caller has.
	LastEvent int64
}

// Arrive tells of a new request.
type Arrive struct {
	ID      RequestID
	Request Request
}

// Kind implements event.Event.
func (Arrive) Kind() string { return "relay-arrive" }

// Routine implements event.Routine.
func (Arrive) Routine() {}

// Gone tells that the caller has left or has its whole answer.
type Gone struct {
	ID RequestID
}

// Kind implements event.Event.
func (Gone) Kind() string { return "relay-gone" }

// Routine implements event.Routine.
func (Gone) Routine() {}

// Begun tells that the first part of an answer has come.
type Begun struct {
	ID RequestID
}

// Kind implements event.Event.
func (Begun) Kind() string { return "relay-begun" }

// Routine implements event.Routine.
func (Begun) Routine() {}

// Result is how an attempt ended.
type Result string

// Results of attempts.
const (
	// Done: the whole answer has been passed on.
	Done Result = "done"
	// Unsent: nothing of the request was sent.
	Unsent Result = "unsent"
	// Shed: the endpoint says that it did not run the request.
	Shed Result = "shed"
	// Missing: the same, as the model is not there.
	Missing Result = "missing"
	// Replaced: another instance has the address; it did not run the request.
	Replaced Result = "replaced"
	// Broken: no whole answer came; the request may have run.
	Broken Result = "broken"
	// Failed: the endpoint's whole answer is a failure of its own.
	Failed Result = "failed"
	// Expired: the deadline passed during the attempt.
	Expired Result = "expired"
	// Abandoned: the caller left during the attempt.
	Abandoned Result = "abandoned"
)

// Ended tells how an attempt ended.
type Ended struct {
	ID     RequestID
	Result Result
	// LastEvent is the last event of the stream that was passed on.
	LastEvent int64
	// Version is that of the weights that made the answer so far; 0 if unknown.
	Version int64
	// Answering says that a part of an answer has been passed on.
	Answering bool
	// Unsent says that nothing was sent in an attempt that expired.
	Unsent bool
}

// Kind implements event.Event.
func (Ended) Kind() string { return "relay-ended" }

// Routine implements event.Routine.
func (Ended) Routine() {}

// Member is an endpoint on the platform's list.
type Member struct {
	Instance      string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Leaving       bool
	// HasModels says that the endpoint has an engine that loads models.
	HasModels bool
	// Born tells incarnations with one instance apart; 0 if unknown.
	Born int64
	// Stock is what the list tells of the endpoint's models.
	Stock stock.Report
}

// Members tells the list of endpoints.
type Members struct {
	List []Member
	// More says that the rest of the list has not been read yet.
	More bool
}

// Kind implements event.Event.
func (Members) Kind() string { return "relay-members" }

// Routine implements event.Routine.
func (Members) Routine() {}

// Reported brings an agent's report on its endpoint.
type Reported struct {
	Report stock.Report
}

// Kind implements event.Event.
func (Reported) Kind() string { return "relay-reported" }

// Routine implements event.Routine.
func (Reported) Routine() {}

// Renamed tells that the agent beside a listed endpoint reports another instance
// in its place: the endpoint has started again, and the list does not say so yet.
type Renamed struct {
	From   string
	Report stock.Report
}

// Kind implements event.Event.
func (Renamed) Kind() string { return "relay-renamed" }

// AgentLost tells that the connection to the agent beside an endpoint ended.
type AgentLost struct {
	Instance string
}

// Kind implements event.Event.
func (AgentLost) Kind() string { return "relay-agent-lost" }

// Adopted tells of a newer table of routes.
type Adopted struct {
	Table *route.Table
}

// Kind implements event.Event.
func (Adopted) Kind() string { return "relay-adopted" }

// Leaving tells that the process stops, and when it cuts off what is in progress.
type Leaving struct {
	By time.Time
}

// Kind implements event.Event.
func (Leaving) Kind() string { return "relay-leaving" }

// Configured brings settings that have changed.
type Configured struct {
	Settings Settings
}

// Kind implements event.Event.
func (Configured) Kind() string { return "relay-configured" }
