// Package router implements the reducer of a router, the process that runs on an
// entry host. A router accepts requests from callers, chooses endpoints for them
// and retries failed ones. Each router also proposes, for its share of the models,
// which endpoints may load them.
//
// The router belongs to the deployment on hosts with a key-value service, with package
// agent as its counterpart. Package relay is the router of the deployment on the users'
// platform.
//
// Terms of this package:
//   - A call is a request of a caller. The router offers it to the agent of an endpoint.
//   - An exchange is one offer of a call, or one tombstone request for it, with the
//     replies to it. A call has one current exchange; events of earlier ones are stale.
//   - A tombstone request withdraws a call from an agent: the agent guarantees that the
//     request never starts there, or reports that it may have started already.
//   - To reattach is to request the answer again from the agent that has the request. A
//     rerun runs an idempotent call again at another endpoint after its answer has begun.
//   - A claim reserves an idempotency key for one request in the key-value service.
//   - A proposal round computes new placements of the models that this router owns.
package router

import (
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/place"
	"chervilreach/core/record"
)

// Call describes a caller's request as far as the reducer needs it.
type Call struct {
	ID     fleet.RequestID `json:"id"`
	Member fleet.MemberID  `json:"member"`
	Target fleet.Target    `json:"target"`
	// Urgency is the priority among queued requests; higher values go first.
	Urgency int `json:"urgency"`
	// Idempotent is set if the call may be run again when it is unknown whether it ran.
	Idempotent bool `json:"idempotent"`
	// Deadline is when the first chunk of a streamed answer, or the whole of any
	// other answer, must have reached the caller.
	Deadline time.Time `json:"deadline"`
	Stream   bool      `json:"stream"`
	// ClaimKey is the hash of member and Idempotency-Key; empty without a key.
	// BodyHash is the hash of the request that came with the key.
	ClaimKey string `json:"claim,omitempty"`
	BodyHash string `json:"body,omitempty"`
	// PrefixHash is the hash of the beginning of the prompt; 0 for none.
	PrefixHash uint64 `json:"prefix,omitempty"`
}

// ModelLoad is the state of one model at an endpoint as its agent reported it.
type ModelLoad struct {
	Model fleet.ModelID `json:"model"`
	// Stage is one of cold, waiting, loading, warm, unloading and doubtful.
	Stage string `json:"stage"`
	// Queued and Running count requests of all routers.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// ReadyAt is when the model is expected to be loaded; zero if not estimated.
	ReadyAt time.Time `json:"ready-at,omitzero"`
}

// Load is an agent's report about its endpoint and the models there.
type Load struct {
	// Sequence increases with each report of an agent instance.
	Sequence    uint64            `json:"sequence"`
	Instance    fleet.Instance    `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Draining    bool              `json:"draining"`
	MemoryTotal fleet.Bytes       `json:"memory-total"`
	MemoryFree  fleet.Bytes       `json:"memory-free"`
	Models      []ModelLoad       `json:"models,omitempty"`
}

type (
	// HostsListed reports that the platform's host list has been read.
	HostsListed struct {
		List fleet.HostList `json:"list"`
	}
	// ConfigAccepted reports a newer accepted configuration.
	ConfigAccepted struct {
		Config *record.Config `json:"set"`
	}
	// CallArrived reports a new request from a caller.
	CallArrived struct {
		Call Call `json:"call"`
	}
	// CallerDisconnected reports that the caller of a request has disconnected.
	CallerDisconnected struct {
		ID fleet.RequestID `json:"id"`
	}
	// ClaimResolved reports the result of WriteClaim.
	ClaimResolved struct {
		ID     fleet.RequestID `json:"id"`
		Result ClaimResult     `json:"result"`
		// Claim is the stored claim; zero if Result is ClaimUnknown.
		Claim Claim `json:"claim"`
	}
	// OfferSent reports that an offer is about to be written to its connection.
	OfferSent struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
		// Instance is the agent instance at the other end of the connection.
		Instance fleet.Instance `json:"instance"`
	}
	// OfferNotSent reports that an offer was not sent and will not be.
	OfferNotSent struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
	}
	// OfferAcked reports that the agent has admitted the request and has it in its
	// journal.
	OfferAcked struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
		// ExpectedFirstChunkAt is when the agent expects the first chunk.
		ExpectedFirstChunkAt time.Time `json:"expected"`
	}
	// OfferRefused reports that the agent has refused the request.
	OfferRefused struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
		Refusal    fleet.Refusal   `json:"refusal"`
	}
	// AnswerBegan reports that the first chunk has been sent to the caller.
	AnswerBegan struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
	}
	// AnswerEnded reports that the whole answer has been sent to the caller.
	AnswerEnded struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
	}
	// StreamBroke reports that the stream of an offer ended before the answer was
	// complete, or that its connection went silent.
	StreamBroke struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
	}
	// AnswerDiverged reports that a repeated answer differs from the part that the
	// caller has received.
	AnswerDiverged struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
	}
	// TombstoneAnswered reports the result of RequestTombstone. State is the value of an
	// agent.TombstoneState, one of tombstoned, running, done and unknown, or empty if the
	// agent did not answer.
	TombstoneAnswered struct {
		ID         fleet.RequestID `json:"id"`
		ExchangeID uint64          `json:"conn"`
		State      string          `json:"state"`
	}
	// LoadReported reports the load of an endpoint.
	LoadReported struct {
		Endpoint fleet.EndpointID `json:"endpoint"`
		Load     Load             `json:"load"`
	}
	// EndpointLost reports that an endpoint's agent can't be reached.
	EndpointLost struct {
		Endpoint fleet.EndpointID `json:"endpoint"`
	}
	// PlacementRead reports the placement of a model in the key-value service.
	PlacementRead struct {
		Model     fleet.ModelID   `json:"model"`
		Placement place.Placement `json:"placement"`
		// Revision is that of the key; 0 if the key does not exist.
		Revision fleet.Revision `json:"revision"`
		// Failed reports that the placement could not be read or decoded.
		Failed bool `json:"err,omitempty"`
	}
	// PlacementsSynced reports that all placements have been read once.
	PlacementsSynced struct{}
	// PlacementWritten reports the result of WritePlacement.
	PlacementWritten struct {
		Model fleet.ModelID `json:"model"`
		// WriteID is that of the proposed placement.
		WriteID string      `json:"write-id"`
		Result  WriteResult `json:"result"`
		// Revision is the key's new revision; meaningful only for WriteDone.
		Revision fleet.Revision `json:"revision"`
	}
	// AssignmentAnswered reports an agent's answer to PushAssignment. Generation is
	// that of the placement that the agent has read. State is the value of an
	// agent.AssignmentAnswer: confirmed, released, or unconfirmed, which the router
	// ignores.
	AssignmentAnswered struct {
		Endpoint   fleet.EndpointID `json:"endpoint"`
		Model      fleet.ModelID    `json:"model"`
		Generation fleet.Generation `json:"generation"`
		State      string           `json:"state"`
	}
	// PermitRequested reports an agent's request for a load permit, its repetition,
	// or the renewal of a permit.
	PermitRequested struct {
		// StreamID identifies the stream that the request arrived on.
		StreamID uint64         `json:"conn"`
		Request  permit.Request `json:"ask"`
		// Renew reports that the agent already holds the permit.
		Renew bool `json:"renew,omitempty"`
		// Forwarded reports that another router has forwarded the request.
		Forwarded bool `json:"relayed,omitempty"`
	}
	// PermitReturned reports that an agent has returned a permit or withdrawn a
	// permit request.
	PermitReturned struct {
		ID fleet.OrderID `json:"id"`
		// Took is the duration of the load; 0 if it failed or was not started.
		Took time.Duration `json:"took"`
	}
	// DrainRequested starts a graceful shutdown: new calls are refused.
	DrainRequested struct{}
)

// WriteResult is the result of a compare-and-swap in the key-value service.
type WriteResult string

// The results of writes.
const (
	WriteDone WriteResult = "done"
	// WriteConflict means that the key had another revision than expected.
	WriteConflict WriteResult = "conflict"
	// WriteUnknown means that the write may or may not have taken effect.
	WriteUnknown WriteResult = "unknown"
	// WriteUnavailable means that the write failed for another reason, such as a
	// key-value service that can't be reached.
	WriteUnavailable WriteResult = "unavailable"
)

// Kind implements event.Event.
func (HostsListed) Kind() string { return "hosts-listed" }

// Routine implements event.Routine.
func (HostsListed) Routine() {}

// Kind implements event.Event.
func (ConfigAccepted) Kind() string { return "config-accepted" }

// Kind implements event.Event.
func (CallArrived) Kind() string { return "arrived" }

// Kind implements event.Event.
func (CallerDisconnected) Kind() string { return "gone" }

// Kind implements event.Event.
func (ClaimResolved) Kind() string { return "claim-read" }

// Kind implements event.Event.
func (OfferSent) Kind() string { return "sent" }

// Kind implements event.Event.
func (OfferNotSent) Kind() string { return "unsent" }

// Kind implements event.Event.
func (OfferAcked) Kind() string { return "acked" }

// Kind implements event.Event.
func (OfferRefused) Kind() string { return "refused" }

// Kind implements event.Event.
func (AnswerBegan) Kind() string { return "began" }

// Kind implements event.Event.
func (AnswerEnded) Kind() string { return "ended" }

// Kind implements event.Event.
func (StreamBroke) Kind() string { return "broke" }

// Kind implements event.Event.
func (AnswerDiverged) Kind() string { return "diverged" }

// Kind implements event.Event.
func (TombstoneAnswered) Kind() string { return "tombstone-read" }

// Kind implements event.Event.
func (LoadReported) Kind() string { return "load-reported" }

// Routine implements event.Routine.
func (LoadReported) Routine() {}

// Kind implements event.Event.
func (EndpointLost) Kind() string { return "endpoint-lost" }

// Kind implements event.Event.
func (PlacementRead) Kind() string { return "placement-read" }

// Kind implements event.Event.
func (PlacementsSynced) Kind() string { return "placements-synced" }

// Kind implements event.Event.
func (PlacementWritten) Kind() string { return "placement-written" }

// Kind implements event.Event.
func (AssignmentAnswered) Kind() string { return "assign-answered" }

// Kind implements event.Event.
func (PermitRequested) Kind() string { return "permit-asked" }

// Kind implements event.Event.
func (PermitReturned) Kind() string { return "permit-returned" }

// Kind implements event.Event.
func (DrainRequested) Kind() string { return "drain-asked" }

// Events returns a registry of all events of the router, for decoding recorded
// ones.
func Events() *event.Registry {
	return event.NewRegistry(
		HostsListed{}, ConfigAccepted{}, CallArrived{}, CallerDisconnected{}, ClaimResolved{}, OfferSent{}, OfferNotSent{}, OfferAcked{},
		OfferRefused{}, AnswerBegan{}, AnswerEnded{}, StreamBroke{}, AnswerDiverged{}, TombstoneAnswered{}, LoadReported{}, EndpointLost{},
		PlacementRead{}, PlacementsSynced{}, PlacementWritten{}, AssignmentAnswered{},
		PermitRequested{}, PermitReturned{}, DrainRequested{},
	)
}
