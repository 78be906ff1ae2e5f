package relayd

import (
	"time"

	"github.com/rs/zerolog"

	"chervilreach/core/relay"
)

// log writes how a request ended.
func (x *exchange) logOutcome(outcome, why string) { x.logOutcomeAt(zerolog.InfoLevel, outcome, why) }

func (x *exchange) logOutcomeAt(level zerolog.Level, outcome, why string) {
	x.d.meters.recordOutcome(outcome, x.arrivedAt)
	x.d.log.WithLevel(level).Str("request", x.request.Attempt).Str("route", x.route.Name).
		Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Int64("took-ms", time.Since(x.arrivedAt).Milliseconds()).
		Int64("left-ms", time.Until(x.request.Deadline).Milliseconds()).
		Str("outcome", outcome).Str("why", why).Msg("request")
}

// LogUnanswered writes which requests have no final answer. It is to be called when
// the process ends.
func (d *Daemon) LogUnanswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.exchanges {
		// Lines below this level may be left out.
		x.logOutcomeAt(zerolog.WarnLevel, "unanswered", string(relay.Stopping))
	}
}

// logSend writes which endpoint was chosen and by what.
func (x *exchange) logSend(send relay.Send) {
	e := x.d.log.Info().Str("request", x.request.Attempt).Str("route", x.route.Name).Int("try", send.Try).
		Str("endpoint", send.Instance).Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Int("candidates", send.Basis.Candidates).Int64("expected-ms", send.Basis.Cost.Milliseconds()).
		Int("load", send.Basis.Load).Int64("routes", send.Basis.Routes).
		Int64("left-ms", time.Until(send.Deadline).Milliseconds())
	if !send.Basis.ReportedAt.IsZero() {
		e = e.Int64("report-age-ms", time.Since(send.Basis.ReportedAt).Milliseconds())
	}
	e.Msg("send")
}

// logAttempt writes how an attempt ended.
func (x *exchange) logAttempt(send relay.Send, ended relay.AttemptEnded, began time.Time, err error) {
	x.d.meters.countAttempt(ended.Result)
	x.d.log.Info().Str("request", x.request.Attempt).Int("try", send.Try).Str("endpoint", send.Instance).
		Int64("took-ms", time.Since(began).Milliseconds()).
		Int64("left-ms", time.Until(send.Deadline).Milliseconds()).
		Int64("last-event", ended.LastEvent).Str("outcome", string(ended.Result)).Err(err).Msg("attempt")
}

// logWait writes what a request waits for.
func (d *Daemon) logWait(eff relay.Wait) {
	d.mu.Lock()
	x := d.exchanges[eff.ID]
	d.mu.Unlock()
	if x == nil {
		return
	}
	d.log.Info().Str("request", x.request.Attempt).Str("route", x.route.Name).
		Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Str("endpoint", eff.Instance).Int64("expected-ms", time.Until(eff.ReadyAt).Milliseconds()).
		Int64("left-ms", time.Until(x.request.Deadline).Milliseconds()).Msg("wait")
}
