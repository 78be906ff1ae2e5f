package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/core/timer"
)

// Limits of the journal.
const (
	// keyedRetention is the minimum time for which a finished request with an idempotency
	// key stays in the journal.
	keyedRetention = 10 * time.Minute
	// deadlineRetention is how long any finished request stays in the journal after its
	// deadline or its end, whichever is later. Routers never repeat a request after its
	// deadline.
	deadlineRetention = time.Minute
	// maxJournaled is the journal size at which new requests are refused, because old
	// entries must not be removed before the end of their retention period.
	maxJournaled = 20_000
	// maxWithTombstones is the journal size at which refused requests are no longer
	// journaled. Between the two limits only tombstones are added, so that requests refused
	// because the journal is full can still be recorded as refused.
	maxWithTombstones = 2 * maxJournaled
	// maxRanHashes limits the requests with an idempotency key that are remembered as
	// having run after their journal entries have expired.
	maxRanHashes = 200_000
)

// phase is the progress of a request.
type phase int

const (
	phaseQueued phase = iota
	phaseStarted
	phaseDone
	phaseFailed
	phaseTombstoned
)

// request is a journaled request.
type request struct {
	offer       Offer
	phase       phase
	answerBegun bool
	// refusal is the final answer to a request in phaseFailed or phaseTombstoned.
	refusal fleet.Refusal
	// startedAt is when the request was sent to the engine or service.
	startedAt time.Time
}

// journal holds every request that this instance of the agent has received, until the
// request's retention period ends.
type journal struct {
	requests map[fleet.RequestID]*request
	// expiry holds the times at which finished requests are removed.
	expiry *timer.Queue[fleet.RequestID]
	// ranHashes holds the hashes of the IDs of expired requests with an idempotency key
	// that ran or may have run; ranHashOrder holds the same hashes, oldest first.
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

// full reports whether the journal accepts no more new requests.
func (j *journal) full() bool { return len(j.requests) >= maxJournaled }

// tombstonesFull reports whether the journal accepts no more tombstones.
func (j *journal) tombstonesFull() bool { return len(j.requests) >= maxWithTombstones }

// finish moves a request to a final phase and schedules its removal.
func (j *journal) finish(now time.Time, r *request, p phase) {
	r.phase = p
	removeAt := now.Add(deadlineRetention)
	if afterDeadline := r.offer.Deadline.Add(deadlineRetention); afterDeadline.After(removeAt) {
		removeAt = afterDeadline
	}
	if keyedUntil := now.Add(keyedRetention); r.offer.KeepAnswer && keyedUntil.After(removeAt) {
		removeAt = keyedUntil
	}
	j.expiry.Set(r.offer.ID, removeAt)
}

// expire removes the requests whose retention period has ended and returns their IDs.
func (j *journal) expire(now time.Time) []fleet.RequestID {
	var expired []fleet.RequestID
	for {
		id, ok := j.expiry.PopDue(now)
		if !ok {
			return expired
		}
		if r := j.requests[id]; r.offer.KeepAnswer && r.mayHaveRun() {
			j.addRanHash(id)
		}
		delete(j.requests, id)
		expired = append(expired, id)
	}
}

// addRanHash stores the hash of the ID of an expired request that ran or may have run. If
// the maximum number of hashes is stored, it drops the oldest one.
func (j *journal) addRanHash(id fleet.RequestID) {
	if len(j.ranHashOrder) >= maxRanHashes {
		delete(j.ranHashes, j.ranHashOrder[0])
		j.ranHashOrder = j.ranHashOrder[1:]
	}
	hash := xxhash.Sum64String(string(id))
	j.ranHashes[hash] = struct{}{}
	j.ranHashOrder = append(j.ranHashOrder, hash)
}

// ranAndExpired reports whether a request ran, or may have run, and has expired.
func (j *journal) ranAndExpired(id fleet.RequestID) bool {
	_, ok := j.ranHashes[xxhash.Sum64String(string(id))]
	return ok
}

// mayHaveRun reports whether a finished request ran or may have run.
func (r *request) mayHaveRun() bool {
	return r.phase == phaseDone || r.refusal.NotRun != fleet.NotRunTrue
}
