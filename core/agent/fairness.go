package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// updateQueueTotals updates the queue totals for a request that enters (n = 1) or leaves (n = -1)
// a queue.
func (s *State) updateQueueTotals(r *request, n int) {
	s.queuedRequests += n
	s.queuedBytes += fleet.Bytes(n) * r.offer.Size
	s.queuedByMember[r.offer.Member] += n
	if s.queuedByMember[r.offer.Member] == 0 {
		delete(s.queuedByMember, r.offer.Member)
	}
}

// ensureQueueRoom reports whether the offer may be queued. If the maximum number of
// requests is queued, it makes room by refusing a request of the member with the most
// queued requests, so that a burst of one member does not lock the others out.
func (s *State) ensureQueueRoom(now time.Time, o Offer) bool {
	if s.opt.MaxQueuedBytes > 0 && s.queuedBytes+o.Size > s.opt.MaxQueuedBytes {
		return false
	}
	if s.queuedRequests < s.opt.MaxQueued {
		return true
	}
	member, most := s.mostQueuedMember()
	if member == o.Member || most <= s.queuedByMember[o.Member]+1 {
		return false
	}
	s.count("displaced")
	s.dequeueAndRefuse(now, s.leastUrgentRequest(member), notRunRefusal(fleet.CodeOverloaded,
		"the endpoint's queue is full and others have fewer requests in it", now.Add(retryDelay)))
	return true
}

// mostQueuedMember returns the member with the most queued requests and their number.
func (s *State) mostQueuedMember() (fleet.MemberID, int) {
	var member fleet.MemberID
	most := 0
	for m, n := range s.queuedByMember {
		if n > most || (n == most && m < member) {
			member, most = m, n
		}
	}
	return member, most
}

// leastUrgentRequest returns the queued request of a member that can best be retried later: the
// least urgent one or, among equally urgent ones, the one with the latest deadline.
func (s *State) leastUrgentRequest(member fleet.MemberID) *request {
	var leastUrgent *request
	for _, rep := range s.replicas() {
		for _, r := range rep.queue.requests {
			if r.offer.Member == member && (leastUrgent == nil || lessUrgent(r, leastUrgent)) {
				leastUrgent = r
			}
		}
	}
	return leastUrgent
}

func lessUrgent(a, b *request) bool {
	if a.offer.Urgency != b.offer.Urgency {
		return a.offer.Urgency < b.offer.Urgency
	}
	return a.offer.Deadline.After(b.offer.Deadline)
}
