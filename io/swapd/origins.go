package swapd

import (
	"chervilreach/core/origin"
	"chervilreach/core/swap"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// serveOrigins serves a stream that reports origins of callers' streams or asks for one. It reports
// whether the first frame is one of these.
func (d *Daemon) serveOrigins(c *wire.Conn, s *wire.Stream, first *wirepb.Frame) bool {
	if m := first.GetStreamOrigins(); m != nil {
		d.loop.Post(swap.OriginsReported{Service: m.GetService(), Origins: wire.DecodeOrigins(m), Versions: wire.DecodeVersions(m)})
		return true
	}
	if m := first.GetStreamOriginAsk(); m != nil {
		d.answerOriginAsk(c, s, m)
		return true
	}
	return false
}

// answerOriginAsk has the reducer answer a router's ask for the origin of a stream and sends the answer.
func (d *Daemon) answerOriginAsk(c *wire.Conn, s *wire.Stream, m *wirepb.StreamOriginAsk) {
	// The buffer keeps the event loop from waiting if the router is gone.
	answers := make(chan swap.OriginAnswered, 1)
	d.mu.Lock()
	d.lastAskNumber++
	number := d.lastAskNumber
	d.originAsks[number] = answers
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.originAsks, number)
	}()
	if !d.loop.Post(swap.OriginAsked{Number: number, Service: m.GetService(), Stream: origin.Stream(m.GetStream())}) {
		return
	}
	select {
	case <-c.Done():
	case answer := <-answers:
		body := &wirepb.StreamOriginAnswer{Software: answer.Software, Versions: answer.Versions}
		if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_StreamOriginAnswer{StreamOriginAnswer: body}}); err != nil {
			d.log.Info().Err(err).Msg("could not send origin of stream to router")
		}
	}
}

// passOriginAnswer passes the reducer's answer to the stream of the ask, unless that has ended.
func (d *Daemon) passOriginAnswer(eff swap.OriginAnswered) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answers := d.originAsks[eff.Number]; answers != nil {
		answers <- eff
	}
}
