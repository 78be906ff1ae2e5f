package node

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/samber/do/v2"

	"chervilreach/config"
	"chervilreach/core/agent"
	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/core/router"
)

// Errors of Replay, which ReplayResult.Err wraps.
var (
	// ErrIncompleteRecording means that the recording lacks lines of the process.
	ErrIncompleteRecording = errors.New("record is incomplete")
	// ErrNoRecordingHeader means that the recording of the process does not begin with a valid Built
	// header, so that the options of the process's reducer are unknown.
	ErrNoRecordingHeader = errors.New("record does not begin with a header")
)

// Role is the kind of a process. It determines which reducer the process runs.
type Role string

// Roles of processes whose recordings can be replayed.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Built holds the options with which the reducer of a process was built. It is the header of
// the recording of the process's events and effects, so that a replay can create the same
// reducer. Durations are encoded in nanoseconds.
type Built struct {
	Role Role `json:"role"`
	// Process is a router's name on the host list.
	Process fleet.ProcessID `json:"process,omitempty"`
	// HostLag, LoadTime and IdleTime are as in Tuning, after its defaults were applied.
	HostLag  time.Duration `json:"host-lag,omitempty"`
	LoadTime time.Duration `json:"load-time"`
	IdleTime time.Duration `json:"idle-time,omitempty"`
	// MaxRunning is the maximum number of requests that one replica runs concurrently.
	MaxRunning int `json:"max-running"`
	// MaxAckTimeout bounds how long a router waits for an agent to acknowledge an offer; 0
	// means router.DefaultMaxAckTimeout.
	MaxAckTimeout time.Duration `json:"ack-most,omitempty"`
	// Endpoints is the number of endpoints that an agent assumes to share the weight store.
	Endpoints int `json:"endpoints,omitempty"`
	// MaxQueued is the maximum number of requests queued at an agent.
	MaxQueued int `json:"max-queued,omitempty"`
	// MaxQueuedBytes limits the total body size of queued requests; 0 means no limit.
	MaxQueuedBytes fleet.Bytes `json:"max-queued-bytes,omitempty"`
}

// Kind implements event.Event.
func (Built) Kind() string { return "built" }

// Routine implements event.Routine.
func (Built) Routine() {}

// agentRecordingHeader returns the header of an agent's recording.
func agentRecordingHeader(in do.Injector) (Built, error) {
	tune := do.MustInvoke[Tuning](in)
	return Built{
		Role:           RoleAgent,
		LoadTime:       tune.LoadTime,
		IdleTime:       tune.IdleTime,
		MaxRunning:     maxRunningRequests,
		Endpoints:      assumedEndpointCount,
		MaxQueued:      maxQueuedRequests,
		MaxQueuedBytes: maxQueuedBytes,
	}, nil
}

// routerRecordingHeader returns the header of a router's recording.
func routerRecordingHeader(in do.Injector) (Built, error) {
	tune := do.MustInvoke[Tuning](in)
	return Built{
		Role: RoleRouter,
		// Routers find each other on the host list, which contains the names of their hosts.
		Process:       fleet.ProcessID(do.MustInvoke[*config.Config](in).Process.Host),
		HostLag:       tune.HostLag,
		LoadTime:      tune.LoadTime,
		MaxRunning:    maxRunningRequests,
		MaxAckTimeout: tune.MaxAckTimeout,
	}, nil
}

// newAgentState creates the reducer of an agent.
func (b Built) newAgentState() *agent.State {
	return agent.New(agent.Options{
		WarmPolicy:     newWarmPolicy(b.IdleTime),
		MaxRunning:     b.MaxRunning,
		EndpointCount:  b.Endpoints,
		MaxQueued:      b.MaxQueued,
		MaxQueuedBytes: b.MaxQueuedBytes,
		LoadTime:       b.LoadTime,
	})
}

// newRouterState creates the reducer of a router.
func (b Built) newRouterState() *router.State {
	return router.New(router.Options{
		Process:       b.Process,
		HostLag:       b.HostLag,
		LoadTime:      b.LoadTime,
		MaxRunning:    b.MaxRunning,
		MaxAckTimeout: b.MaxAckTimeout,
	})
}

// ReplayResult is the result of the replay of one process.
type ReplayResult struct {
	Process fleet.ProcessID
	// EventCount is the number of recorded events that were applied to the new reducer.
	EventCount int
	// Err is nil if all effects of the replay are equal to the recorded ones. Otherwise it is
	// an *event.DifferenceError, wraps ErrIncompleteRecording or ErrNoRecordingHeader, or is
	// the error of a line that could not be decoded.
	Err error
}

// Replay replays the recording of each process. It applies the recorded events to a new reducer
// that has the options in the process's header, and compares the resulting effects with the
// recorded ones. The last recorded event of a process is not replayed, because its effects
// may be incomplete. The results are in the order of the first lines of the processes.
func Replay(lines []event.Line) []ReplayResult {
	byProcess := make(map[string][]event.Line)
	var order []string
	for _, l := range lines {
		if _, ok := byProcess[l.Process]; !ok {
			order = append(order, l.Process)
		}
		byProcess[l.Process] = append(byProcess[l.Process], l)
	}
	replayed := make([]ReplayResult, 0, len(order))
	for _, process := range order {
		n, err := replayProcess(byProcess[process])
		replayed = append(replayed, ReplayResult{Process: fleet.ProcessID(process), EventCount: n, Err: err})
	}
	return replayed
}

// replayProcess replays the lines of one process and returns the number of events applied.
func replayProcess(lines []event.Line) (int, error) {
	built, err := readHeader(lines[0])
	if err != nil {
		return 0, err
	}
	lines = lines[1:]
	for i, l := range lines {
		if want := uint64(i) + 1; l.Seq != want {
			return 0, fmt.Errorf("%w: line %d is missing, the next is %d at %s", ErrIncompleteRecording, want, l.Seq, l.At)
		}
	}
	lines = dropLastEvent(lines)
	if built.Role == RoleRouter {
		return event.Replay(built.newRouterState(), router.Events(), lines)
	}
	return event.Replay(built.newAgentState(), agent.Events(), lines)
}

// readHeader decodes the header in the first line of a process. The error wraps ErrNoRecordingHeader if
// l is not a header.
func readHeader(l event.Line) (Built, error) {
	if l.Seq != 0 || l.Kind != (Built{}).Kind() {
		return Built{}, ErrNoRecordingHeader
	}
	header, err := event.NewRegistry(Built{}).Decode(l)
	if err != nil {
		return Built{}, fmt.Errorf("read header: %w", err)
	}
	built, ok := header.(Built)
	if !ok || built.Role != RoleRouter && built.Role != RoleAgent {
		return Built{}, fmt.Errorf("%w: unknown role %q", ErrNoRecordingHeader, built.Role)
	}
	return built, nil
}

// dropLastEvent returns the lines without the last event and its effects, because the
// recording may have been read while these effects were being appended.
func dropLastEvent(lines []event.Line) []event.Line {
	for i, l := range slices.Backward(lines) {
		if !l.Effect {
			return lines[:i]
		}
	}
	return lines[:0]
}
