package relay

import (
	"net/netip"
	"time"

	"chervilreach/core/poison"
	"chervilreach/core/quota"
	"chervilreach/core/stock"
)

// Send starts an attempt at an endpoint.
type Send struct {
	ID RequestID
	// Try is the number of the attempt, starting at 1.
	Try      int
	Instance string
	Address  netip.AddrPort
	Deadline time.Time
	// FirstBy is the time for the first part of the answer, MaxGap the longest pause between the
	// events of a stream. If either is exceeded, AttemptSilent is to be posted, and the attempt goes
	// on. Zero means no limit.
	FirstBy time.Time
	MaxGap  time.Duration
	// Once reports whether the request is not idempotent: it must not be sent again if the
	// endpoint may have received it.
	Once bool
	// LastEvent is the number of the stream event after which the answer resumes, or
	// NoEvent to start from the beginning.
	LastEvent int64
	// Version is the version of the model weights that generated the first part of the
	// answer. Only this version may resume it; 0 allows any.
	Version int64
	// Software is the version of the endpoint's software; empty if unknown.
	Software string
	// Basis holds the inputs of the endpoint selection, for the log.
	Basis Basis
	// Urgency is the request's rank in the endpoint's queue, from route.Route.Priority.
	// The lowest number is the most urgent, 0; negative means no rank.
	Urgency int
	// Limited reports whether the endpoint is known to have a rate limit, whose end its answer
	// may tell.
	Limited bool
	// AfterBackoff reports whether the endpoint has requested a backoff and has not taken a request
	// since.
	AfterBackoff bool
}

// Kind implements event.Effect.
func (Send) Kind() string { return "relay-send" }

// Routine implements event.Routine.
func (Send) Routine() {}

// Basis holds the inputs of an endpoint selection.
type Basis struct {
	// Candidates is the number of endpoints that could have served the request at once.
	Candidates int
	// UnlimitedCandidates is the number of candidates without a rate limit.
	UnlimitedCandidates int
	// Cost is the estimated time to the first part of the answer, including penalties.
	Cost time.Duration
	// Load is the number of requests at the endpoint, from all routers.
	Load int
	// ReportedAt is the time of the agent's last report; zero if there was none.
	ReportedAt time.Time
	// Routes is the version of the routing table in force (route.Table.Version).
	Routes int64
	// Limit is the rate limit of the endpoint, in requests per second; 0 if it has none.
	Limit float64
}

// Wait reports what a queued request waits for. It is emitted when the request is queued
// and whenever the endpoint that is to load its item changes.
type Wait struct {
	ID RequestID
	// Instance is the endpoint that has been asked to load the requested item; empty if
	// the request does not wait for a load.
	Instance string
	// ReadyAt is the time at which the request is expected to be sent.
	ReadyAt time.Time
}

// Kind implements event.Effect.
func (Wait) Kind() string { return "relay-wait" }

// Routine implements event.Routine.
func (Wait) Routine() {}

// Reason is the cause of a refusal or failure.
type Reason string

// Reasons for refusals and failures.
const (
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint Reason = "no-endpoint"
	// UnknownModel means that the service's engine has no such model.
	UnknownModel Reason = "unknown-model"
	// TooLate means that the request could not be sent before its caller leaves.
	TooLate Reason = "too-late"
	// TooBusy is not returned at present.
	TooBusy Reason = "too-busy"
	// NoRetryBudget means that a retry would exceed the retry budget.
	NoRetryBudget Reason = "no-retry-budget"
	// MayHaveRun means that the request may have run and is not idempotent.
	MayHaveRun Reason = "may-have-run"
	// DeadlineExceeded means that the request's deadline has passed.
	DeadlineExceeded Reason = "out-of-time"
	// AttemptsFailed means that the route's maximum number of attempts may have run, and
	// all of them failed.
	AttemptsFailed Reason = "attempts-failed"
	// RateLimited means that the rate limits of the endpoints leave no room before the caller
	// leaves.
	RateLimited Reason = "rate-limited"
	// NoLoader means that no endpoint has the model and no agent is connected to load it.
	NoLoader Reason = "no-loader"
	// BackoffRequested means that all endpoints that could serve the request want no requests from
	// this router for some time.
	BackoffRequested Reason = "backoff-requested"
	// UnknownVersion means that it is not known which version of the endpoints' software began the
	// stream that the request resumes. The caller must begin anew.
	UnknownVersion Reason = "unknown-version"
	// VersionGone means that no endpoint has the version of the software that began the stream. The
	// caller must begin anew.
	VersionGone Reason = "version-gone"
	// Stopping means that the router is shutting down.
	Stopping Reason = "stopping"
	// PromptCrashes means that a part of the prompt crashes endpoints.
	PromptCrashes Reason = "prompt-crashes-endpoints"
	// RequestCrashes means that the request crashes endpoints.
	RequestCrashes Reason = "request-crashes-endpoints"
)

// Refuse rejects a request that has not run and will not run.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// RetryAt is the earliest time at which a retry by the caller is likely to succeed.
	RetryAt time.Time
}

// Kind implements event.Effect.
func (Refuse) Kind() string { return "relay-refuse" }

// Routine implements event.Routine.
func (Refuse) Routine() {}

// Fail ends a request that may have run with an error. If part of the answer has been
// passed to the caller, the answer is cut off in a way that the caller can detect.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// Kind implements event.Effect.
func (Fail) Kind() string { return "relay-fail" }

// Routine implements event.Routine.
func (Fail) Routine() {}

// DeliverFailure passes the endpoint's error answer from the last attempt to the
// caller.
type DeliverFailure struct {
	ID RequestID
}

// Kind implements event.Effect.
func (DeliverFailure) Kind() string { return "relay-deliver" }

// Routine implements event.Routine.
func (DeliverFailure) Routine() {}

// AbortAttempt closes the connection of an attempt whose endpoint is gone, as the
// connection to a dead host does not end by itself. The attempt ends with the result
// Broken. It has no effect if another attempt is in progress, or if the attempt is no longer silent.
type AbortAttempt struct {
	ID RequestID
	// Try is the number of the attempt.
	Try int
	// Silence is the number of the silence for which the attempt is aborted; 0 if for another reason.
	Silence int
}

// Kind implements event.Effect.
func (AbortAttempt) Kind() string { return "relay-break-off" }

// Routine implements event.Routine.
func (AbortAttempt) Routine() {}

// FollowAgents connects the router to the agents of the listed endpoints and closes its
// connections to all other agents.
type FollowAgents struct {
	List []EndpointEntry
}

// Kind implements event.Effect.
func (FollowAgents) Kind() string { return "relay-follow" }

// Routine implements event.Routine.
func (FollowAgents) Routine() {}

// SendDemand sends the router's demand to the agent of an endpoint. It replaces the
// previous demand.
type SendDemand struct {
	Instance string
	Demand   stock.Demand
}

// Kind implements event.Effect.
func (SendDemand) Kind() string { return "relay-ask" }

// Routine implements event.Routine.
func (SendDemand) Routine() {}

// AskPermit asks an agent for a permit to send a request to a limited endpoint. The answer comes
// as PermitAnswered.
type AskPermit struct {
	ID RequestID
	// Number identifies the ask.
	Number uint64
	// Granter is the endpoint whose agent grants the permits.
	Granter string
	// Limit is the limit of the endpoint that the request is for.
	Limit stock.EndpointLimit
	Ask   quota.Ask
}

// Kind implements event.Effect.
func (AskPermit) Kind() string { return "relay-ask-permit" }

// Routine implements event.Routine.
func (AskPermit) Routine() {}

// ReportLimit tells an agent the limit of an endpoint, or its end, so that other routers learn
// of it.
type ReportLimit struct {
	// Granter is the endpoint whose agent is told.
	Granter string
	Limit   stock.EndpointLimit
}

// Kind implements event.Effect.
func (ReportLimit) Kind() string { return "relay-report-limit" }

// LimitChanged reports that the known limit of an endpoint has changed, for the log.
type LimitChanged struct {
	Endpoint string
	// Before and Now are the limits before and after the change.
	Before, Now stock.EndpointLimit
	// Source is the agent that told the change, by its endpoint; empty if an answer did.
	Source string
}

// Kind implements event.Effect.
func (LimitChanged) Kind() string { return "relay-limit-changed" }

// CheckPort asks whether the host of an endpoint refuses connections. The answer comes as PortChecked.
type CheckPort struct {
	Instance string
	Address  netip.AddrPort
}

// Kind implements event.Effect.
func (CheckPort) Kind() string { return "relay-check-port" }

// EndpointLeaving reports that an endpoint has begun to leave or is gone, for the log.
type EndpointLeaving struct {
	Endpoint string
	// Source is "store", "agent" for a report of the endpoint's agent, or "endpoint" for the
	// endpoint's own answer.
	Source string
	// Listed reports whether the endpoint is still in the list.
	Listed bool
	// ReadAt is when the list or report that tells it was read.
	ReadAt time.Time
}

// Kind implements event.Effect.
func (EndpointLeaving) Kind() string { return "relay-endpoint-leaving" }

// ReportCrashes tells an agent what the router knows of recent crashes of endpoints.
type ReportCrashes struct {
	// Judge is the endpoint whose agent is told.
	Judge   string
	Crashes []poison.Crash
}

// Kind implements event.Effect.
func (ReportCrashes) Kind() string { return "relay-report-crashes" }

// ReportAnswered tells an agent that endpoints have answered requests with these prompt parts.
type ReportAnswered struct {
	// Judge is the endpoint whose agent is told.
	Judge string
	Parts []poison.Part
}

// Kind implements event.Effect.
func (ReportAnswered) Kind() string { return "relay-report-answered" }

// ReportVerdicts tells an agent verdicts on prompt parts.
type ReportVerdicts struct {
	// Agent is the endpoint whose agent is told.
	Agent    string
	Verdicts []poison.Verdict
}

// Kind implements event.Effect.
func (ReportVerdicts) Kind() string { return "relay-report-verdicts" }

// EndpointCrashed reports the crash of an endpoint, for the log.
type EndpointCrashed struct {
	Endpoint string
	// Lost is the number of this router's attempts that the crash ended before they were answered,
	// LostAt the time at which the first of them ended.
	Lost     int
	LostAt   time.Time
	Suspects []poison.Suspect
	// Source is how the crash was found.
	Source crashSource
}

// Kind implements event.Effect.
func (EndpointCrashed) Kind() string { return "relay-crashed" }

// VerdictChanged reports a new verdict on a prompt part, for the log.
type VerdictChanged struct {
	Verdict poison.Verdict
	// Source is the endpoint whose agent told it; empty if an operator lifted the conviction at this
	// router.
	Source string
}

// Kind implements event.Effect.
func (VerdictChanged) Kind() string { return "relay-verdict" }

// PartRefused reports that a request is refused for a convicted part of its prompt, for the log.
type PartRefused struct {
	ID RequestID
	// PartID is the ID of the part in the request; empty if it is the whole request.
	PartID  string
	Verdict poison.Verdict
}

// Kind implements event.Effect.
func (PartRefused) Kind() string { return "relay-part-refused" }

// Routine implements event.Routine.
func (PartRefused) Routine() {}
