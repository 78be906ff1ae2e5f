package router

import (
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
)

// ClaimState is the progress of the request that holds an idempotency key.
type ClaimState string

// The states of claims.
const (
	// ClaimOpen means that the request may be running or may not have run.
	ClaimOpen ClaimState = "open"
	// ClaimDone means that the request has run and its caller got the answer.
	ClaimDone ClaimState = "done"
)

// Claim is the value that the key-value service holds for an idempotency key. It
// names the request that uses the key and the agent that the request is sent to.
type Claim struct {
	Request fleet.RequestID `json:"request"`
	// BodyHash is Call.BodyHash of the request.
	BodyHash string           `json:"body"`
	Endpoint fleet.EndpointID `json:"endpoint"`
	Instance fleet.Instance   `json:"instance"`
	State    ClaimState       `json:"state"`
	// ClaimedAt is when the claim was made, by the clock of the router that made it.
	ClaimedAt time.Time `json:"at"`
	// Revision is the key's revision when it was read or written; it isn't stored
	// in the value.
	Revision fleet.Revision `json:"-"`
}

// ClaimResult is the result of an attempt to claim an idempotency key.
type ClaimResult string

// The results of claims.
const (
	// ClaimAcquired means that the key is now claimed by the call's own request.
	ClaimAcquired ClaimResult = "taken"
	// ClaimExists means that another request holds the key.
	ClaimExists ClaimResult = "exists"
	// ClaimUnknown means that the key-value service could not be reached, or that
	// its response was lost.
	ClaimUnknown ClaimResult = "unknown"
)

type (
	// WriteClaim stores a claim if the key's revision is still ExpectRevision.
	// ClaimResolved reports the result.
	WriteClaim struct {
		ID    fleet.RequestID `json:"id"`
		Key   string          `json:"key"`
		Claim Claim           `json:"claim"`
		// ExpectRevision is the revision that the key must have; 0 if the key must
		// not exist.
		ExpectRevision fleet.Revision `json:"expect"`
	}
	// FinishClaim stores a claim whose state is ClaimDone. No event reports the
	// result.
	FinishClaim struct {
		Key   string `json:"key"`
		Claim Claim  `json:"claim"`
	}
	// SendOffer sends a request to the agent of an endpoint, which admits or
	// refuses it.
	SendOffer struct {
		ID fleet.RequestID `json:"id"`
		// ExchangeID identifies the offer; all events about the offer have the same
		// ExchangeID. It is unique among the offers and tombstone requests of one router.
		ExchangeID uint64 `json:"conn"`
		// Attempt numbers the call's attempts from 1, each at one endpoint.
		Attempt  uint32           `json:"attempt"`
		Endpoint fleet.EndpointID `json:"endpoint"`
		// AnswerOf is the request whose answer is requested, if an earlier request had the
		// same idempotency key; empty if it is the answer of the call itself.
		AnswerOf fleet.RequestID `json:"answer,omitempty"`
		// AttachOnly requests the answer of a request that the agent already has;
		// the agent must not start the request.
		AttachOnly bool `json:"attach,omitempty"`
		// ExpectInstance is the agent instance that the request was claimed for or
		// first sent to; 0 if there is none yet. Another instance must not start a
		// request that is not idempotent.
		ExpectInstance fleet.Instance `json:"expect,omitempty"`
		// NewConn is set if the offer must be sent on a new connection to the agent.
		NewConn bool `json:"fresh,omitempty"`
		// Rerun requests the answer from its beginning; the part that the caller
		// already has is compared with what was delivered and skipped.
		Rerun bool `json:"rerun,omitempty"`
		// NotAfter is the agent's deadline for the request. The agent is sent the time
		// left until then.
		NotAfter time.Time `json:"not-after"`
	}
	// WithdrawOffer cancels an offer that has not been sent yet. OfferNotSent confirms
	// that it will not be sent; nothing happens if it has been sent already.
	WithdrawOffer struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
	}
	// AnswerPermit sends an agent the state of its permit request, which is waiting
	// while neither Granted nor Refused is set.
	AnswerPermit struct {
		ID       fleet.OrderID `json:"id"`
		StreamID uint64        `json:"conn"`
		Granted  bool          `json:"granted"`
		Refused  bool          `json:"refused"`
	}
	// ForwardPermits forwards a stream of permit requests to To, the router that
	// grants permits.
	ForwardPermits struct {
		StreamID uint64     `json:"conn"`
		To       fleet.Host `json:"to"`
	}
	// CancelOffer notifies the agent that no caller waits for the answer any longer.
	CancelOffer struct {
		ID         fleet.RequestID  `json:"id"`
		ExchangeID uint64           `json:"conn"`
		Endpoint   fleet.EndpointID `json:"endpoint"`
	}
	// RequestTombstone asks the agent to guarantee that a request never starts.
	// TombstoneAnswered reports the result.
	RequestTombstone struct {
		// ID identifies the call, and Request the request that must not start.
		ID             fleet.RequestID  `json:"id"`
		ExchangeID     uint64           `json:"conn"`
		Request        fleet.RequestID  `json:"request"`
		Endpoint       fleet.EndpointID `json:"endpoint"`
		ExpectInstance fleet.Instance   `json:"expect"`
		// NotAfter is when to stop waiting for the agent's answer.
		NotAfter time.Time `json:"not-after"`
	}
	// RefuseCall ends a call with a refusal to its caller.
	RefuseCall struct {
		ID      fleet.RequestID `json:"id"`
		Refusal fleet.Refusal   `json:"refusal"`
	}
	// FinishCall ends a call whose caller has received the whole answer.
	FinishCall struct {
		ID fleet.RequestID `json:"id"`
	}
	// Connect opens a connection to an endpoint's agent and keeps it open.
	Connect struct {
		Host fleet.Host `json:"host"`
	}
	// Disconnect closes the connection to an endpoint's agent.
	Disconnect struct {
		Endpoint fleet.EndpointID `json:"endpoint"`
	}
	// WritePlacement stores a placement if the key's revision is still
	// ExpectRevision. PlacementWritten reports the result.
	WritePlacement struct {
		Placement      place.Placement `json:"placement"`
		ExpectRevision fleet.Revision  `json:"expect"`
	}
	// ReadPlacement reads the placement of a model. PlacementRead reports it.
	ReadPlacement struct {
		Model fleet.ModelID `json:"model"`
	}
	// PushAssignment sends an agent the state of its entry in the placement of a
	// model. AssignmentAnswered reports the agent's answer.
	PushAssignment struct {
		Endpoint   fleet.EndpointID `json:"endpoint"`
		Model      fleet.ModelID    `json:"model"`
		Generation fleet.Generation `json:"generation"`
		State      place.State      `json:"state"`
	}
	// Drained reports that a draining router has no calls in progress.
	Drained struct{}
)

// Kind implements event.Effect.
func (WriteClaim) Kind() string { return "write-claim" }

// Kind implements event.Effect.
func (FinishClaim) Kind() string { return "finish-claim" }

// Kind implements event.Effect.
func (SendOffer) Kind() string { return "send-offer" }

// Kind implements event.Effect.
func (WithdrawOffer) Kind() string { return "withdraw-offer" }

// Kind implements event.Effect.
func (AnswerPermit) Kind() string { return "answer-permit" }

// Kind implements event.Effect.
func (ForwardPermits) Kind() string { return "relay-permit" }

// Kind implements event.Effect.
func (CancelOffer) Kind() string { return "cancel-offer" }

// Kind implements event.Effect.
func (RequestTombstone) Kind() string { return "ask-tombstone" }

// Kind implements event.Effect.
func (RefuseCall) Kind() string { return "refuse-call" }

// Kind implements event.Effect.
func (FinishCall) Kind() string { return "finish-call" }

// Kind implements event.Effect.
func (Connect) Kind() string { return "connect" }

// Kind implements event.Effect.
func (Disconnect) Kind() string { return "disconnect" }

// Kind implements event.Effect.
func (WritePlacement) Kind() string { return "write-placement" }

// Kind implements event.Effect.
func (ReadPlacement) Kind() string { return "read-placement" }

// Kind implements event.Effect.
func (PushAssignment) Kind() string { return "push-assign" }

// Kind implements event.Effect.
func (Drained) Kind() string { return "drained" }
