package replay

import (
	"fmt"
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/trace"
)

// request is one request of the trace and its progress.
type request struct {
	id      fleet.RequestID
	arrival trace.Arrival
	// cold reports whether the request counts as cold; see Result.
	cold bool
	// arrivedAt is the arrival time and deadline the time by which the first token must arrive.
	arrivedAt  time.Time
	deadline   time.Time
	urgency    int
	idempotent bool
	// attempt is the number of the latest offer to an agent.
	attempt uint32
	// excluded lists the endpoints that refused the request.
	excluded []fleet.EndpointID
	// waitedForLoad is set once the request was offered to an endpoint where the model was not
	// warm.
	waitedForLoad bool
	// ended is set once the request was answered or refused.
	ended bool
	// refused is set if the request ended without an answer.
	refused bool
}

// route offers a request to the assigned endpoint that is expected to answer first. If no
// endpoint is left, the request is refused with reason, the code of the last refusal.
func (r *run) route(req *request, reason fleet.Code) {
	var best *node
	var bestAt time.Time
	for _, e := range r.placements[req.arrival.Model].Entries {
		n := r.byHost[e.Host]
		if e.State != place.StateAssigned || n == nil || n.hostLost || slices.Contains(req.excluded, e.Endpoint) {
			continue
		}
		if at := n.expectedAnswerAt(req.arrival.Model, n.agent.Report(r.now)); best == nil || at.Before(bestAt) {
			best, bestAt = n, at
		}
	}
	if best == nil {
		r.refuse(req, reason)
		return
	}
	best.offer(req)
}

// answer ends a request when its first token arrives and records the time to first token.
func (r *run) answer(req *request) {
	if req.refused {
		// The caller has already been sent the refusal; the answer is dropped.
		r.result.LateAnswers++
		return
	}
	if req.ended {
		r.result.recordViolation(fmt.Sprintf("second answer to a request for %s", req.arrival.Model))
		return
	}
	req.ended = true
	r.endedRequests++
	if r.now.After(req.deadline) {
		r.result.recordViolation(fmt.Sprintf("answer for %s %v after its patience", req.arrival.Model, r.now.Sub(req.deadline)))
	}
	took := r.now.Sub(req.arrivedAt)
	if req.cold {
		r.coldLatencies = append(r.coldLatencies, took)
	}
	if req.waitedForLoad {
		r.waitedLatencies = append(r.waitedLatencies, took)
	}
}

// refuse ends a request without an answer, unless it has ended already. A cold request
// counts with its whole patience as its latency.
func (r *run) refuse(req *request, reason fleet.Code) {
	if req.ended {
		return
	}
	req.ended, req.refused = true, true
	r.endedRequests++
	r.result.RefusedRequests++
	r.result.countRefusal(reason)
	if r.now.After(req.deadline) {
		r.result.recordViolation(fmt.Sprintf("refusal for %s after its patience", req.arrival.Model))
	}
	if req.cold {
		r.coldLatencies = append(r.coldLatencies, req.deadline.Sub(req.arrivedAt))
	}
}
