package routed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/core/router"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// maxWriteBytes is the approximate limit of received payload bytes that are written to
// the caller in one call.
const maxWriteBytes = 32 << 10

// sendOffer offers a call to an endpoint's agent and delivers the answer to the caller.
// It returns when the exchange has ended.
func (d *Daemon) sendOffer(ac *activeCall, eff router.SendOffer) {
	c, err := d.pool.get(eff.Endpoint, eff.NewConn)
	if err != nil {
		d.loop.Post(router.OfferNotSent{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return
	}
	s, err := c.Open()
	if err != nil {
		d.loop.Post(router.OfferNotSent{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return
	}
	defer func() { _ = s.Close() }()
	instance := fleet.Instance(c.RemoteHello().GetInstance())
	if !ac.markSent(eff.ExchangeID, s) {
		return
	}
	// The reducer must know of the offer before the agent can receive any of it.
	d.loop.Post(router.OfferSent{ID: eff.ID, ExchangeID: eff.ExchangeID, Instance: instance})
	nextOffset := ac.nextOffset()
	if nextOffset > 0 && !eff.AttachOnly {
		eff.Rerun = true
	}
	if err := s.Send(d.offerFrame(ac, eff, instance, nextOffset)); err != nil {
		d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return
	}
	d.receiveAnswer(ac, eff, s)
}

// offerFrame returns the offer message for a call. The offer expects the agent instance
// that the request was first sent to, or the given instance if there was none, because an
// agent must not start a request that an earlier instance may have started. The offer
// requests the answer from chunk offset on, or from its beginning if it is a rerun.
func (d *Daemon) offerFrame(ac *activeCall, eff router.SendOffer, instance fleet.Instance, offset uint64) *wirepb.Frame {
	c := ac.call
	expect := eff.ExpectInstance
	if expect == 0 {
		expect = instance
	}
	o := &wirepb.Offer{
		RequestId: string(c.ID), Attempt: eff.Attempt, Member: string(c.Member),
		Model: string(c.Target.Model), Adapter: string(c.Target.Adapter), Service: string(c.Target.Service),
		Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body,
		Urgency: int32(c.Urgency), Idempotent: c.Idempotent, Stream: c.Stream, Keep: c.IdempotencyKey != "",
		RemainingUs: time.Until(eff.NotAfter).Microseconds(), Offset: offset,
		Attach: eff.AttachOnly, Instance: uint64(expect),
		PromptTokens: uint32(c.PromptTokens), MaxTokens: uint32(c.MaxTokens),
	}
	if eff.AnswerOf != "" {
		o.RequestId = string(eff.AnswerOf)
	}
	if eff.Rerun {
		o.Offset = 0
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Offer{Offer: o}}
}

// receiveAnswer handles the frames that answer an offer until the exchange ends.
func (d *Daemon) receiveAnswer(ac *activeCall, eff router.SendOffer, s *wire.Stream) {
	var rerun *rerunCheck
	if eff.Rerun {
		rerun = &rerunCheck{hash: xxhash.New()}
	}
	for {
		chunks, f, err := s.RecvData(maxWriteBytes)
		if len(chunks) > 0 && !d.deliverChunks(ac, eff, rerun, chunks) {
			return
		}
		if err != nil {
			d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
			return
		}
		switch body := f.GetBody().(type) {
		case *wirepb.Frame_Ack:
		case *wirepb.Frame_Admit:
			expected := time.Now().Add(time.Duration(body.Admit.GetExpectedUs()) * time.Microsecond)
			d.loop.Post(router.OfferAcked{ID: eff.ID, ExchangeID: eff.ExchangeID, ExpectedFirstChunkAt: expected})
		case *wirepb.Frame_Refuse:
			d.postReport(eff.Endpoint, body.Refuse.GetReport())
			d.loop.Post(router.OfferRefused{ID: eff.ID, ExchangeID: eff.ExchangeID, Refusal: refusalFromMessage(body.Refuse)})
			return
		case nil:
		case *wirepb.Frame_End:
			d.postReport(eff.Endpoint, body.End.GetReport())
			d.handleEnd(ac, eff, s, body.End)
			return
		default:
			d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
			return
		}
	}
}

// deliverChunks delivers chunks to the caller and posts the event for the result, if there is
// one. It reports whether to go on receiving.
func (d *Daemon) deliverChunks(ac *activeCall, eff router.SendOffer, rerun *rerunCheck, chunks []*wirepb.Data) bool {
	switch ac.deliver(eff.ExchangeID, rerun, chunks) {
	case deliveredFirst:
		d.loop.Post(router.AnswerBegan{ID: eff.ID, ExchangeID: eff.ExchangeID})
	case delivered, skipped:
	case stale:
		return false
	case gap:
		d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return false
	case diverged:
		d.loop.Post(router.AnswerDiverged{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return false
	case callerDisconnected:
		d.loop.Post(router.CallerDisconnected{ID: eff.ID})
		return false
	}
	return true
}

// handleEnd handles the end message, which carries the number of chunks of the answer.
// The answer is complete if the caller has as many chunks. If the caller has more, the
// answer differs from the one that the caller has received so far.
func (d *Daemon) handleEnd(ac *activeCall, eff router.SendOffer, s *wire.Stream, end *wirepb.End) {
	switch received := ac.nextOffset(); {
	case received == end.GetChunks():
		// Lets the agent discard the request early.
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Delivered{Delivered: &wirepb.Delivered{}}})
		d.loop.Post(router.AnswerEnded{ID: eff.ID, ExchangeID: eff.ExchangeID})
	case received > end.GetChunks():
		d.loop.Post(router.AnswerDiverged{ID: eff.ID, ExchangeID: eff.ExchangeID})
	default:
		d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
	}
}

// refusalFromMessage converts a refusal message. RetryAt stays zero if the message has no
// retry delay.
func refusalFromMessage(r *wirepb.Refuse) fleet.Refusal {
	out := fleet.Refusal{
		Code: fleet.Code(r.GetCode()), NotRun: fleet.NotRun(r.GetNotRun()), Detail: r.GetDetail(),
	}
	if r.GetRetryUs() > 0 {
		out.RetryAt = time.Now().Add(time.Duration(r.GetRetryUs()) * time.Microsecond)
	}
	return out
}

// cancelOffer notifies the agent, on the stream of an offer, that no caller waits for the
// answer any longer, and closes the stream.
func cancelOffer(s *wire.Stream) {
	defer func() { _ = s.Close() }()
	_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}}})
}

// askTombstone executes the effect RequestTombstone: it sends the tombstone request, which
// withdraws a call, and posts the agent's answer as TombstoneAnswered. The posted state is
// empty if the agent did not answer.
func (d *Daemon) askTombstone(eff router.RequestTombstone) {
	state, err := d.sendTombstoneRequest(eff)
	if err != nil {
		d.log.Debug().Err(err).Str("request", string(eff.ID)).Msg("agent did not answer the tombstone request")
	}
	d.loop.Post(router.TombstoneAnswered{ID: eff.ID, ExchangeID: eff.ExchangeID, State: state})
}

// sendTombstoneRequest sends one tombstone request to an agent, waits for the answer and
// returns the state in it. It posts nothing. It uses a new connection, because the old one may have gone silent.
func (d *Daemon) sendTombstoneRequest(eff router.RequestTombstone) (string, error) {
	c, err := d.pool.get(eff.Endpoint, true)
	if err != nil {
		return "", err
	}
	s, err := c.Open()
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(eff.NotAfter); err != nil {
		return "", err
	}
	request := &wirepb.Tombstone{RequestId: string(eff.Request), Instance: uint64(eff.ExpectInstance)}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Tombstone{Tombstone: request}}); err != nil {
		return "", err
	}
	f, err := s.Recv()
	if err != nil {
		return "", err
	}
	return f.GetTombstoneResult().GetState(), nil
}

// postReport posts the load report of an endpoint; it does nothing if r is nil.
func (d *Daemon) postReport(id fleet.EndpointID, r *wirepb.Report) {
	if r != nil {
		d.loop.Post(router.LoadReported{Endpoint: id, Load: loadFromReport(time.Now(), r)})
	}
}

// loadFromReport converts a report message that was received at now to a router.Load, the
// state of an endpoint.
func loadFromReport(now time.Time, r *wirepb.Report) router.Load {
	out := router.Load{
		Sequence:    r.GetSequence(),
		Instance:    fleet.Instance(r.GetInstance()),
		Incarnation: fleet.Incarnation(r.GetIncarnation()),
		Draining:    r.GetDraining(),
		MemoryTotal: fleet.Bytes(r.GetMemoryTotal()),
		MemoryFree:  fleet.Bytes(r.GetMemoryFree()),
	}
	for _, m := range r.GetModels() {
		load := router.ModelLoad{
			Model: fleet.ModelID(m.GetModel()), Stage: m.GetState(),
			Queued: int(m.GetQueued()), Running: int(m.GetRunning()),
		}
		if m.GetReadyUs() > 0 {
			load.ReadyAt = now.Add(time.Duration(m.GetReadyUs()) * time.Microsecond)
		}
		out.Models = append(out.Models, load)
	}
	return out
}
