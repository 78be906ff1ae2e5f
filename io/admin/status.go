package admin

import (
	"time"

	"github.com/samber/lo"

	"chervilreach/core/fleet"
	"chervilreach/core/poison"
)

// Status is the state of a process as it reports it. Router is set for a router and a
// relay, Agent for an agent. For other processes both are nil.
type Status struct {
	Process fleet.ProcessID     `json:"process"`
	Domain  fleet.FailureDomain `json:"failure-domain"`
	Started time.Time           `json:"started"`
	// Revision is the accepted revision that is in effect in the process. A relay and a
	// swap process report the version of their route table instead.
	Revision fleet.Revision `json:"accepted-revision"`
	Draining bool           `json:"draining,omitempty"`
	// RecordErrors contains the configuration records whose latest version is not in effect.
	RecordErrors []RecordError `json:"record-errors,omitempty"`
	// ConvictedParts are the prompt parts for which requests are refused, sorted by part.
	ConvictedParts []ConvictedPart `json:"convicted-parts,omitempty"`
	Router         *RouterStatus   `json:"router,omitempty"`
	Agent          *AgentStatus    `json:"agent,omitempty"`
	// Endpoint says how the endpoint of a swap process answers it.
	Endpoint *EndpointAnswers `json:"endpoint,omitempty"`
}

// EndpointAnswers says how an endpoint answers the process that orders its loads.
type EndpointAnswers struct {
	// Error is why the last poll failed; it is empty if the endpoint answered.
	Error string `json:"error,omitempty"`
	// ChangedAt is when polls began to fail or to succeed.
	ChangedAt time.Time `json:"changed"`
	// MalformedCount is the number of answers since the start of the process that were malformed.
	MalformedCount int64 `json:"malformed-answers"`
}

// ConvictedPart is a prompt part that crashes endpoints.
type ConvictedPart struct {
	// Part is the text of a poison.Part.
	Part string `json:"part"`
	// CrashCount is the number of crashes on which the conviction is based.
	CrashCount int `json:"crashes"`
	// AgeMs is the age of the conviction in milliseconds.
	AgeMs int64 `json:"age-ms"`
	// Until is the end of the conviction by the clock of the process.
	Until time.Time `json:"until"`
}

// ConvictedParts returns the status of convictions.
func ConvictedParts(now time.Time, convictions []poison.Verdict) []ConvictedPart {
	return lo.Map(convictions, func(v poison.Verdict, _ int) ConvictedPart {
		return ConvictedPart{
			Part: v.Part.String(), CrashCount: v.CrashCount, AgeMs: now.Sub(v.DecidedAt).Milliseconds(), Until: v.ExpiresAt(),
		}
	})
}

// RecordError is a configuration record that was rejected. The version that was accepted before, if
// any, stays in effect.
type RecordError struct {
	Record string `json:"record"`
	// Revision is the revision of the rejected record. InForce is the accepted revision
	// since which the older version is in effect; it is 0 if there is none.
	Revision fleet.Revision `json:"revision"`
	InForce  fleet.Revision `json:"in-force"`
	Detail   string         `json:"detail"`
}

// RouterStatus is the state of a router.
type RouterStatus struct {
	// CallsInProgress is the number of requests in progress.
	CallsInProgress int `json:"calls"`
	// PlacedModels is the number of models that at least one endpoint may load.
	PlacedModels int              `json:"placed"`
	Endpoints    []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is the state of an endpoint as of its last report to the router.
type EndpointStatus struct {
	Endpoint fleet.EndpointID    `json:"endpoint"`
	Domain   fleet.FailureDomain `json:"failure-domain,omitempty"`
	// Host is the state of the endpoint's host in the platform's host list.
	Host fleet.HostState `json:"host,omitempty"`
	// Suspect is set while the router avoids the endpoint because of failures.
	Suspect  bool `json:"suspect,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// Incarnation and Sequence identify the last report of the agent; Sequence is its number
	// within the incarnation.
	Incarnation fleet.Incarnation `json:"incarnation,omitempty"`
	Sequence    uint64            `json:"sequence,omitempty"`
	Models      []ModelStatus     `json:"models,omitempty"`
}

// AgentStatus is the state of an agent and its endpoint.
type AgentStatus struct {
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Memory is the accelerator memory of the endpoint. Reserved is the part of it that
	// is reserved in the agent's ledger.
	Memory          fleet.Bytes   `json:"memory"`
	Reserved        fleet.Bytes   `json:"reserved"`
	QueuedRequests  int           `json:"queued"`
	RunningRequests int           `json:"running"`
	Models          []ModelStatus `json:"models,omitempty"`
}

// ModelStatus is the state of one model on one endpoint.
type ModelStatus struct {
	Model fleet.ModelID   `json:"model"`
	State fleet.LoadState `json:"state"`
	// Why describes to operators in a few words why the model is in this state.
	Why string `json:"why,omitempty"`
	// Since is when the model entered this state. ReadyAt is when its load is expected
	// to end. Both are zero if not known.
	Since           time.Time         `json:"since,omitzero"`
	ReadyAt         time.Time         `json:"ready-at,omitzero"`
	Generation      fleet.Generation  `json:"generation,omitempty"`
	Memory          fleet.Bytes       `json:"memory,omitempty"`
	Adapters        []fleet.AdapterID `json:"adapters,omitempty"`
	QueuedRequests  int               `json:"queued,omitempty"`
	RunningRequests int               `json:"running,omitempty"`
}
