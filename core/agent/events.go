package agent

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Offer is a router's request to this agent to run a request of a caller, or to send its
// answer.
type Offer struct {
	ID      fleet.RequestID `json:"id"`
	Attempt uint32          `json:"attempt"`
	Member  fleet.MemberID  `json:"member"`
	Target  fleet.Target    `json:"target"`
	// Urgency is the priority among queued requests; a higher urgency starts first.
	Urgency int `json:"urgency"`
	// Idempotent is set if the request may be started again when it is unknown whether it
	// ran.
	Idempotent bool `json:"idempotent"`
	// Deadline is when the first byte (if Stream is set) or the whole answer (if not)
	// must have reached the caller, by this process's clock.
	Deadline time.Time `json:"deadline"`
	Stream   bool      `json:"stream"`
	// AttachOnly requests the answer of a request that is already journaled; the request
	// is never started by such an offer.
	AttachOnly bool `json:"attach,omitempty"`
	// ExpectInstance is the agent instance to which the request was first sent; 0 means any.
	ExpectInstance fleet.Instance `json:"expect,omitempty"`
	PromptTokens   int            `json:"prompt-tokens,omitempty"`
	MaxTokens      int            `json:"max-tokens,omitempty"`
	// Size is the size of the body, which is held in memory while the request is queued.
	Size fleet.Bytes `json:"size,omitempty"`
	// StreamID identifies the router's stream that carried the offer; replies refer to it.
	StreamID uint64 `json:"conn"`
	// Offset is the index of the first answer chunk to send.
	Offset uint64 `json:"offset,omitempty"`
	// KeepAnswer requests the agent to retain the answer, so that a later offer can attach
	// to it. It is set for requests with an idempotency key.
	KeepAnswer bool `json:"keep,omitempty"`
}

type (
	// Started is the first event of every agent.
	Started struct {
		Endpoint fleet.EndpointID `json:"endpoint"`
		Instance fleet.Instance   `json:"instance"`
		// Services lists the plain services on this host; they need no model load.
		Services []fleet.ServiceID `json:"services,omitempty"`
	}
	// IncarnationRead reports the result of a TakeIncarnation or ReadIncarnation effect.
	// Current is the incarnation stored in the key-value service; Failed is set if it could
	// not be read.
	IncarnationRead struct {
		Current fleet.Incarnation `json:"current"`
		// Taken is set if Current is a new incarnation, taken for this agent.
		Taken  bool `json:"taken,omitempty"`
		Failed bool `json:"err,omitempty"`
		// RequestedAt is the time At of the effect that led to this event.
		RequestedAt time.Time `json:"asked-at"`
	}
	// ConfigAccepted delivers an accepted configuration. It is ignored unless its revision
	// is newer than the current one.
	ConfigAccepted struct {
		Config *record.Config `json:"set"`
	}
	// EngineReported delivers the state reported by the engine.
	EngineReported struct {
		State fleet.EngineState `json:"state"`
	}
	// EngineReadFailed reports that the engine's state could not be read.
	EngineReadFailed struct{}
	// Offered delivers a request, or a repetition of one, sent by a router.
	Offered struct {
		Offer Offer `json:"offer"`
	}
	// Cancelled reports that the caller of a request has disconnected.
	Cancelled struct {
		ID fleet.RequestID `json:"id"`
		// StreamID is the router's stream that carried the cancellation. Only the stream of the most
		// recent offer can cancel the request: earlier streams may have been closed in
		// favor of it.
		StreamID uint64 `json:"conn"`
	}
	// Delivered reports that a router has received the whole answer to a request.
	Delivered struct {
		ID fleet.RequestID `json:"id"`
	}
	// TombstoneRequested delivers a router's request to ensure that a request never starts
	// at this endpoint.
	// ExpectInstance and StreamID mean the same as in Offer.
	TombstoneRequested struct {
		ID             fleet.RequestID `json:"id"`
		ExpectInstance fleet.Instance  `json:"expect"`
		StreamID       uint64          `json:"conn"`
	}
	// AnswerBegan reports that the first chunk of the answer to a request has been received
	// from the engine or the plain service.
	AnswerBegan struct {
		ID fleet.RequestID `json:"id"`
	}
	// AnswerEnded reports that the whole answer to a request, of the given number of chunks,
	// has been received from the engine or the plain service.
	AnswerEnded struct {
		ID     fleet.RequestID `json:"id"`
		Chunks uint64          `json:"chunks"`
	}
	// AnswerFailed reports that a request failed before its answer was complete and that no
	// more of the answer will arrive.
	AnswerFailed struct {
		ID fleet.RequestID `json:"id"`
		// Sent is set if the engine or service may have started the request.
		Sent   bool   `json:"sent"`
		Detail string `json:"detail"`
	}
	// OrderEnded reports the outcome of an order to the engine.
	OrderEnded struct {
		Order   fleet.Order   `json:"order"`
		Outcome fleet.Outcome `json:"outcome"`
	}
	// AssignmentRead reports the result of a ReadAssignment effect; Failed is set if the
	// read failed. RequestedAt is the time At of the effect.
	AssignmentRead struct {
		Assignment  Assignment `json:"assignment"`
		Failed      bool       `json:"err,omitempty"`
		RequestedAt time.Time  `json:"asked-at"`
	}
	// AssignmentsRead reports the result of a ReadAssignments effect: all assignments of
	// this endpoint. Failed is set if the read failed. RequestedAt is the time At of the effect.
	AssignmentsRead struct {
		Assignments []Assignment `json:"assignments,omitempty"`
		Failed      bool         `json:"err,omitempty"`
		RequestedAt time.Time    `json:"asked-at"`
	}
	// AssignmentPushed is a router's hint that a placement involving this endpoint has
	// changed. The agent reads the assignment from the key-value service instead of
	// trusting the hint.
	AssignmentPushed struct {
		Model      fleet.ModelID    `json:"model"`
		Generation fleet.Generation `json:"generation"`
		StreamID   uint64           `json:"conn"`
	}
	// PermitAnswered reports a change in the state of a permit request.
	PermitAnswered struct {
		ID     fleet.OrderID `json:"id"`
		Model  fleet.ModelID `json:"model"`
		Answer PermitAnswer  `json:"answer"`
	}
	// DrainRequested starts a graceful shutdown.
	DrainRequested struct{}
)

// PermitAnswer is the state of a permit request as reported to the agent.
type PermitAnswer string

// Possible answers to a permit request.
const (
	// PermitGranted means that the load may start now.
	PermitGranted PermitAnswer = "granted"
	// PermitWaiting means that a router has queued the request.
	PermitWaiting PermitAnswer = "waiting"
	// PermitRefused means that the load can't finish before its deadline.
	PermitRefused PermitAnswer = "refused"
	// PermitUnreachable means that no router can be reached.
	PermitUnreachable PermitAnswer = "unreachable"
)

// AssignmentState is what a placement allows an endpoint to do with a model.
type AssignmentState string

// States of an assignment.
const (
	// AssignmentNone means that the model is not placed on this endpoint.
	AssignmentNone AssignmentState = "none"
	// AssignmentAssigned means that the endpoint may load and hold the model.
	AssignmentAssigned AssignmentState = "assigned"
	// AssignmentReleasing means that the endpoint must unload the model once the endpoint
	// runs no more requests for it.
	AssignmentReleasing AssignmentState = "releasing"
)

// Assignment is the part of a model's placement that concerns this endpoint.
type Assignment struct {
	Model      fleet.ModelID    `json:"model"`
	Generation fleet.Generation `json:"generation"`
	State      AssignmentState  `json:"state"`
	// Rank is the position of this endpoint among those assigned, starting at 0. Endpoints
	// with a rank below the model's warm floor always keep it warm.
	Rank int `json:"rank,omitempty"`
}

// Kind implements event.Event.
func (Started) Kind() string { return "started" }

// Kind implements event.Event.
func (IncarnationRead) Kind() string { return "incarnation-read" }

// Kind implements event.Event.
func (ConfigAccepted) Kind() string { return "config-accepted" }

// Kind implements event.Event.
func (EngineReported) Kind() string { return "engine-reported" }

// Routine implements event.Routine.
func (EngineReported) Routine() {}

// Kind implements event.Event.
func (EngineReadFailed) Kind() string { return "engine-silent" }

// Kind implements event.Event.
func (Offered) Kind() string { return "offered" }

// Kind implements event.Event.
func (Cancelled) Kind() string { return "cancelled" }

// Kind implements event.Event.
func (Delivered) Kind() string { return "delivered" }

// Kind implements event.Event.
func (TombstoneRequested) Kind() string { return "tombstone-asked" }

// Kind implements event.Event.
func (AnswerBegan) Kind() string { return "stream-began" }

// Kind implements event.Event.
func (AnswerEnded) Kind() string { return "stream-ended" }

// Kind implements event.Event.
func (AnswerFailed) Kind() string { return "stream-failed" }

// Kind implements event.Event.
func (OrderEnded) Kind() string { return "order-ended" }

// Kind implements event.Event.
func (AssignmentRead) Kind() string { return "assignment-read" }

// Kind implements event.Event.
func (AssignmentsRead) Kind() string { return "assignments-read" }

// Kind implements event.Event.
func (AssignmentPushed) Kind() string { return "assign-pushed" }

// Kind implements event.Event.
func (PermitAnswered) Kind() string { return "permit-answered" }

// Kind implements event.Event.
func (DrainRequested) Kind() string { return "drain-asked" }

// Events returns a registry of all event types of the agent.
func Events() *event.Registry {
	return event.NewRegistry(
		Started{}, IncarnationRead{}, ConfigAccepted{}, EngineReported{}, EngineReadFailed{},
		Offered{}, Cancelled{}, Delivered{}, TombstoneRequested{}, AnswerBegan{}, AnswerEnded{}, AnswerFailed{},
		OrderEnded{}, AssignmentRead{}, AssignmentsRead{}, AssignmentPushed{}, PermitAnswered{},
		DrainRequested{},
	)
}
