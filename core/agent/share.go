package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// addQueued counts a request that begins or ends to wait; n is 1 or -1.
func (s *State) countQueued(r *request, n int) {
	s.queued += n
	s.queuedBytes += fleet.Bytes(n) * r.offer.Size
	s.queuedByMember[r.offer.Member] += n
	if s.queuedByMember[r.offer.Member] == 0 {
		delete(s.queuedByMember, r.offer.Member)
	}
}

// makePlace says whether another request may wait. In a full queue it takes
// the place of one of the member that has most there, so that no member's
// burst keeps the others out.
func (s *State) ensureQueueRoom(now time.Time, o Offer) bool {
	if s.opt.MaxQueuedBytes > 0 && s.queuedBytes+o.Size > s.opt.MaxQueuedBytes {
		return false
	}
	if s.queued < s.opt.MaxQueued {
		return true
	}
	member, most := s.mostQueuedMember()
	if member == o.Member || most <= s.queuedByMember[o.Member]+1 {
		return false
	}
	s.count("displaced")
	s.dequeueAndRefuse(now, s.leastUrgent(member), notRunRefusal(fleet.CodeOverloaded,
		"the endpoint's queue is full and others have fewer requests in it", now.Add(retryDelay)))
	return true
}

// greediest returns the member with the most requests in the queue.
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

// leastUrgent returns the request of a member that can best come back later:
// the least urgent, then the one with the latest deadline.
func (s *State) leastUrgent(member fleet.MemberID) *request {
	var least *request
	for _, rep := range s.replicas() {
		for _, r := range rep.queue.requests {
			if r.offer.Member == member && (least == nil || lessUrgent(r, least)) {
				least = r
			}
		}
	}
	return least
}

func lessUrgent(a, b *request) bool {
	if a.offer.Urgency != b.offer.Urgency {
		return a.offer.Urgency < b.offer.Urgency
	}
	return a.offer.Deadline.After(b.offer.Deadline)
}
