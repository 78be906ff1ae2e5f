package relayd

import (
	"time"

	"chervilreach/core/relay"
)

// log writes how a request ended.
func (x *exchange) log(outcome, why string) {
	x.d.log.Info().Str("request", x.request.Attempt).Str("route", x.route.Name).
		Str("model", x.request.Item.Model).Str("adapter", x.request.Item.Adapter).
		Int64("left-ms", time.Until(x.request.Deadline).Milliseconds()).
		Str("outcome", outcome).Str("why", why).Msg("request")
}

// logAttempt writes how an attempt ended.
func (x *exchange) logAttempt(send relay.Send, ended relay.Ended, began time.Time, err error) {
	x.d.log.Info().Str("request", x.request.Attempt).Str("route", x.route.Name).Int("try", send.Try).
		Str("endpoint", send.Instance).Str("model", x.request.Item.Model).
		Int64("took-ms", time.Since(began).Milliseconds()).
		Int64("left-ms", time.Until(send.Deadline).Milliseconds()).
		Int64("last-event", ended.LastEvent).Str("outcome", string(ended.Result)).Err(err).Msg("attempt")
}
