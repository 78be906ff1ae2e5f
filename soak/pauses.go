package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	"chervilreach/platform/mock"
)

const (
	// minPause and maxPause bound the time for which sound replicas are silent.
	minPause = 500 * time.Millisecond
	maxPause = 2500 * time.Millisecond
	// twiceGrace is how long a run may go on at one replica after the request goes on at another.
	twiceGrace = 400 * time.Millisecond
	// stopAnswerTime is how long after SIGTERM a router must let accepted requests go on.
	stopAnswerTime = 7 * time.Second
	// pauseSlack allows for the way of an answer and of a close.
	pauseSlack = 100 * time.Millisecond
)

// pauses are the kinds of silence of sound replicas.
var pauses = []fault{
	{"replica pauses", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		d := pauseDuration(rnd)
		pick(rnd, h.fleet.replicas).Pause(d)
		sleep(ctx, d)
		return nil
	}},
	{"connection pauses", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		r, d := pick(rnd, h.fleet.replicas), pauseDuration(rnd)
		if ids := r.ActiveRuns(); len(ids) > 0 && r.PauseRun(pick(rnd, ids), d) {
			sleep(ctx, d)
		}
		return nil
	}},
	{"service pauses", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		h.pauseService(ctx, rnd)
		return nil
	}},
	{"service pauses as a router stops", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		router, stopped := pick(rnd, h.fleet.routers), make(chan error, 1)
		go func() { stopped <- router.restart(h.fleet.bin, syscall.SIGTERM, stopTimeout) }()
		sleep(ctx, time.Duration(rnd.Int64N(int64(stopTimeout))))
		h.pauseService(ctx, rnd)
		return <-stopped
	}},
	{"service pauses as routes change", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		time.AfterFunc(time.Duration(rnd.Int64N(int64(minPause))), h.changeRoutes)
		h.pauseService(ctx, rnd)
		return nil
	}},
	{"replica pauses at the end of its drain", func(ctx context.Context, h *harness, rnd *rand.Rand) error {
		r, d := pick(rnd, h.fleet.replicas), pauseDuration(rnd)
		r.faultMu.Lock()
		defer r.faultMu.Unlock()
		r.Drain()
		// A replica that leaves goes on for all of drainServeTime.
		time.Sleep(drainServeTime - d)
		r.Pause(d)
		time.Sleep(d + minPause)
		if err := r.Crash(); err != nil {
			return err
		}
		return r.Start(context.WithoutCancel(ctx))
	}},
}

// pauseDuration returns a random duration of a pause.
func pauseDuration(rnd *rand.Rand) time.Duration {
	return minPause + time.Duration(rnd.Int64N(int64(maxPause-minPause)))
}

// pauseService pauses all replicas of a random service at once, and waits until they go on.
func (h *harness) pauseService(ctx context.Context, rnd *rand.Rand) {
	d := pauseDuration(rnd)
	service := pick(rnd, []string{mock.PlainService, mock.ModelService})
	for _, r := range h.fleet.replicas {
		if r.Service() == service {
			r.Pause(d)
		}
	}
	sleep(ctx, d)
}

// pauseReplicas pauses replicas at random until ctx is done, concurrently with the random faults.
func (h *harness) pauseReplicas(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rnd.Int64N(int64(minPause))))
		h.injectOne(ctx, pauses[rnd.IntN(len(pauses))], rnd)
	}
}

// checkPauses reports a violation for each request whose run was ended or repeated because its replica
// was silent: it must go on there until its answer is whole, and not elsewhere beside it.
func (h *harness) checkPauses() {
	runs := lo.GroupBy(h.fleet.runLog.All(), func(r mock.Run) string { return r.AttemptID })
	pauses := lo.GroupBy(h.fleet.runLog.Pauses(), func(p mock.Pause) string { return p.Instance })
	crashes := lo.SliceToMap(h.fleet.runLog.Crashes(), func(c mock.Crash) (string, time.Time) { return c.Instance, c.At })
	for _, o := range h.callers.snapshot() {
		for _, run := range runs[o.attemptID] {
			p, paused := lo.Find(pauses[run.Instance], func(p mock.Pause) bool { return interrupts(p, run) })
			crashedAt, crashed := crashes[run.Instance]
			if !paused || crashed && !crashedAt.After(o.endedAt.Add(pauseSlack)) || h.hitOtherwise(o, run) {
				continue
			}
			if defect := pauseDefect(o, run, runs[o.attemptID]); defect != "" {
				h.addViolation("%s %s at %s, silent for %s from %s after the start of the run (alone: %t): %s (%s)", o.path, o.attemptID,
					run.Instance, p.Until.Sub(p.From), p.From.Sub(run.StartedAt), p.AttemptID != "", defect, o.router)
			}
		}
	}
}

// interrupts reports whether the replica was silent while it worked on the run.
func interrupts(p mock.Pause, run mock.Run) bool {
	return (p.AttemptID == "" || p.AttemptID == run.AttemptID) && run.StartedAt.Before(p.From) && run.EndedAt.After(p.From)
}

// hitOtherwise reports whether something besides the silence may have ended the request: its deadline,
// the end of its router, or a fault of the link to the replica.
func (h *harness) hitOtherwise(o outcome, run mock.Run) bool {
	if o.endedAt.Sub(o.sentAt) > o.timeout()-pauseSlack || h.fleet.router(o.router).endedBefore(o.endedAt) {
		return true
	}
	return slices.ContainsFunc(h.fleet.replicas, func(r *replica) bool {
		return r.Addr() == run.Addr && r.linkFaultBetween(run.StartedAt.Add(-time.Second), o.endedAt)
	})
}

// pausedBetween reports whether a replica was silent between the times.
func (h *harness) pausedBetween(instance string, from, to time.Time) bool {
	return slices.ContainsFunc(h.fleet.runLog.Pauses(), func(p mock.Pause) bool {
		return p.Instance == instance && p.From.Before(to) && p.Until.After(from)
	})
}

// endedBefore reports whether the program that served a request until the time was killed, or was sent
// SIGTERM longer than stopAnswerTime before.
func (p *process) endedBefore(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Backward(p.lifetimes) {
		if l.startedAt.After(at) {
			continue
		}
		killed := !l.killedAt.IsZero() && l.killedAt.Before(at.Add(pauseSlack))
		return killed || !l.stoppedAt.IsZero() && at.After(l.stoppedAt.Add(stopAnswerTime))
	}
	return true
}

// pauseDefect describes how the request of a run that its replica went on with was ended or repeated
// meanwhile; empty if it was not. A safe request may run elsewhere too, and one whose run has failed may end with that,
// or run elsewhere afterwards.
func pauseDefect(o outcome, run mock.Run, all []mock.Run) string {
	failed := run.Failed && !o.endedAt.Before(run.EndedAt.Add(-pauseSlack))
	if (o.status != http.StatusOK || !o.complete) && (!failed || o.status == 0 || o.err != nil) {
		return fmt.Sprintf("ended after %s with status %d, %d bytes: %v", o.endedAt.Sub(o.sentAt), o.status, len(o.body), o.err)
	}
	if o.path == mock.SafePath {
		return ""
	}
	for _, other := range all {
		if other.StartedAt.After(run.StartedAt) && run.EndedAt.After(other.StartedAt.Add(twiceGrace)) {
			return fmt.Sprintf("went on at %s %s before the run ended", other.Instance, run.EndedAt.Sub(other.StartedAt))
		}
	}
	if !run.Complete && !failed {
		return "was broken off and answered by another replica"
	}
	return ""
}
