package agent

import (
	"cmp"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// deadlineFirstEvery is the interval, counted in requests taken from a queue, at which the
// request with the nearest deadline goes first regardless of urgency. It keeps urgent
// requests from starving less urgent ones.
const deadlineFirstEvery = 4

// queue holds the requests that wait for one replica.
type queue struct {
	requests []*request
	popCount int
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) push(r *request) { q.requests = append(q.requests, r) }

// popNext removes and returns the next of the requests for which ready returns true; nil
// if there is none. The most urgent goes first; ties are broken by the fewest running
// requests of the member, then by the nearest deadline. Every deadlineFirstEvery-th call
// that returns a request uses the deadline only.
func (q *queue) popNext(ready func(*request) bool, running func(fleet.MemberID) int) *request {
	deadlineOnly := q.popCount%deadlineFirstEvery == deadlineFirstEvery-1
	best := -1
	for i, r := range q.requests {
		if !ready(r) {
			continue
		}
		if best < 0 || startsBefore(r, q.requests[best], deadlineOnly, running) {
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

// startsBefore reports whether a is to be started before b. If deadlineOnly is set, only their
// deadlines are compared.
func startsBefore(a, b *request, deadlineOnly bool, running func(fleet.MemberID) int) bool {
	byDeadline := a.offer.Deadline.Compare(b.offer.Deadline)
	if deadlineOnly {
		return byDeadline < 0
	}
	return cmp.Or(
		cmp.Compare(b.offer.Urgency, a.offer.Urgency),
		cmp.Compare(running(a.offer.Member), running(b.offer.Member)),
		byDeadline,
	) < 0
}

// remove removes a request from the queue, if it is there.
func (q *queue) remove(r *request) {
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// removeWhere removes and returns the requests for which match returns true.
func (q *queue) removeWhere(match func(*request) bool) []*request {
	var removed []*request
	q.requests = slices.DeleteFunc(q.requests, func(r *request) bool {
		if !match(r) {
			return false
		}
		removed = append(removed, r)
		return true
	})
	return removed
}

// maxUrgencyAndDeadline returns the highest urgency and the nearest deadline of the queued
// requests; zero values if there are none.
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
