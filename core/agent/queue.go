package agent

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// patientEvery is how often the request with the nearest deadline goes first,
// whatever its urgency, so that urgent requests don't starve patient ones.
const deadlineFirstEvery = 4

// queue holds the requests that wait for one replica.
type queue struct {
	requests []*request
	popCount int
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) push(r *request) { q.requests = append(q.requests, r) }

// pick removes the next request among those that may start: the most urgent,
// then the one whose member has the fewest running, then the nearest deadline.
// Every patientEvery-th pick looks at the deadline only.
func (q *queue) popNext(ready func(*request) bool, running func(fleet.MemberID) int) *request {
	patient := q.popCount%deadlineFirstEvery == deadlineFirstEvery-1
	best := -1
	for i, r := range q.requests {
		if !ready(r) {
			continue
		}
		if best < 0 || before(r, q.requests[best], patient, running) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	q.popCount++
	r := q.requests[best]
	q.requests = slices.Delete(q.requests, best, best+1)
	return r
}

// before says whether a goes before b.
func before(a, b *request, patient bool, running func(fleet.MemberID) int) bool {
	byDeadline := a.offer.Deadline.Compare(b.offer.Deadline)
	if patient {
		return byDeadline < 0
	}
	return cmp.Or(
		cmp.Compare(b.offer.Urgency, a.offer.Urgency),
		cmp.Compare(running(a.offer.Member), running(b.offer.Member)),
		byDeadline,
	) < 0
}

// remove takes a request out of the queue.
func (q *queue) remove(r *request) {
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// drop removes and returns the requests for which the function holds.
func (q *queue) removeWhere(f func(*request) bool) []*request {
	var gone []*request
	q.requests = slices.DeleteFunc(q.requests, func(r *request) bool {
		if !f(r) {
			return false
		}
		gone = append(gone, r)
		return true
	})
	return gone
}

// first returns the highest urgency and the nearest deadline that wait.
func (q *queue) maxUrgencyAndDeadline() (urgency int, deadline time.Time) {
	for i, r := range q.requests {
		if i == 0 || r.offer.Deadline.Before(deadline) {
			deadline = r.offer.Deadline
		}
		if i == 0 || r.offer.Urgency > urgency {
			urgency = r.offer.Urgency
		}
	}
	return urgency, deadline
}
