package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilreach/platform/mock"
)

const (
	// crashesUntilBound is the number of crashes by one prompt part after which requests with the
	// part are bounded: crashBoundDelay later at most maxArrivalsAfterBound of them may reach
	// replicas. A router is excused for crashBoundDelay after a disturbance, too.
	crashesUntilBound     = 5
	crashBoundDelay       = 3 * time.Second
	maxArrivalsAfterBound = 3
	// poisonReason is the body of the refusal of a request whose prompt crashes replicas.
	poisonReason = "prompt-crashes-endpoints"
	// minPoisonTime is the shortest time for which callers send prompts with one deadly part.
	// Random times add less than the same again.
	minPoisonTime = 8 * time.Second
	// minRestartDelay and maxRestartDelay bound the time after which a replica that crashed on a
	// prompt starts again.
	minRestartDelay = time.Second
	maxRestartDelay = 3 * time.Second
	// On average, one of streamsPerDeadly streams has the deadly part.
	streamsPerDeadly = 6
	// prefixCount and sessionCount are the numbers of different parts that the prompts of sound
	// requests have in common: their first parts, and those of sessions.
	prefixCount  = 3
	sessionCount = 20
	// minSoundRatio is the smallest share of the sound streams that must begin beside deadly prompts, of that
	// in calm. It is checked if minSoundStreams were sent.
	minSoundRatio   = 0.5
	minSoundStreams = 20
)

// deadlyPart is a prompt part on which replicas crash. depth is the number of parts before it.
type deadlyPart struct {
	id    string
	depth int
}

// prompt is the prompt of a request, as its header lists it. deadlyPart is the ID of the deadly
// part in it; empty if it has none.
type prompt struct{ text, deadlyPart string }

// setDeadlyPart sets the part that some prompts have from now on; none if its ID is empty.
func (c *callers) setDeadlyPart(p deadlyPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadly = p
}

// pickPrompt returns the prompt of a stream. Its last part is that of the attempt alone.
func (c *callers) pickPrompt(rnd *rand.Rand, attemptID string) prompt {
	c.mu.Lock()
	deadly := c.deadly
	c.mu.Unlock()
	parts := []string{fmt.Sprintf("first%d:40", rnd.IntN(prefixCount)), fmt.Sprintf("session%d:40", rnd.IntN(sessionCount))}
	var p prompt
	if rnd.IntN(streamsPerDeadly) == 0 && deadly.id != "" {
		p.deadlyPart = deadly.id
		parts = slices.Insert(parts, deadly.depth, deadly.id+":40")
	}
	p.text = strings.Join(append(parts, attemptID+":20"), ",")
	return p
}

// poisonPrompts has callers send prompts with one deadly part after the other until ctx is done,
// concurrently with the random faults. It returns when all replicas that crashed had the time to
// start again.
func (h *harness) poisonPrompts(ctx context.Context, rnd *rand.Rand) {
	var ids []string
	for sleep(ctx, faultDuration(rnd)); ctx.Err() == nil; sleep(ctx, faultDuration(rnd)) {
		part := deadlyPart{fmt.Sprintf("deadly%d", len(ids)), rnd.IntN(3)}
		ids = append(ids, part.id)
		for _, r := range h.fleet.replicas {
			delay := minRestartDelay + time.Duration(rnd.IntN(int(maxRestartDelay-minRestartDelay)))
			if within := h.opts.RestartWithin; within > 0 {
				delay = time.Duration(rnd.IntN(int(within)))
			}
			r.SetDeadlyParts(delay, ids...)
		}
		h.callers.setDeadlyPart(part)
		sleep(ctx, minPoisonTime+time.Duration(rnd.IntN(int(minPoisonTime))))
		h.callers.setDeadlyPart(deadlyPart{})
	}
	h.deadlyParts, h.deadlyUntil = ids, time.Now()
	for _, r := range h.fleet.replicas {
		r.SetDeadlyParts(0)
	}
	time.Sleep(maxRestartDelay)
}

// promptCrashes returns the times of the crashes that each deadly part has caused.
func (h *harness) promptCrashes() map[string][]time.Time {
	crashes := make(map[string][]time.Time)
	for _, c := range h.fleet.runLog.Crashes() {
		if c.Part != "" {
			crashes[c.Part] = append(crashes[c.Part], c.At)
		}
	}
	return crashes
}

// checkPrompts reports a violation for each deadly part with which too many requests reached
// replicas, and for each request without one that was refused because of its prompt.
func (h *harness) checkPrompts() {
	sent := make(map[string]outcome)
	for _, o := range h.callers.snapshot() {
		sent[o.attemptID] = o
		if o.wronglyRefused() {
			h.addViolation("%s %s was refused as %s by %s, without a deadly part", o.path, o.attemptID, poisonReason, o.router)
		}
	}
	crashes, arrivals := h.promptCrashes(), h.fleet.runLog.Arrivals()
	for _, part := range h.deadlyParts {
		late := lateArrivals(part, crashes[part], arrivals)
		late = slices.DeleteFunc(late, func(a mock.Arrival) bool {
			return a.At.After(h.deadlyUntil) || h.isExcused(sent[a.AttemptID], a, bound(crashes[part]))
		})
		if len(late) > maxArrivalsAfterBound {
			h.addViolation("%d requests with %s reached replicas later than %s after crash %d of %d; %d are allowed; first and last: %s at %s, %s at %s",
				len(late), part, crashBoundDelay, crashesUntilBound, len(crashes[part]), maxArrivalsAfterBound,
				late[0].AttemptID, late[0].Instance, late[len(late)-1].AttemptID, late[len(late)-1].Instance)
		}
	}
}

// soundCounts are the numbers of streams without a deadly part that were sent, and of those whose answers began:
// in calm before the first crash by a deadly part, and between the bound for a part and its end.
type soundCounts struct {
	CalmSent     int `json:"calm-sent"`
	CalmBegun    int `json:"calm-begun"`
	TaintedSent  int `json:"tainted-sent"`
	TaintedBegun int `json:"tainted-begun"`
}

// countSound counts the streams without a deadly part.
func (h *harness) countSound() soundCounts {
	calmUntil, taintedFrom := h.deadlyUntil, h.deadlyUntil
	for _, crashes := range h.promptCrashes() {
		if crashes[0].Before(calmUntil) {
			calmUntil = crashes[0]
		}
		if at := bound(crashes); !at.IsZero() && at.Before(taintedFrom) {
			taintedFrom = at
		}
	}
	var n soundCounts
	for _, o := range h.callers.snapshot() {
		if !o.isStream() || o.deadlyPart != "" || o.resumed != nil {
			continue
		}
		begun := 0
		if o.status == http.StatusOK {
			begun = 1
		}
		switch {
		case o.endedAt.Before(calmUntil):
			n.CalmSent, n.CalmBegun = n.CalmSent+1, n.CalmBegun+begun
		case o.sentAt.After(taintedFrom) && o.sentAt.Before(h.deadlyUntil):
			n.TaintedSent, n.TaintedBegun = n.TaintedSent+1, n.TaintedBegun+begun
		}
	}
	return n
}

// checkSound reports a violation if streams without a deadly part began far less often beside deadly ones than
// in calm.
func (h *harness) checkSound() {
	n := h.countSound()
	if n.TaintedSent < minSoundStreams || n.CalmSent == 0 {
		return
	}
	calm, tainted := float64(n.CalmBegun)/float64(n.CalmSent), float64(n.TaintedBegun)/float64(n.TaintedSent)
	if tainted < minSoundRatio*calm {
		h.addViolation("%d of %d sound streams began beside deadly prompts, %d of %d before", n.TaintedBegun, n.TaintedSent, n.CalmBegun, n.CalmSent)
	}
}

// isExcused reports whether the arrival of a request does not count: its router was disturbed, or
// it was sent before the bound and the link to the replica, or its silence, may have delayed it.
func (h *harness) isExcused(o outcome, a mock.Arrival, bound time.Time) bool {
	if h.fleet.router(o.router).disturbedBetween(a.At.Add(-crashBoundDelay), a.At) {
		return true
	}
	return o.sentAt.Before(bound) && (h.pausedBetween(a.Instance, o.sentAt, a.At) || slices.ContainsFunc(h.fleet.replicas, func(r *replica) bool {
		return r.Addr() == a.Addr && r.linkFaultBetween(o.sentAt, a.At)
	}))
}

// bound returns the time after which requests with the part that caused the crashes are bounded;
// zero if it has caused too few. The crashes are in order of time.
func bound(crashes []time.Time) time.Time {
	if len(crashes) < crashesUntilBound {
		return time.Time{}
	}
	return crashes[crashesUntilBound-1].Add(crashBoundDelay)
}

// lateArrivals returns the arrivals of requests with the part after the bound. crashes are the
// times of the crashes that it has caused.
func lateArrivals(part string, crashes []time.Time, arrivals []mock.Arrival) []mock.Arrival {
	after := bound(crashes)
	var late []mock.Arrival
	for _, a := range arrivals {
		if !after.IsZero() && a.HasSharedPart(part) && a.At.After(after) {
			late = append(late, a)
		}
	}
	return late
}

// wronglyRefused reports whether the request was refused because of its prompt and had no deadly
// part.
func (o *outcome) wronglyRefused() bool {
	return o.deadlyPart == "" && o.status == http.StatusServiceUnavailable && strings.Contains(o.body, poisonReason)
}
