package swap

import (
	"time"

	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Engine is what an endpoint says of itself.
type Engine struct {
	// Born tells incarnations of one instance apart.
	Born int64
	// Busy says that an order on a model is carried out.
	Busy bool
	// Sequence counts the orders that the endpoint has taken.
	Sequence int64
	// Coming are adapters on their way.
	Coming []stock.Item
	// Report has no loads; those are the agent's to tell.
	Report stock.Report
}

// Restarted says whether an endpoint has started again between two observations:
// it counts orders from 0 again, or has lost what it held without an order.
func Restarted(last, now Engine) bool {
	if now.Born != last.Born || now.Sequence < last.Sequence {
		return true
	}
	return now.Sequence == last.Sequence && len(now.Report.Models) < len(last.Report.Models) && !last.Busy
}

// Observed brings what the endpoint has said of itself.
type Observed struct {
	// AskedAt is when it was asked.
	AskedAt time.Time
	Engine  Engine
}

// Kind implements event.Event.
func (Observed) Kind() string { return "swap-observed" }

// Routine implements event.Routine.
func (Observed) Routine() {}

// Unobserved tells that the endpoint did not answer.
type Unobserved struct {
	Reason string
}

// Kind implements event.Event.
func (Unobserved) Kind() string { return "swap-unobserved" }

// Routine implements event.Routine.
func (Unobserved) Routine() {}

// Demanded brings all that a router asks for.
type Demanded struct {
	Router uint64
	Demand stock.Demand
}

// Kind implements event.Event.
func (Demanded) Kind() string { return "swap-demanded" }

// Routine implements event.Routine.
func (Demanded) Routine() {}

// Joined tells that a router has connected.
type Joined struct {
	Router uint64
}

// Kind implements event.Event.
func (Joined) Kind() string { return "swap-joined" }

// Left tells that a router's connection has ended.
type Left struct {
	Router uint64
}

// Kind implements event.Event.
func (Left) Kind() string { return "swap-left" }

// Answer is how an endpoint has answered an order.
type Answer string

// Answers to orders.
const (
	// Accepted: the order is carried out.
	Accepted Answer = "accepted"
	// Holds: what was ordered was so already, or is so now.
	Holds Answer = "holds"
	// Conflict: another order is carried out, or the sequence is another one.
	Conflict Answer = "conflict"
	// Denied: the endpoint won't take the order.
	Denied Answer = "denied"
	// Silent: there was no answer; the order may be carried out yet.
	Silent Answer = "silent"
)

// Ordered brings the answer to an order.
type Ordered struct {
	Number uint64
	Answer Answer
}

// Kind implements event.Event.
func (Ordered) Kind() string { return "swap-ordered" }

// Adopted tells what the endpoint's engine can hold.
type Adopted struct {
	Engine *route.Engine
}

// Kind implements event.Event.
func (Adopted) Kind() string { return "swap-adopted" }

// Fenced brings the fencing number of this agent, higher than that of any agent
// before it.
type Fenced struct {
	Token int64
}

// Kind implements event.Event.
func (Fenced) Kind() string { return "swap-fenced" }

// Operation is what an order does.
type Operation string

// Operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order is to be sent to the endpoint.
type Order struct {
	Number    uint64
	Operation Operation
	Item      stock.Item
	// Instance and Sequence must be the endpoint's, else it refuses.
	Instance string
	Sequence int64
	Token    int64
}

// Kind implements event.Effect.
func (Order) Kind() string { return "swap-order" }

// Poll asks the endpoint what it holds.
type Poll struct{}

// Kind implements event.Effect.
func (Poll) Kind() string { return "swap-poll" }

// Routine implements event.Routine.
func (Poll) Routine() {}

// Publish tells all routers the endpoint's state.
type Publish struct {
	Report stock.Report
}

// Kind implements event.Effect.
func (Publish) Kind() string { return "swap-publish" }

// Routine implements event.Routine.
func (Publish) Routine() {}
