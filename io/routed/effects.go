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

// Do implements loop.Executor. Effects that may block run in goroutines of their own.
func (d *Daemon) Do(eff event.Effect) {
	switch eff := eff.(type) {
	case router.SendOffer:
		if ac, ok := d.calls.get(eff.ID); ok {
			ac.startOffer(eff.ExchangeID)
			go d.sendOffer(ac, eff)
		}
	case router.WithdrawOffer:
		if ac, ok := d.calls.get(eff.ID); ok && ac.withdraw(eff.ExchangeID) {
			go d.loop.Post(router.OfferNotSent(eff))
		}
	case router.CancelOffer:
		if ac, ok := d.calls.get(eff.ID); ok {
			if s := ac.takeStream(eff.ExchangeID); s != nil {
				go cancelOffer(s)
			}
		}
	case router.RequestTombstone:
		if ac, ok := d.calls.get(eff.ID); ok {
			ac.startTombstone(eff.ExchangeID)
		}
		go d.askTombstone(eff)
	case router.RefuseCall:
		if ac, ok := d.calls.get(eff.ID); ok {
			ac.finish(&front.RefusedError{Refusal: eff.Refusal})
		}
	case router.FinishCall:
		if ac, ok := d.calls.get(eff.ID); ok {
			ac.finish(nil)
		}
	case router.Connect:
		d.pool.connect(eff.Host)
	case router.Disconnect:
		d.pool.disconnect(eff.Endpoint)
	case router.Drained:
		d.drainedOnce.Do(func() { close(d.drained) })
	default:
		d.doEtcdOrPermitEffect(eff)
	}
}

// doEtcdOrPermitEffect executes the effects that concern the key-value service, the agents'
// assignments and load permits.
func (d *Daemon) doEtcdOrPermitEffect(eff event.Effect) {
	switch eff := eff.(type) {
	case router.WriteClaim:
		d.claimWriter.enqueue(eff)
	case router.FinishClaim:
		go d.claimWriter.finish(eff)
	case router.WritePlacement:
		go d.writePlacement(eff)
	case router.ReadPlacement:
		go d.readPlacement(eff.Model)
	case router.PushAssignment:
		go d.pushAssignment(eff)
	case router.AnswerPermit:
		go d.permits.answer(eff)
	case router.ForwardPermits:
		go d.forwardPermits(eff)
	}
}

// Serve implements wire.Handler.
func (d *Daemon) Serve(ctx context.Context, c *wire.Conn, s *wire.Stream, first *wirepb.Frame) {
	defer func() { _ = s.Close() }()
	switch body := first.GetBody().(type) {
	case *wirepb.Frame_Hello:
		c.SetRemoteHello(body.Hello)
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: d.Hello()}})
		<-c.Done()
	case *wirepb.Frame_Permit:
		d.servePermitStream(s, body.Permit)
	case *wirepb.Frame_ConfigAsk:
		ctx, cancel := context.WithTimeout(ctx, accept.LongPollTimeout)
		defer cancel()
		_ = wire.ServeConfig(ctx, s, d.config, body.ConfigAsk)
	default:
		d.log.Warn().Type("body", body).Msg("unexpected first frame")
	}
}
