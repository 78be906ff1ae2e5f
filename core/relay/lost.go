package relay

import (
	"slices"
	"time"

	"chervilreach/core/poison"
)

// crashSource is how a crash was found, for the log.
type crashSource string

const (
	// foundByAgent: the endpoint's agent reports that it refuses connections.
	foundByAgent crashSource = "agent"
	// foundByRestart: the agent reports another instance.
	foundByRestart crashSource = "agent-restart"
	// foundByPort: its port refuses the connection of a check, foundByRefusal: that of an attempt.
	foundByPort    crashSource = "port"
	foundByRefusal crashSource = "refusal"
	// foundByAnswer: another instance answers at the address.
	foundByAnswer crashSource = "answer"
	// foundByAddress: another endpoint is listed at the address, foundByIncarnation: another incarnation under
	// the name.
	foundByAddress     crashSource = "address"
	foundByIncarnation crashSource = "incarnation"
)

// lossReason is why a lost attempt does not count as a crash of its endpoint, for the log and the
// counters.
type lossReason string

const (
	// lossBrokenOff: the router has broken the attempt off, as its endpoint is no longer listed.
	lossBrokenOff lossReason = "broken-off"
	// lossOfLeaving: the endpoint was leaving.
	lossOfLeaving lossReason = "leaving"
	// lossAfterAnswer: the answer had gone on for answerSettleTime.
	lossAfterAnswer lossReason = "answer-begun"
	// lossWithoutEnd: no source told within crashConfirmTime that the endpoint had ended.
	lossWithoutEnd lossReason = "no-end"
	// lossForgotten: the entry was removed before a source told so.
	lossForgotten lossReason = "entry-removed"
	// lossTooMany: the endpoint had lost maxLostAttempts since.
	lossTooMany lossReason = "too-many"
)

// LossDiscarded reports that an attempt whose connection its endpoint closed does not count as a crash, for the
// log.
type LossDiscarded struct {
	AttemptID, Endpoint string
	LostAt              time.Time
	Suspects            []poison.Suspect
	Reason              lossReason
}

// Kind implements event.Effect.
func (LossDiscarded) Kind() string { return "relay-loss-discarded" }

// discardLost reports lost attempts at an endpoint that do not count as its crash.
func (s *State) discardLost(e *endpoint, reason lossReason, lost ...lostAttempt) {
	for _, a := range lost {
		s.emitCount("losses-discarded." + string(reason))
		s.emit(LossDiscarded{AttemptID: a.attemptID, Endpoint: e.Instance, LostAt: a.lostAt, Suspects: a.suspects, Reason: reason})
	}
}

// discardOldLost forgets the attempts that an endpoint lost too long ago for its crash to have ended them.
func (s *State) discardOldLost(e *endpoint) {
	since := s.now.Add(-crashConfirmTime)
	e.lostAttempts = slices.DeleteFunc(e.lostAttempts, func(a lostAttempt) bool {
		if !a.lostAt.Before(since) {
			return false
		}
		s.discardLost(e, lossWithoutEnd, a)
		return true
	})
}
