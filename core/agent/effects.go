package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// TombstoneState is the answer to TombstoneRequested: whether the request can still run.
type TombstoneState string

// Possible answers to TombstoneRequested.
const (
	// TombstoneWritten means that the request has not run here and never will.
	TombstoneWritten TombstoneState = "tombstoned"
	// TombstoneRunning means that the request is running and can be attached to.
	TombstoneRunning TombstoneState = "running"
	// TombstoneDone means that the request has run to completion.
	TombstoneDone TombstoneState = "done"
	// TombstoneUnknown means that the agent can't tell whether the request has run, for
	// example because it was sent to an earlier instance.
	TombstoneUnknown TombstoneState = "unknown"
)

type (
	// TakeIncarnation takes a new incarnation for this agent from the key-value service. At
	// is the time of the effect, here and in all effects that read from that service. The
	// resulting event returns it as RequestedAt, so that results of reads requested before a
	// pause of the process can be recognized as stale.
	TakeIncarnation struct {
		At time.Time `json:"at"`
	}
	// ReadIncarnation reads the current incarnation from the key-value service, to check that
	// it still equals Own, the incarnation of this agent.
	ReadIncarnation struct {
		Incarnation fleet.Incarnation `json:"own"`
		At          time.Time         `json:"at"`
	}
	// ReadEngine reads the engine's state.
	ReadEngine struct{}
	// ReadAssignment reads one model's assignment from the key-value service.
	ReadAssignment struct {
		Model fleet.ModelID `json:"model"`
		At    time.Time     `json:"at"`
	}
	// ReadAssignments reads all assignments of this endpoint from the key-value service.
	ReadAssignments struct {
		At time.Time `json:"at"`
	}
	// AnswerAssignment answers an AssignmentPushed event with the state of the assignment at
	// this agent, on the stream StreamID.
	AnswerAssignment struct {
		StreamID   uint64           `json:"conn"`
		Model      fleet.ModelID    `json:"model"`
		Generation fleet.Generation `json:"generation"`
		State      AssignmentAnswer `json:"state"`
	}
	// AdmitOffer notifies the router that the request is journaled. The answer is sent on
	// the stream StreamID, starting at chunk Offset.
	AdmitOffer struct {
		ID       fleet.RequestID `json:"id"`
		StreamID uint64          `json:"conn"`
		Offset   uint64          `json:"offset"`
		// ExpectedFirstByteAt is the estimated time of the first byte. It is zero if the
		// offer was a repetition.
		ExpectedFirstByteAt time.Time `json:"expected"`
	}
	// RefuseOffer refuses a request on the stream StreamID only.
	RefuseOffer struct {
		ID       fleet.RequestID `json:"id"`
		StreamID uint64          `json:"conn"`
		Refusal  fleet.Refusal   `json:"refusal"`
	}
	// RefuseAnswer refuses a journaled request on every stream that waits for its answer.
	RefuseAnswer struct {
		ID      fleet.RequestID `json:"id"`
		Refusal fleet.Refusal   `json:"refusal"`
	}
	// AnswerTombstone answers a TombstoneRequested event on the stream StreamID.
	AnswerTombstone struct {
		ID       fleet.RequestID `json:"id"`
		StreamID uint64          `json:"conn"`
		State    TombstoneState  `json:"state"`
	}
	// StartRequest sends a request to the engine or to the plain service it targets.
	StartRequest struct {
		ID     fleet.RequestID `json:"id"`
		Target fleet.Target    `json:"target"`
		// NotAfter is the latest time at which the request may be sent.
		NotAfter time.Time `json:"not-after"`
	}
	// CancelRequest cancels a request that runs at the engine or at a plain service.
	CancelRequest struct {
		ID fleet.RequestID `json:"id"`
	}
	// DropAnswer discards the retained answer of a request.
	DropAnswer struct {
		ID fleet.RequestID `json:"id"`
	}
	// SendOrder sends an order to the engine, but not after NotAfter.
	SendOrder struct {
		Order    fleet.Order `json:"order"`
		NotAfter time.Time   `json:"not-after"`
	}
	// AbandonOrder stops waiting for the answer to an order and stops sending it.
	AbandonOrder struct {
		ID fleet.OrderID `json:"id"`
	}
	// RequestPermit requests a permit to load a model from the router that grants the
	// permits for all loads of the fleet. The request is repeated, and the permit renewed
	// once granted, until ReturnPermit. A later RequestPermit with the same ID updates urgency and deadline.
	RequestPermit struct {
		ID       fleet.OrderID `json:"id"`
		Model    fleet.ModelID `json:"model"`
		Urgency  int           `json:"urgency"`
		Deadline time.Time     `json:"deadline"`
		// ExpectedLoadTime is the expected duration of the load at full speed of the weight
		// store.
		ExpectedLoadTime time.Duration `json:"expected"`
	}
	// ReturnPermit returns a permit or withdraws a permit request. Took is the duration
	// of the load; 0 if it failed or was not started.
	ReturnPermit struct {
		ID   fleet.OrderID `json:"id"`
		Took time.Duration `json:"took"`
	}
	// Drained reports that a drain is complete: no request is queued or running.
	Drained struct{}
)

// AssignmentAnswer is the state of an assignment at the agent, as reported to a router.
type AssignmentAnswer string

// Possible answers to AssignmentPushed.
const (
	// AssignmentConfirmed means that the agent may hold the model.
	AssignmentConfirmed AssignmentAnswer = "confirmed"
	// AssignmentReleased means that the engine does not hold the model and that no order in
	// flight can load it.
	AssignmentReleased AssignmentAnswer = "released"
	// AssignmentUnconfirmed means that the agent can confirm neither that it may hold the
	// model nor that the engine does not hold it.
	AssignmentUnconfirmed AssignmentAnswer = "unconfirmed"
)

// Kind implements event.Effect.
func (TakeIncarnation) Kind() string { return "take-incarnation" }

// Kind implements event.Effect.
func (ReadIncarnation) Kind() string { return "read-incarnation" }

// Kind implements event.Effect.
func (ReadEngine) Kind() string { return "read-engine" }

// Routine implements event.Routine.
func (ReadEngine) Routine() {}

// Kind implements event.Effect.
func (ReadAssignment) Kind() string { return "read-assignment" }

// Kind implements event.Effect.
func (ReadAssignments) Kind() string { return "read-assignments" }

// Kind implements event.Effect.
func (AnswerAssignment) Kind() string { return "answer-assign" }

// Kind implements event.Effect.
func (AdmitOffer) Kind() string { return "admit-offer" }

// Kind implements event.Effect.
func (RefuseOffer) Kind() string { return "refuse-offer" }

// Kind implements event.Effect.
func (RefuseAnswer) Kind() string { return "refuse-answer" }

// Kind implements event.Effect.
func (AnswerTombstone) Kind() string { return "answer-tombstone" }

// Kind implements event.Effect.
func (StartRequest) Kind() string { return "start-stream" }

// Kind implements event.Effect.
func (CancelRequest) Kind() string { return "cancel-stream" }

// Kind implements event.Effect.
func (DropAnswer) Kind() string { return "drop-answer" }

// Kind implements event.Effect.
func (SendOrder) Kind() string { return "send-order" }

// Kind implements event.Effect.
func (AbandonOrder) Kind() string { return "abandon-order" }

// Kind implements event.Effect.
func (RequestPermit) Kind() string { return "ask-permit" }

// Kind implements event.Effect.
func (ReturnPermit) Kind() string { return "return-permit" }

// Kind implements event.Effect.
func (Drained) Kind() string { return "drained" }
