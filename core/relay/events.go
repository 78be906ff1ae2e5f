package relay

import (
	"net/netip"
	"slices"
	"time"

	"chervilreach/core/origin"
	"chervilreach/core/poison"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// RequestID identifies a request within one router process.
type RequestID uint64

// NoEvent is the LastEvent of a stream of which no event has been received.
const NoEvent int64 = -1

// PromptPart is a section of a prompt that the prompts of other requests may contain too.
// Parts with the same ID are taken to be equal.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	// AttemptID is the ID that the caller gave the request.
	AttemptID string `json:"Attempt"`
	Route     *route.Route
	Service   string
	// Item is the requested model or adapter; zero for services without models.
	Item stock.Item
	// TokensIn is the prompt length in tokens, TokensOut the maximum number of tokens to
	// generate.
	TokensIn, TokensOut int
	// Prefix holds the shareable parts at the beginning of the prompt, in order.
	Prefix []PromptPart
	// Deadline is the caller's deadline or the route's timeout, whichever is earlier.
	Deadline time.Time
	// LastEvent is the number of the last stream event that the caller has received, or
	// NoEvent.
	LastEvent int64
	// Resuming reports whether the caller has part of the answer and wants the rest. Resumes is the
	// stream that it names; 0 if unknown.
	Resuming bool
	Resumes  origin.Stream
	// Origin is the stream that the request begins if it does not resume one.
	Origin origin.Stream
	// Whole stands for the whole request, the same for its repeats; 0 if unknown.
	Whole poison.Part
}

// RequestArrived reports a new request.
type RequestArrived struct {
	ID      RequestID
	Request Request
}

// Kind implements event.Event.
func (RequestArrived) Kind() string { return "relay-arrive" }

// Routine implements event.Routine.
func (RequestArrived) Routine() {}

// PortChecked reports whether a connection to an endpoint can be opened, as asked by CheckPort.
type PortChecked struct {
	Instance string
	// Refused reports whether the endpoint's host refuses connections.
	Refused bool
	// Unreachable reports whether no connection could be opened for another reason.
	Unreachable bool
}

// Kind implements event.Event.
func (PortChecked) Kind() string { return "relay-port-checked" }

// CallerDone reports that the caller has disconnected or has received its complete
// answer.
type CallerDone struct {
	ID RequestID
}

// Kind implements event.Event.
func (CallerDone) Kind() string { return "relay-gone" }

// Routine implements event.Routine.
func (CallerDone) Routine() {}

// AnswerStarted reports that the first part of an answer has been received.
type AnswerStarted struct {
	ID RequestID
}

// Kind implements event.Event.
func (AnswerStarted) Kind() string { return "relay-begun" }

// Routine implements event.Routine.
func (AnswerStarted) Routine() {}

// Result is the outcome of an attempt.
type Result string

// Results of attempts.
const (
	// Done means that the complete answer has been passed to the caller.
	Done Result = "done"
	// Unsent means that no byte of the request was sent.
	Unsent Result = "unsent"
	// Shed means that the endpoint rejected the request without running it.
	Shed Result = "shed"
	// ModelMissing means that the endpoint rejected the request without running it
	// because the model or adapter is not loaded.
	ModelMissing Result = "missing"
	// Replaced means that another instance answers at the address. It did not run the
	// request.
	Replaced Result = "replaced"
	// Broken means that no complete answer was received. The request may have run.
	Broken Result = "broken"
	// Failed means that the endpoint sent a complete answer with a server error, or with a status
	// that says that the request has not run though the endpoint has not rejected it.
	Failed Result = "failed"
	// Expired means that the deadline passed during the attempt.
	Expired Result = "expired"
	// Abandoned means that the caller disconnected during the attempt.
	Abandoned Result = "abandoned"
)

// MayHaveRun reports whether the request may have run in an attempt with this result.
func (r Result) MayHaveRun() bool {
	switch r {
	case Unsent, Shed, ModelMissing, Replaced:
		return false
	default:
		return true
	}
}

// RateLimit is the rate limit that an endpoint names in an answer.
type RateLimit struct {
	// Named reports whether the answer names a limit.
	Named bool
	// PerSecond is the number of requests per second that the endpoint accepts from all
	// routers together.
	PerSecond float64
}

// LimitObserved reports the rate limit that the answer to the attempt in progress names, or that
// it names none. It need not be reported for answers without a limit unless Send.Limited was set.
type LimitObserved struct {
	ID RequestID
	// Try is the number of the attempt.
	Try   int
	Limit RateLimit
}

// Kind implements event.Event.
func (LimitObserved) Kind() string { return "relay-limit" }

// Routine implements event.Routine.
func (LimitObserved) Routine() {}

// PermitAnswered carries the answer to an AskPermit.
type PermitAnswered struct {
	ID RequestID
	// Number is AskPermit.Number.
	Number uint64
	// Result is the answer.
	Result PermitResult
	// StartAt is the start of the permit, or of the next possible one if it was denied.
	StartAt time.Time
	// ExpiresAt is the time until which the permit must be used.
	ExpiresAt time.Time
}

// Kind implements event.Event.
func (PermitAnswered) Kind() string { return "relay-permit" }

// Routine implements event.Routine.
func (PermitAnswered) Routine() {}

// PermitResult is the answer to an ask for a permit.
type PermitResult string

// Results of asks for permits.
const (
	// PermitGranted means that one request may be sent.
	PermitGranted PermitResult = "granted"
	// PermitDenied means that there is no permit that is of use to the request.
	PermitDenied PermitResult = "denied"
	// PermitUnanswered means that the granter did not answer in time.
	PermitUnanswered PermitResult = "unanswered"
)

// AttemptEnded reports that an attempt has ended, and its outcome.
type AttemptEnded struct {
	ID     RequestID
	Result Result
	// LastEvent is the number of the last stream event passed to the caller.
	LastEvent int64
	// Version is the version of the weights that generated the answer so far; 0 if
	// unknown.
	Version int64
	// Answering reports whether part of an answer has been passed to the caller.
	Answering bool
	// Unsent reports whether an attempt with the result Expired had sent nothing.
	Unsent bool
	// Refused reports whether the endpoint's host refused the connection of an attempt with the
	// result Unsent.
	Refused bool
	// Cut reports whether the endpoint closed the connection of an attempt with the result Broken.
	Cut bool
	// PromptServed reports whether an attempt with the result Done has served the prompt: the answer
	// is a stream with events, or a success whose end is marked.
	PromptServed bool
	// EndpointFailed reports whether the answer that an attempt with the result Done has passed on is a
	// failure of the endpoint.
	EndpointFailed bool
	// HeadReceived reports whether the head of an answer to the attempt has been received.
	HeadReceived bool
}

// Kind implements event.Event.
func (AttemptEnded) Kind() string { return "relay-ended" }

// Routine implements event.Routine.
func (AttemptEnded) Routine() {}

// EndpointEntry is the entry of an endpoint in the platform's endpoint list.
type EndpointEntry struct {
	Instance      string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that the endpoint runs at once; 0 if unlimited.
	Slots int
	// Leaving reports whether the endpoint is draining and must get no new requests.
	Leaving bool
	// HasModels reports whether the endpoint has an engine that loads models. Such an
	// endpoint has an agent on its host.
	HasModels bool
	// Born identifies the incarnation of the instance; 0 if unknown.
	Born int64
	// Software is the version of the endpoint's software; empty if unknown. Versions have no order.
	Software string
	// Stock is the listed state of the endpoint's models. It may be older than the
	// agent's reports.
	Stock stock.Report
	// Malformed reports whether the entry names no endpoint, as another writer has replaced it. The
	// other fields are those of the last valid entry.
	Malformed bool
}

// contradicts reports whether the entry, of the same incarnation as known, differs in what an
// incarnation never changes. Empty fields are unknown.
func (m *EndpointEntry) contradicts(known *EndpointEntry) bool {
	if m.Service != known.Service {
		return true
	}
	if m.Born == 0 || m.Born != known.Born {
		return false
	}
	return m.Address != known.Address || m.Software != known.Software && m.Software != "" && known.Software != ""
}

// claimsAs reports whether both entries can be read and name the same incarnation, with what an incarnation never
// changes.
func (m *EndpointEntry) claimsAs(o *EndpointEntry) bool {
	return !m.Malformed && !o.Malformed && m.Service == o.Service && m.Born == o.Born && m.Address == o.Address && m.Software == o.Software
}

// equal reports whether the entries are equal.
func (m *EndpointEntry) equal(o *EndpointEntry) bool {
	return m.Instance == o.Instance && m.Service == o.Service && m.Address == o.Address && m.FailureDomain == o.FailureDomain &&
		m.Slots == o.Slots && m.Leaving == o.Leaving && m.HasModels == o.HasModels && m.Born == o.Born && m.Software == o.Software &&
		m.Malformed == o.Malformed && slices.EqualFunc(m.Stock.Models, o.Stock.Models, stock.LoadedModel.Equal) &&
		m.Stock.Copies.Equal(o.Stock.Copies)
}

// EndpointsListed carries the platform's endpoint list, which replaces the previous list.
type EndpointsListed struct {
	List []EndpointEntry
	// More reports whether the list is incomplete because its rest has not been read
	// yet.
	More bool
	// ReadAt is the time at which the list was read.
	ReadAt time.Time
}

// Kind implements event.Event.
func (EndpointsListed) Kind() string { return "relay-members" }

// Routine implements event.Routine.
func (EndpointsListed) Routine() {}

// AgentReported carries an agent's report on its endpoint.
type AgentReported struct {
	Report stock.Report
}

// Kind implements event.Event.
func (AgentReported) Kind() string { return "relay-reported" }

// Routine implements event.Routine.
func (AgentReported) Routine() {}

// InstanceChanged reports that the agent of the listed instance From now reports
// another instance. The endpoint has restarted, and the list does not show it yet.
type InstanceChanged struct {
	From   string
	Report stock.Report
}

// Kind implements event.Event.
func (InstanceChanged) Kind() string { return "relay-renamed" }

// AgentLost reports that the connection to an endpoint's agent has ended.
type AgentLost struct {
	Instance string
}

// Kind implements event.Event.
func (AgentLost) Kind() string { return "relay-agent-lost" }

// RoutesAdopted carries a routing table, which replaces the current one if it is newer.
type RoutesAdopted struct {
	Table *route.Table
}

// Kind implements event.Event.
func (RoutesAdopted) Kind() string { return "relay-adopted" }

// ShutdownStarted reports that the process is shutting down and aborts all requests in
// progress at the time By.
type ShutdownStarted struct {
	// DrainAt is the time from which callers' connections are closed after their answers; streams
	// that arrive later are refused. Zero means By.
	DrainAt, By time.Time
}

// Kind implements event.Event.
func (ShutdownStarted) Kind() string { return "relay-leaving" }

// SettingsChanged carries new settings, which replace the previous ones.
type SettingsChanged struct {
	Settings Settings
}

// Kind implements event.Event.
func (SettingsChanged) Kind() string { return "relay-configured" }

// PartAcquitted reports that an operator lifts the conviction of a prompt part.
type PartAcquitted struct {
	Part poison.Part
}

// Kind implements event.Event.
func (PartAcquitted) Kind() string { return "relay-part-acquitted" }
