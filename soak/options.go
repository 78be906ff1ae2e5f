package soak

import "time"

// Options configure a run.
type Options struct {
	// Bin is the path of the program under test.
	Bin string
	// Dir is the existing directory for logs and settings of the processes.
	Dir  string
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	RouterCount   int
	// ModelReplicas is the number of replicas that load models. Each has an agent.
	ModelReplicaCount int
	// Callers is the number of callers that send requests at the same time.
	CallerCount int
	// OnlyPauses leaves out all faults but the pauses of replicas and what they coincide with.
	OnlyPauses bool
	// OnlyPrompts leaves out all faults but prompts on which replicas crash.
	OnlyPrompts bool
	// EntryKept is how long the entry of a replica that crashes stays in the store.
	EntryKept time.Duration
	// RestartWithin is the longest time after which a replica that crashed on a prompt starts again; 0 means
	// maxRestartDelay.
	RestartWithin time.Duration
	// PortsRefuse reports whether the ports of a replica refuse connections while it is down. Otherwise they
	// accept and close them.
	PortsRefuse bool
}

// Report is the result of a run.
type Report struct {
	Seed         uint64         `json:"seed"`
	RequestCount int            `json:"requests"`
	StatusCounts map[int]int    `json:"statuses"`
	FaultCounts  map[string]int `json:"faults"`
	// PromptCrashCounts has the number of crashes by each deadly prompt part.
	PromptCrashCounts map[string]int `json:"prompt-crashes"`
	// SoundCounts are the numbers of streams without a deadly part, in calm and beside deadly ones.
	SoundCounts soundCounts `json:"sound-streams"`
	// LongestGapMS is the longest period in which the process of the harness was not
	// scheduled. A delay shorter than that may be caused by the harness instead of the
	// fleet.
	LongestGapMS int64 `json:"longest-gap-ms"`
	// Violations describe the guarantees that were violated and what was observed.
	Violations []string `json:"broken,omitempty"`
}
