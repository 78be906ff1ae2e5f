package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// TombstoneState answers whether a request can still start here.
type TombstoneState string

// The answers to a request for a tombstone.
const (
	// TombstoneWritten says that the request never ran and never will.
	TombstoneWritten TombstoneState = "tombstoned"
	// TombstoneRunning says that it is running and can be attached to.
	TombstoneRunning TombstoneState = "running"
	// TombstoneDone says that it has run to its end.
	TombstoneDone TombstoneState = "done"
	// TombstoneUnknown says that an earlier incarnation may have run it.
	TombstoneUnknown TombstoneState = "unknown"
)

type (
	// TakeIncarnation asks for a new incarnation in the key-value service. Its
	// answer repeats At, as do those of the reads below: one that was asked for
	// before a pause is from the past.
	TakeIncarnation struct {
		At time.Time `json:"at"`
	}
	// ReadIncarnation asks whether our incarnation is still the current one.
	ReadIncarnation struct {
		Own fleet.Incarnation `json:"own"`
		At  time.Time         `json:"at"`
	}
	// ReadEngine asks the engine for its state.
	ReadEngine struct{}
	// ReadAssignment asks the key-value service for one model's placement.
	ReadAssignment struct {
		Model fleet.ModelID `json:"model"`
		At    time.Time     `json:"at"`
	}
	// ReadAssignments asks for all placements.
	ReadAssignments struct {
		At time.Time `json:"at"`
	}
	// AnswerAssign tells a router how far an assignment has got.
	AnswerAssign struct {
		Conn       uint64           `json:"conn"`
		Model      fleet.ModelID    `json:"model"`
		Generation fleet.Generation `json:"generation"`
		State      AssignAnswer     `json:"state"`
	}
	// AdmitOffer tells the router that the request is journaled. The answer
	// follows on the same stream.
	AdmitOffer struct {
		ID     fleet.RequestID `json:"id"`
		Conn   uint64          `json:"conn"`
		Offset uint64          `json:"offset"`
		// Expected is when the first byte is expected.
		Expected time.Time `json:"expected"`
	}
	// RefuseOffer ends the request of one stream.
	RefuseOffer struct {
		ID      fleet.RequestID `json:"id"`
		Conn    uint64          `json:"conn"`
		Refusal fleet.Refusal   `json:"refusal"`
	}
	// RefuseAnswer ends every stream that waits for the answer of a request.
	RefuseAnswer struct {
		ID      fleet.RequestID `json:"id"`
		Refusal fleet.Refusal   `json:"refusal"`
	}
	// AnswerTombstone answers a request for a tombstone.
	AnswerTombstone struct {
		ID    fleet.RequestID `json:"id"`
		Conn  uint64          `json:"conn"`
		State TombstoneState  `json:"state"`
	}
	// StartStream sends a request to the engine or the service.
	StartStream struct {
		ID     fleet.RequestID `json:"id"`
		Target fleet.Target    `json:"target"`
		// NotAfter is when the request must not be sent any more.
		NotAfter time.Time `json:"not-after"`
	}
	// CancelStream ends a request in the engine.
	CancelStream struct {
		ID fleet.RequestID `json:"id"`
	}
	// DropAnswer forgets the kept answer of a request.
	DropAnswer struct {
		ID fleet.RequestID `json:"id"`
	}
	// SendOrder sends an order to the engine, unless NotAfter has passed.
	SendOrder struct {
		Order    fleet.Order `json:"order"`
		NotAfter time.Time   `json:"not-after"`
	}
	// AbandonOrder gives up waiting for the answer to an order, and sends it no
	// more.
	AbandonOrder struct {
		ID fleet.OrderID `json:"id"`
	}
	// AskPermit asks for a place in the fleet-wide order of loads, and keeps
	// asking, or renewing once it is granted, until ReturnPermit.
	AskPermit struct {
		ID       fleet.OrderID `json:"id"`
		Model    fleet.ModelID `json:"model"`
		Urgency  int           `json:"urgency"`
		Deadline time.Time     `json:"deadline"`
		// Expected is how long the load should take.
		Expected time.Duration `json:"expected"`
	}
	// ReturnPermit ends a load; Took is how long it took, 0 when it failed or
	// was not begun.
	ReturnPermit struct {
		ID   fleet.OrderID `json:"id"`
		Took time.Duration `json:"took"`
	}
	// Drained tells that nothing is in progress any more.
	Drained struct{}
)

// AssignAnswer says how far an agent has got with an assignment.
type AssignAnswer string

// The answers to a pushed assignment.
const (
	AssignConfirmed   AssignAnswer = "confirmed"
	AssignReleased    AssignAnswer = "released"
	AssignUnconfirmed AssignAnswer = "unconfirmed"
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
func (AnswerAssign) Kind() string { return "answer-assign" }

// Kind implements event.Effect.
func (AdmitOffer) Kind() string { return "admit-offer" }

// Kind implements event.Effect.
func (RefuseOffer) Kind() string { return "refuse-offer" }

// Kind implements event.Effect.
func (RefuseAnswer) Kind() string { return "refuse-answer" }

// Kind implements event.Effect.
func (AnswerTombstone) Kind() string { return "answer-tombstone" }

// Kind implements event.Effect.
func (StartStream) Kind() string { return "start-stream" }

// Kind implements event.Effect.
func (CancelStream) Kind() string { return "cancel-stream" }

// Kind implements event.Effect.
func (DropAnswer) Kind() string { return "drop-answer" }

// Kind implements event.Effect.
func (SendOrder) Kind() string { return "send-order" }

// Kind implements event.Effect.
func (AbandonOrder) Kind() string { return "abandon-order" }

// Kind implements event.Effect.
func (AskPermit) Kind() string { return "ask-permit" }

// Kind implements event.Effect.
func (ReturnPermit) Kind() string { return "return-permit" }

// Kind implements event.Effect.
func (Drained) Kind() string { return "drained" }
