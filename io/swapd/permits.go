package swapd

import (
	"time"

	"chervilreach/core/swap"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// answerPermitAsk has the reducer answer a router's ask for a permit and sends the answer.
func (d *Daemon) answerPermitAsk(c *wire.Conn, s *wire.Stream, m *wirepb.SendPermitAsk) {
	limit, ask := wire.DecodePermitAsk(time.Now(), m)
	// The buffer keeps the event loop from waiting if the router is gone.
	answers := make(chan swap.PermitAnswered, 1)
	d.mu.Lock()
	d.lastAskNumber++
	number := d.lastAskNumber
	d.permitAsks[number] = answers
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.permitAsks, number)
	}()
	if !d.loop.Post(swap.PermitAsked{Number: number, Limit: limit, Ask: ask}) {
		return
	}
	select {
	case <-c.Done():
	case answer := <-answers:
		body := &wirepb.SendPermit{Granted: answer.Granted, StartUs: time.Until(answer.StartAt).Microseconds()}
		if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_SendPermit{SendPermit: body}}); err != nil {
			d.log.Info().Err(err).Str("endpoint", limit.Instance).Msg("could not send permit to router")
		}
	}
}

// passPermitAnswer passes the reducer's answer to the stream of the ask, unless that has ended.
func (d *Daemon) passPermitAnswer(eff swap.PermitAnswered) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answers := d.permitAsks[eff.Number]; answers != nil {
		answers <- eff
	}
}
