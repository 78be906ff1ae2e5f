package routed

import (
	"context"

	"chervilreach/core/event"
	"chervilreach/core/router"
	"chervilreach/io/accept"
	"chervilreach/io/front"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// Do implements loop.Executor. What takes time runs in a goroutine.
func (d *Daemon) Do(eff event.Effect) {
	switch eff := eff.(type) {
	case router.SendOffer:
		if l, ok := d.calls.get(eff.ID); ok {
			l.supersede(eff.ExchangeID)
			go d.sendOffer(l, eff)
		}
	case router.WithdrawOffer:
		if l, ok := d.calls.get(eff.ID); ok && l.withdraw(eff.ExchangeID) {
			go d.loop.Post(router.OfferNotSent(eff))
		}
	case router.CancelOffer:
		if l, ok := d.calls.get(eff.ID); ok {
			if s := l.take(eff.ExchangeID); s != nil {
				go cancelOffer(s)
			}
		}
	case router.RequestTombstone:
		if l, ok := d.calls.get(eff.ID); ok {
			l.mute(eff.ExchangeID)
		}
		go d.askTombstone(eff)
	case router.RefuseCall:
		if l, ok := d.calls.get(eff.ID); ok {
			l.finish(&front.RefusedError{Refusal: eff.Refusal})
		}
	case router.FinishCall:
		if l, ok := d.calls.get(eff.ID); ok {
			l.finish(nil)
		}
	case router.Connect:
		d.pool.connect(eff.Host)
	case router.Disconnect:
		d.pool.disconnect(eff.Endpoint)
	case router.Drained:
		d.once.Do(func() { close(d.drained) })
	default:
		d.doShared(eff)
	}
}

// doShared carries out the effects that concern the key-value service and the
// order of loads.
func (d *Daemon) doShared(eff event.Effect) {
	switch eff := eff.(type) {
	case router.WriteClaim:
		d.claims.write(eff)
	case router.FinishClaim:
		go d.claims.finish(eff)
	case router.WritePlacement:
		go d.writePlacement(eff)
	case router.ReadPlacement:
		go d.readPlacement(eff.Model)
	case router.PushAssignment:
		go d.pushAssign(eff)
	case router.AnswerPermit:
		go d.permits.answer(eff)
	case router.ForwardPermits:
		go d.relayPermit(eff)
	}
}

// Serve implements wire.Handler.
func (d *Daemon) Serve(ctx context.Context, c *wire.Conn, s *wire.Stream, first *wirepb.Frame) {
	defer func() { _ = s.Close() }()
	switch body := first.GetBody().(type) {
	case *wirepb.Frame_Hello:
		c.SetRemote(body.Hello)
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: d.Hello()}})
		<-c.Done()
	case *wirepb.Frame_Permit:
		d.servePermit(s, body.Permit)
	case *wirepb.Frame_ConfigAsk:
		ctx, cancel := context.WithTimeout(ctx, accept.Hold)
		defer cancel()
		_ = wire.ServeConfig(ctx, s, d.config, body.ConfigAsk)
	default:
		d.log.Warn().Type("body", body).Msg("unexpected first frame")
	}
}
