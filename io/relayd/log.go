package relayd

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"chervilreach/core/relay"
	"chervilreach/io/guard"
)

// end sets the outcome of the request. The last call counts.
func (x *exchange) end(outcome guard.Outcome) {
	x.ended = true
	guard.End(x.w, outcome)
}

// logOutcome sets and logs the outcome of the request.
func (x *exchange) logOutcome(outcome guard.Outcome, reason string) {
	x.end(outcome)
	x.logOutcomeAt(zerolog.InfoLevel, string(outcome), reason)
}

// logOutcomeAt logs the outcome of the request at a level.
func (x *exchange) logOutcomeAt(level zerolog.Level, outcome, reason string) {
	line := x.d.log.WithLevel(level).Str("request", x.request.AttemptID).Str("route", x.route.Name).
		Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Int64("took-ms", time.Since(x.arrivedAt).Milliseconds()).
		Int64("left-ms", time.Until(x.request.Deadline).Milliseconds()).
		Str("outcome", outcome).Str("why", reason)
	x.addResumption(line).Msg("request")
}

// addResumption adds the stream that the request resumes to a log line, if it does.
func (x *exchange) addResumption(line *zerolog.Event) *zerolog.Event {
	if !x.resuming {
		return line
	}
	return line.Str("resumes", x.resumes).Int64("after-event", x.request.LastEvent)
}

// outcomeUnanswered is the outcome of a request whose handler has not ended when the process
// ends.
const outcomeUnanswered = "unanswered"

// MessageOpenAtEnd is the log message with the requests that have no outcome when the process ends.
const MessageOpenAtEnd = "requests without an outcome at the end"

// maxUnansweredIDs bounds the IDs in the last line of a process.
const maxUnansweredIDs = 100

// LogUnanswered logs and counts the requests that have been read and have no outcome, each with a line and
// all with one more, also if there are none. It must be called when the process ends.
func (d *Daemon) LogUnanswered() {
	open := d.guard.Open()
	// The log may drop lines below this level when there are many.
	level := zerolog.WarnLevel
	if len(open) == 0 {
		level = zerolog.InfoLevel
	}
	d.log.WithLevel(level).Int("count", len(open)).Strs("requests", open[:min(len(open), maxUnansweredIDs)]).
		Msg(MessageOpenAtEnd)
	for range open {
		d.meters.countRequest(outcomeUnanswered)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.exchanges {
		x.logOutcomeAt(zerolog.WarnLevel, outcomeUnanswered, string(relay.Stopping))
	}
}

// logSend logs the start of an attempt: the selected endpoint and the inputs of the
// selection.
func (x *exchange) logSend(send relay.Send) {
	line := x.d.log.Info().Str("request", x.request.AttemptID).Str("route", x.route.Name).Int("try", send.Try).
		Str("endpoint", send.Instance).Str("software", send.Software).Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Int("candidates", send.Basis.Candidates).Int64("expected-ms", send.Basis.Cost.Milliseconds()).
		Int("load", send.Basis.Load).Int64("routes", send.Basis.Routes).
		Int64("left-ms", time.Until(send.Deadline).Milliseconds())
	line = x.addResumption(line)
	if send.Basis.Limit > 0 {
		line = line.Float64("limit", send.Basis.Limit)
	}
	if !send.Basis.ReportedAt.IsZero() {
		line = line.Int64("report-age-ms", time.Since(send.Basis.ReportedAt).Milliseconds())
	}
	line.Msg("send")
}

// logAttempt logs and counts the result of an attempt. err is the cause of a failure.
func (x *exchange) logAttempt(send relay.Send, ended relay.AttemptEnded, startedAt time.Time, err error) {
	x.d.meters.countAttempt(ended.Result)
	line := x.d.log.Info().Str("request", x.request.AttemptID).Int("try", send.Try).Str("endpoint", send.Instance).
		Int64("took-ms", time.Since(startedAt).Milliseconds()).
		Int64("left-ms", time.Until(send.Deadline).Milliseconds()).
		Int64("last-event", ended.LastEvent).Str("outcome", string(ended.Result)).Err(err)
	if x.answerStatus != 0 {
		line = line.Int("status", x.answerStatus).AnErr("defect", x.defect)
	}
	if ended.Result == relay.Broken {
		line = line.Bool("head", ended.HeadReceived).Strs("parts", x.partIDs()).Stringer("whole", x.request.Whole)
	}
	if x.limitHeader != "" {
		line = line.Str("limit", x.limitHeader)
	}
	if t := x.timing; t.firstAt.After(startedAt) {
		line = line.Int64("first-event-ms", t.firstAt.Sub(x.arrivedAt).Milliseconds()).Int64("longest-pause-ms", t.longestPause.Milliseconds())
	}
	line.Msg("attempt")
}

// partIDs returns the IDs of the parts of the request's prompt.
func (x *exchange) partIDs() []string {
	return lo.Map(x.request.Prefix, func(p relay.PromptPart, _ int) string { return p.ID })
}

// logWait logs what a queued request waits for.
func (d *Daemon) logWait(eff relay.Wait) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x == nil {
		return
	}
	d.log.Info().Str("request", x.request.AttemptID).Str("route", x.route.Name).
		Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Str("endpoint", eff.Instance).Int64("expected-ms", time.Until(eff.ReadyAt).Milliseconds()).
		Int64("left-ms", time.Until(x.request.Deadline).Milliseconds()).Msg("wait")
}

// logLimitChange logs and counts a change of an endpoint's rate limit. Rates are in requests per
// second; none is logged for no limit.
func (d *Daemon) logLimitChange(eff relay.LimitChanged) {
	line := d.log.Info().Str("endpoint", eff.Endpoint)
	if eff.Before.InForce() {
		line = line.Float64("before", eff.Before.PerSecond).Int64("before-age-ms", time.Since(eff.Before.SeenAt).Milliseconds())
	}
	if eff.Now.InForce() {
		line = line.Float64("now", eff.Now.PerSecond)
	}
	d.meters.countLimitChange(eff)
	if eff.Now.SeenAt.IsZero() {
		line.Msg("limit of endpoint gone with it")
		return
	}
	line.Int64("age-ms", time.Since(eff.Now.SeenAt).Milliseconds()).Str("told-by", eff.Source).Msg("limit of endpoint changed")
}

// logBackoff logs and counts that an endpoint holds the router off, or takes requests again.
func (d *Daemon) logBackoff(eff relay.BackoffChanged) {
	if eff.Until.IsZero() {
		d.log.Info().Str("endpoint", eff.Endpoint).Msg("endpoint takes requests again")
		return
	}
	d.meters.backoffs.Inc(1)
	d.log.Info().Str("endpoint", eff.Endpoint).Int64("for-ms", time.Until(eff.Until).Milliseconds()).Msg("endpoint requested backoff")
}

// logLeaving logs that an endpoint has begun to leave.
func (d *Daemon) logLeaving(eff relay.EndpointLeaving) {
	age := time.Since(eff.ReadAt)
	d.meters.leavingTime.Update(age)
	d.log.Info().Str("endpoint", eff.Endpoint).Str("source", eff.Source).Bool("listed", eff.Listed).
		Int64("age-ms", age.Milliseconds()).Msg("endpoint leaves")
}

// logContradiction logs that an entry of an endpoint is not believed.
func (d *Daemon) logContradiction(eff relay.EntryContradicted) {
	d.log.Warn().Str("endpoint", eff.Known.Instance).Int64("born", eff.Known.Born).
		Str("service", eff.Known.Service).Str("listed-service", eff.Listed.Service).
		Stringer("address", eff.Known.Address).Stringer("listed-address", eff.Listed.Address).
		Str("software", eff.Known.Software).Str("listed-software", eff.Listed.Software).
		Msg("endpoint entry contradicts the incarnation, endpoint not used")
}
