package swap

import (
	"chervilreach/core/event"
	"chervilreach/core/poison"
)

// CrashesReported carries what a router knows of recent crashes of endpoints of the agent's service.
type CrashesReported struct {
	Crashes []poison.Crash
}

// Kind implements event.Event.
func (CrashesReported) Kind() string { return "swap-crashes" }

// PartsAnswered reports that endpoints have answered requests with these prompt parts.
type PartsAnswered struct {
	Parts []poison.Part
}

// Kind implements event.Event.
func (PartsAnswered) Kind() string { return "swap-parts-answered" }

// VerdictsReported carries verdicts that a router has from other agents.
type VerdictsReported struct {
	Verdicts []poison.Verdict
}

// Kind implements event.Event.
func (VerdictsReported) Kind() string { return "swap-verdicts" }

// PartAcquitted reports that an operator lifts the conviction of a prompt part.
type PartAcquitted struct {
	Part poison.Part
}

// Kind implements event.Event.
func (PartAcquitted) Kind() string { return "swap-part-acquitted" }

// PartConvicted reports a new conviction, for the log.
type PartConvicted struct {
	Verdict poison.Verdict
}

// Kind implements event.Effect.
func (PartConvicted) Kind() string { return "swap-part-convicted" }

// judgeParts decides on the prompt parts that crash endpoints.
func (s *State) judgeParts() {
	convicted, next := s.judge.Decide(s.now)
	for _, v := range convicted {
		s.emit(event.Count{Name: "swap.parts-convicted", N: 1})
		s.emit(PartConvicted{Verdict: v})
	}
	if !next.IsZero() {
		s.wakeAt(next)
	}
}
