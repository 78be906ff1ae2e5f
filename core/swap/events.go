package swap

import (
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Snapshot is the state that an endpoint reports when it is polled.
type Snapshot struct {
	// Born is the number that the endpoint reports for its current incarnation. It changes
	// when the endpoint restarts under the same instance name; 0 if unknown.
	Born int64
	// Busy reports whether the endpoint is loading or unloading a model. It refuses all
	// other orders meanwhile. Loads of adapters don't count.
	Busy bool
	// Sequence is the number of orders that the endpoint has accepted since it started.
	Sequence int64
	// Coming holds the adapters that the endpoint is loading and that can't serve requests
	// yet, each with its model. A load of a model is reported by Busy instead.
	Coming []stock.Item
	// Report describes the endpoint to routers. Its Loads and Routers are empty here;
	// the agent fills them in.
	Report stock.Report
}

// Restarted reports whether the endpoint restarted between the snapshots last and now:
// its incarnation changed, its order count dropped, or models disappeared although no
// order was accepted or in progress.
func Restarted(last, now Snapshot) bool {
	if now.Born != last.Born || now.Sequence < last.Sequence {
		return true
	}
	return now.Sequence == last.Sequence && len(now.Report.Models) < len(last.Report.Models) && !last.Busy
}

// Observed carries the endpoint's answer to a Poll.
type Observed struct {
	// AskedAt is when the Poll was sent. The snapshot is ignored if one from a later Poll
	// is already known.
	AskedAt time.Time
	// Engine is the answer: a snapshot of the endpoint and its engine.
	Engine Snapshot
}

// Kind implements event.Event.
func (Observed) Kind() string { return "swap-observed" }

// Routine implements event.Routine.
func (Observed) Routine() {}

// ObserveFailed reports that a Poll failed or timed out. No orders are issued until
// the next Observed.
type ObserveFailed struct {
	// Reason is the text of the error.
	Reason string
	// Refused reports whether the endpoint's host refused the connection, which means that the
	// endpoint's process has ended.
	Refused bool
}

// Kind implements event.Event.
func (ObserveFailed) Kind() string { return "swap-unobserved" }

// Routine implements event.Routine.
func (ObserveFailed) Routine() {}

// DemandReceived carries the current demand of a router. It replaces the router's
// earlier demand.
type DemandReceived struct {
	Router uint64
	Demand stock.Demand
}

// Kind implements event.Event.
func (DemandReceived) Kind() string { return "swap-demanded" }

// Routine implements event.Routine.
func (DemandReceived) Routine() {}

// RouterConnected reports that a router has connected.
type RouterConnected struct {
	// Router identifies the connection in all events about it.
	Router uint64
}

// Kind implements event.Event.
func (RouterConnected) Kind() string { return "swap-joined" }

// RouterDisconnected reports that a router's connection has ended. The router's
// demand is dropped.
type RouterDisconnected struct {
	Router uint64
}

// Kind implements event.Event.
func (RouterDisconnected) Kind() string { return "swap-left" }

// Answer is the endpoint's answer to an order.
type Answer string

// Answers to orders.
const (
	// Accepted means that the endpoint has started to execute the order.
	Accepted Answer = "accepted"
	// Applied means that the endpoint is in the state that the order requests: it has
	// executed the order at once, or there was nothing to do.
	Applied Answer = "holds"
	// Conflict means that the endpoint refused the order because another one is in
	// progress or because the order's sequence number does not match.
	Conflict Answer = "conflict"
	// Denied means that the endpoint refused the order for any other reason.
	Denied Answer = "denied"
	// Unanswered means that no answer arrived in time. The endpoint may still execute
	// the order.
	Unanswered Answer = "silent"
)

// OrderAnswered carries the endpoint's answer to an Order.
type OrderAnswered struct {
	// Number is the Order.Number of the answered order.
	Number uint64
	Answer Answer
}

// Kind implements event.Event.
func (OrderAnswered) Kind() string { return "swap-ordered" }

// EngineConfigured carries the capacity of the endpoint's engine from the operator's
// configuration.
type EngineConfigured struct {
	// Engine is nil if the endpoint's service has no models; no orders are issued then.
	Engine *route.Engine
}

// Kind implements event.Event.
func (EngineConfigured) Kind() string { return "swap-adopted" }

// TokenIssued carries this agent's fencing token, which is higher than that of every
// earlier agent of the endpoint. The agent issues no orders until it has one.
type TokenIssued struct {
	Token int64
}

// Kind implements event.Event.
func (TokenIssued) Kind() string { return "swap-fenced" }

// Operation is the action that an order requests.
type Operation string

// Operations of orders.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order asks for an order to be sent to the endpoint. At most one is in flight at a
// time.
type Order struct {
	// Number identifies the order in its OrderAnswered. It counts from 1.
	Number    uint64
	Operation Operation
	Item      stock.Item
	// Instance and Sequence are copied from the snapshot that the order is based on. The
	// endpoint refuses the order if they do not match its own.
	Instance string
	Sequence int64
	// Token is the agent's fencing token.
	Token int64
}

// Kind implements event.Effect.
func (Order) Kind() string { return "swap-order" }

// Poll asks for a snapshot of the endpoint. The result comes back as Observed or
// ObserveFailed.
type Poll struct{}

// Kind implements event.Effect.
func (Poll) Kind() string { return "swap-poll" }

// Routine implements event.Routine.
func (Poll) Routine() {}

// Publish asks for a report on the endpoint to be sent to routers.
type Publish struct {
	Report stock.Report
	// Routers are the connected routers to which the report goes; nil stands for all.
	Routers []uint64
}

// Kind implements event.Effect.
func (Publish) Kind() string { return "swap-publish" }

// Routine implements event.Routine.
func (Publish) Routine() {}
