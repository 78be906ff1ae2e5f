package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/core/timer"
)

// Bounds of the journal.
const (
	// journalKeep is how long a finished request with an idempotency key stays
	// known, at least.
	keyedRetention = 10 * time.Minute
	// journalSlack is how long others stay known after their deadline, or after
	// their end when that is later. A router never repeats a request after its
	// deadline.
	deadlineRetention = time.Minute
	// journalLimit is the most requests known at once. At the limit new
	// requests are refused rather than old ones forgotten too early.
	maxJournaled = 20_000
	// tombstoneLimit is the most requests known with those that were refused,
	// so that refusals leave room for requests.
	maxWithTombstones = 2 * maxJournaled
	// ranLimit is the most forgotten requests with an idempotency key of which
	// it stays known that they ran.
	maxRanHashes = 200_000
)

// phase is how far a request has got.
type phase int

const (
	phaseQueued phase = iota
	phaseStarted
	phaseDone
	phaseFailed
	phaseTombstoned
)

// request is one journaled request.
type request struct {
	offer       Offer
	phase       phase
	streamBegun bool
	// refusal is the final answer of a failed or tombstoned request.
	refusal fleet.Refusal
	// startedAt is when the engine was asked.
	startedAt time.Time
}

// journal knows every request that has reached this incarnation of the agent.
type journal struct {
	requests map[fleet.RequestID]*request
	// expiry says when finished requests are forgotten.
	expiry *timer.Queue[fleet.RequestID]
	// ran holds the hashes of the IDs of forgotten requests that ran, and
	// ranOrder the same in the order of forgetting.
	ranHashes    map[uint64]struct{}
	ranHashOrder []uint64
}

func newJournal() journal {
	return journal{
		requests:  make(map[fleet.RequestID]*request),
		expiry:    timer.New[fleet.RequestID](),
		ranHashes: make(map[uint64]struct{}),
	}
}

// full says that no further request can be journaled.
func (j *journal) full() bool { return len(j.requests) >= maxJournaled }

// fullOfTombstones says that no further refused request can be journaled.
func (j *journal) tombstonesFull() bool { return len(j.requests) >= maxWithTombstones }

// finish moves a request to a final phase.
func (j *journal) finish(now time.Time, r *request, p phase) {
	r.phase = p
	forget := now.Add(deadlineRetention)
	if late := r.offer.Deadline.Add(deadlineRetention); late.After(forget) {
		forget = late
	}
	if keep := now.Add(keyedRetention); r.offer.Keep && keep.After(forget) {
		forget = keep
	}
	j.expiry.Set(r.offer.ID, forget)
}

// expire forgets requests that finished long ago and returns them.
func (j *journal) expire(now time.Time) []fleet.RequestID {
	var gone []fleet.RequestID
	for {
		id, ok := j.expiry.Due(now)
		if !ok {
			return gone
		}
		if r := j.requests[id]; r.offer.Keep && r.mayHaveRun() {
			j.recordRan(id)
		}
		delete(j.requests, id)
		gone = append(gone, id)
	}
}

// remember keeps in mind that a request ran whose answer is forgotten.
func (j *journal) recordRan(id fleet.RequestID) {
	if len(j.ranHashOrder) >= maxRanHashes {
		delete(j.ranHashes, j.ranHashOrder[0])
		j.ranHashOrder = j.ranHashOrder[1:]
	}
	hash := xxhash.Sum64String(string(id))
	j.ranHashes[hash] = struct{}{}
	j.ranHashOrder = append(j.ranHashOrder, hash)
}

// forgotten says that a request ran and has been forgotten.
func (j *journal) ranAndExpired(id fleet.RequestID) bool {
	_, ok := j.ranHashes[xxhash.Sum64String(string(id))]
	return ok
}

// mayHaveRun says that a finished request ran, or may have.
func (r *request) mayHaveRun() bool {
	return r.phase == phaseDone || r.refusal.NotRun != fleet.NotRunTrue
}
