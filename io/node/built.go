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

// Errors of replays that callers test with errors.Is.
var (
	// ErrIncomplete says that lines of a process are missing in a record.
	ErrIncomplete = errors.New("record is incomplete")
	// ErrNoHeader says that a record does not tell how a reducer was made.
	ErrNoHeader = errors.New("record does not begin with a header")
)

// Role says which reducer a process runs.
type Role string

// The roles of processes.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Built tells how the reducer of a process was made. It is the header of the
// process's record, so that a replay makes the same one. Times are in
// nanoseconds.
type Built struct {
	Role Role `json:"role"`
	// Process is the name by which a router finds itself on the host list.
	Process    fleet.ProcessID `json:"process,omitempty"`
	HostLag    time.Duration   `json:"host-lag,omitempty"`
	LoadTime   time.Duration   `json:"load-time"`
	IdleTime   time.Duration   `json:"idle-time,omitempty"`
	MaxRunning int             `json:"max-running"`
	// AckMost is the longest that a router waits for an acknowledgement.
	AckMost time.Duration `json:"ack-most,omitempty"`
	// Endpoints is how many an agent assumes to share the weight store.
	Endpoints int `json:"endpoints,omitempty"`
	MaxQueued int `json:"max-queued,omitempty"`
	// MaxQueuedBytes bounds the bodies of requests that wait; 0 for no bound.
	MaxQueuedBytes fleet.Bytes `json:"max-queued-bytes,omitempty"`
}

// Kind implements event.Event.
func (Built) Kind() string { return "built" }

// Routine implements event.Routine.
func (Built) Routine() {}

func builtAgent(in do.Injector) (Built, error) {
	tune := do.MustInvoke[Tuning](in)
	return Built{
		Role:           RoleAgent,
		LoadTime:       tune.LoadTime,
		IdleTime:       tune.IdleTime,
		MaxRunning:     maxRunning,
		Endpoints:      endpoints,
		MaxQueued:      maxQueued,
		MaxQueuedBytes: maxQueuedBytes,
	}, nil
}

func builtRouter(in do.Injector) (Built, error) {
	tune := do.MustInvoke[Tuning](in)
	return Built{
		Role: RoleRouter,
		// Routers find each other on the host list, by their hosts' names.
		Process:    fleet.ProcessID(do.MustInvoke[*config.Config](in).Process.Host),
		HostLag:    tune.HostLag,
		LoadTime:   tune.LoadTime,
		MaxRunning: maxRunning,
		AckMost:    tune.AckMost,
	}, nil
}

func (b Built) agent() *agent.State {
	return agent.New(agent.Options{
		WarmPolicy:     newWarmPolicy(b.IdleTime),
		MaxRunning:     b.MaxRunning,
		Endpoints:      b.Endpoints,
		MaxQueued:      b.MaxQueued,
		MaxQueuedBytes: b.MaxQueuedBytes,
		LoadTime:       b.LoadTime,
	})
}

func (b Built) router() *router.State {
	return router.New(router.Options{
		Process:       b.Process,
		HostLag:       b.HostLag,
		LoadTime:      b.LoadTime,
		MaxRunning:    b.MaxRunning,
		MaxAckTimeout: b.AckMost,
	})
}

// Replayed is the replay of one process of a record.
type Replayed struct {
	Process fleet.ProcessID
	Events  int
	// Err is an event.DifferenceError, an ErrIncomplete, an ErrNoHeader or the
	// error of a line.
	Err error
}

// Replay feeds the events of each recorded process to a reducer made as that of
// the process was, and compares the effects. Processes are in the order of
// their first lines.
func Replay(lines []event.Line) []Replayed {
	byProcess := make(map[string][]event.Line)
	var order []string
	for _, l := range lines {
		if _, ok := byProcess[l.Process]; !ok {
			order = append(order, l.Process)
		}
		byProcess[l.Process] = append(byProcess[l.Process], l)
	}
	replayed := make([]Replayed, 0, len(order))
	for _, process := range order {
		n, err := replayProcess(byProcess[process])
		replayed = append(replayed, Replayed{Process: fleet.ProcessID(process), Events: n, Err: err})
	}
	return replayed
}

func replayProcess(lines []event.Line) (int, error) {
	built, err := readHeader(lines[0])
	if err != nil {
		return 0, err
	}
	lines = lines[1:]
	for i, l := range lines {
		if want := uint64(i) + 1; l.Seq != want {
			return 0, fmt.Errorf("%w: line %d is missing, the next is %d at %s", ErrIncomplete, want, l.Seq, l.At)
		}
	}
	lines = cutLast(lines)
	if built.Role == RoleRouter {
		return event.Replay(built.router(), router.Events(), lines)
	}
	return event.Replay(built.agent(), agent.Events(), lines)
}

func readHeader(l event.Line) (Built, error) {
	if l.Seq != 0 || l.Kind != (Built{}).Kind() {
		return Built{}, ErrNoHeader
	}
	header, err := event.NewRegistry(Built{}).Decode(l)
	if err != nil {
		return Built{}, fmt.Errorf("read header: %w", err)
	}
	built, ok := header.(Built)
	if !ok || built.Role != RoleRouter && built.Role != RoleAgent {
		return Built{}, fmt.Errorf("%w: unknown role %q", ErrNoHeader, built.Role)
	}
	return built, nil
}

// cutLast leaves out the last event with its effects: the record may have been
// read while they were being added.
func cutLast(lines []event.Line) []event.Line {
	for i, l := range slices.Backward(lines) {
		if !l.Effect {
			return lines[:i]
		}
	}
	return lines[:0]
}
