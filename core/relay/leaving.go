package relay

import "time"

// Several sources tell whether an endpoint leaves. Each has its own word, which only a later word of the
// same source or a new incarnation replaces: a list read before an agent's report or an answer, or one whose
// entry does not change until the endpoint is gone, makes no endpoint ready that says that it leaves.

// replacedTimeout is how long an entry may outlive its endpoint whose address another instance has: the
// lifetime of its lease. One that is listed for longer is alive.
const replacedTimeout = 4 * time.Second

// leavingWords is what each source but the endpoint itself says (see selfStatus).
type leavingWords struct {
	// listed is the word of the list, agent the one of the agent's last report.
	listed, agent bool
	// replacedAt is the time at which another instance answered at the address; zero if none did.
	replacedAt time.Time
}

// deriveLeaving updates Leaving after a new word.
func (e *endpoint) deriveLeaving() {
	e.Leaving = e.leaving.listed || e.leaving.agent || e.self.leaving || !e.leaving.replacedAt.IsZero()
}

// outliveReplacement takes the endpoint for alive again if a list read at readAt has it still, long after
// another instance answered at its address.
func (e *endpoint) outliveReplacement(readAt time.Time) {
	if !e.leaving.replacedAt.IsZero() && readAt.Sub(e.leaving.replacedAt) >= replacedTimeout {
		e.leaving.replacedAt = time.Time{}
		e.deriveLeaving()
	}
}
