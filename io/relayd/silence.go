package relayd

import (
	"fmt"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/relay"
	"chervilreach/core/stock"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// runTimeout bounds the time for an agent's answer on a run. An agent that is asked by many asks its
// endpoint twice at most before it answers.
const runTimeout = 800 * time.Millisecond

// writingRecheck is the time after which a write to the caller is looked at again.
const writingRecheck = 100 * time.Millisecond

// silenceAlarm reports the silence of an attempt. exchange.mu guards it.
type silenceAlarm struct {
	// timer fires at the time at or before it; nil if silence is not reported.
	timer *time.Timer
	at    time.Time
	// heardAt is when the last event was received, or the attempt sent.
	heardAt time.Time
	// count is the number of silences of the request so far, number that of the silence in progress; 0
	// if there is none.
	count, number int
	// writing reports whether a part of the answer is being written to the caller, writingSince is when
	// that began.
	writing      bool
	writingSince time.Time
}

// stop ends the alarm of an attempt.
func (a *silenceAlarm) stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer, a.number = nil, 0
}

// startAlarm reports the attempt as silent at send.FirstBy, unless noteEvent is called before.
func (x *exchange) startAlarm(send relay.Send) {
	if send.FirstBy.IsZero() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silence.at, x.silence.heardAt = send.FirstBy, time.Now()
	x.silence.timer = time.AfterFunc(time.Until(send.FirstBy), func() { x.reportSilence(send.Try) })
}

// reportSilence reports the attempt as silent if it is. It may be called from any goroutine.
func (x *exchange) reportSilence(attemptNumber int) {
	if ev, silent := x.beginSilence(attemptNumber); silent {
		// The loop may wait for x.mu while its queue is full.
		x.d.loop.Post(ev)
	}
}

// beginSilence notes that an attempt is silent. It returns false if the attempt is not.
func (x *exchange) beginSilence(attemptNumber int) (relay.AttemptSilent, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := &x.silence
	if x.conn == nil || x.attemptNumber != attemptNumber || a.timer == nil || a.number != 0 {
		return relay.AttemptSilent{}, false
	}
	left := time.Until(a.at)
	if a.writing {
		// The endpoint is not heard while the caller does not read.
		left = max(left, writingRecheck)
	}
	if left > 0 {
		a.timer.Reset(left)
		return relay.AttemptSilent{}, false
	}
	a.count++
	a.number = a.count
	return relay.AttemptSilent{ID: x.id, Try: attemptNumber, Number: a.number, Since: a.heardAt}, true
}

// setWriting notes that a part of the answer is being written to the caller, or has been.
func (x *exchange) setWriting(writing bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := &x.silence
	now := time.Now()
	if a.writing && !writing {
		// What the endpoint has sent meanwhile has not been read.
		a.at = a.at.Add(now.Sub(a.writingSince))
	}
	a.writing, a.writingSince = writing, now
}

// endAlarm ends the alarm of an attempt whose answer arrives, other than a stream.
func (x *exchange) endAlarm() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silence.stop()
}

// noteEvent notes an event of a stream: it ends a silence and starts the wait for the next event, which
// takes maxGap at most; 0 means no limit.
func (x *exchange) noteEvent(maxGap time.Duration) {
	if number := x.endSilence(maxGap); number != 0 {
		x.d.loop.Post(relay.AttemptResumed{ID: x.id, Number: number})
	}
}

// endSilence notes an event and returns the number of the silence that it ends; 0 if it ends none.
func (x *exchange) endSilence(maxGap time.Duration) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := &x.silence
	if a.timer == nil || x.aborted {
		return 0
	}
	now := time.Now()
	a.heardAt, a.at = now, now.Add(maxGap)
	number := a.number
	if number != 0 {
		a.number = 0
		a.timer.Reset(maxGap)
	}
	return number
}

// doSilence executes an effect that concerns silent attempts. It reports whether the effect is one.
func (x executor) doSilence(eff event.Effect) bool {
	switch eff := eff.(type) {
	case relay.AskRun:
		go x.d.agents.askRun(eff)
	case relay.SilenceJudged:
		x.d.logSilence(eff)
	default:
		return false
	}
	return true
}

// askRun asks an agent for the run of a request and posts the answer.
func (a *agentConns) askRun(eff relay.AskRun) {
	askedAt := time.Now()
	state, err := a.exchangeRun(eff)
	a.d.log.Info().Err(err).Str("request", eff.AttemptID).Str("endpoint", eff.Instance).Str("run", string(state)).
		Int64("took-ms", time.Since(askedAt).Milliseconds()).Msg("run of silent attempt")
	a.d.loop.Post(relay.RunAnswered{ID: eff.ID, Instance: eff.Instance, State: state})
}

// exchangeRun sends an ask for a run and returns the answer; stock.RunUnanswered with an error.
func (a *agentConns) exchangeRun(eff relay.AskRun) (stock.RunState, error) {
	ask := &wirepb.RunAsk{AttemptId: eff.AttemptID}
	s, err := a.send(eff.Instance, &wirepb.Frame{Body: &wirepb.Frame_RunAsk{RunAsk: ask}})
	if err != nil {
		return stock.RunUnanswered, err
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(runTimeout)); err != nil {
		return stock.RunUnanswered, fmt.Errorf("set deadline for the answer: %w", err)
	}
	f, err := s.Recv()
	if err != nil {
		return stock.RunUnanswered, err
	}
	if f.GetRunAnswer() == nil {
		return stock.RunUnanswered, wire.ErrUnexpectedFrame
	}
	return wire.DecodeRunState(f.GetRunAnswer().GetState()), nil
}

// logSilence logs what the router does with a silent attempt.
func (d *Daemon) logSilence(eff relay.SilenceJudged) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x == nil {
		return
	}
	d.log.Info().Str("request", x.request.AttemptID).Str("route", x.route.Name).Str("endpoint", eff.Endpoint).
		Int64("silent-ms", time.Since(eff.Since).Milliseconds()).Str("run", string(eff.Run)).
		Str("decision", string(eff.Decision)).Msg("silent attempt")
}
