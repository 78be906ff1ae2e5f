package routed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/core/router"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// gatherBytes is how much of an answer that has come already is written to the
// caller at once.
const gatherBytes = 32 << 10

// sendOffer offers a call to an endpoint and delivers the answer.
func (d *Daemon) sendOffer(l *live, eff router.SendOffer) {
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
	instance := fleet.Instance(c.Remote().GetInstance())
	if !l.begin(eff.ExchangeID, s) {
		return
	}
	// The event goes before anything is written.
	d.loop.Post(router.OfferSent{ID: eff.ID, ExchangeID: eff.ExchangeID, Instance: instance})
	offset := l.offset()
	if offset > 0 && !eff.AttachOnly {
		eff.Rerun = true
	}
	if err := s.Send(d.offerFrame(l, eff, instance, offset)); err != nil {
		d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
		return
	}
	d.receive(l, eff, s)
}

// offerFrame returns the message of an offer. An agent must not start what may
// have been started by an earlier instance.
func (d *Daemon) offerFrame(l *live, eff router.SendOffer, instance fleet.Instance, offset uint64) *wirepb.Frame {
	c := l.call
	expect := eff.ExpectInstance
	if expect == 0 {
		expect = instance
	}
	o := &wirepb.Offer{
		RequestId: string(c.ID), Attempt: eff.Attempt, Member: string(c.Member),
		Model: string(c.Target.Model), Adapter: string(c.Target.Adapter), Service: string(c.Target.Service),
		Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body,
		Urgency: int32(c.Urgency), Idempotent: c.Idempotent, Stream: c.Stream, Keep: c.Key != "",
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

// receive takes in the frames that answer an offer, until its end.
func (d *Daemon) receive(l *live, eff router.SendOffer, s *wire.Stream) {
	var again *replay
	if eff.Rerun {
		again = &replay{sum: xxhash.New()}
	}
	for {
		chunks, f, err := s.RecvData(gatherBytes)
		if len(chunks) > 0 && !d.receiveData(l, eff, again, chunks) {
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
			d.loop.Post(router.OfferAcked{ID: eff.ID, ExchangeID: eff.ExchangeID, Expected: expected})
		case *wirepb.Frame_Refuse:
			d.reported(eff.Endpoint, body.Refuse.GetReport())
			d.loop.Post(router.OfferRefused{ID: eff.ID, ExchangeID: eff.ExchangeID, Refusal: refusalOf(body.Refuse)})
			return
		case nil:
		case *wirepb.Frame_End:
			d.reported(eff.Endpoint, body.End.GetReport())
			d.receiveEnd(l, eff, s, body.End)
			return
		default:
			d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
			return
		}
	}
}

// receiveData delivers chunks; false when no more is wanted.
func (d *Daemon) receiveData(l *live, eff router.SendOffer, again *replay, chunks []*wirepb.Data) bool {
	switch l.deliver(eff.ExchangeID, again, chunks) {
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
	case unread:
		d.loop.Post(router.CallerGone{ID: eff.ID})
		return false
	}
	return true
}

// receiveEnd takes in the end mark: the answer is whole if the caller has as
// many chunks. One that ends before what the caller has is another answer.
func (d *Daemon) receiveEnd(l *live, eff router.SendOffer, s *wire.Stream, end *wirepb.End) {
	switch got := l.offset(); {
	case got == end.GetChunks():
		// Without this word the agent keeps the request for a while longer.
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Delivered{Delivered: &wirepb.Delivered{}}})
		d.loop.Post(router.AnswerEnded{ID: eff.ID, ExchangeID: eff.ExchangeID})
	case got > end.GetChunks():
		d.loop.Post(router.AnswerDiverged{ID: eff.ID, ExchangeID: eff.ExchangeID})
	default:
		d.loop.Post(router.StreamBroke{ID: eff.ID, ExchangeID: eff.ExchangeID})
	}
}

func refusalOf(r *wirepb.Refuse) fleet.Refusal {
	out := fleet.Refusal{
		Code: fleet.Code(r.GetCode()), NotRun: fleet.NotRun(r.GetNotRun()), Detail: r.GetDetail(),
	}
	if r.GetRetryUs() > 0 {
		out.RetryAt = time.Now().Add(time.Duration(r.GetRetryUs()) * time.Microsecond)
	}
	return out
}

// cancelOffer tells the agent that nobody waits for the answer.
func cancelOffer(s *wire.Stream) {
	defer func() { _ = s.Close() }()
	_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}}})
}

// askTombstone asks an agent to make sure that a request never starts. It uses
// a new connection, as the old one may have gone silent.
func (d *Daemon) askTombstone(eff router.RequestTombstone) {
	state, err := d.tombstone(eff)
	if err != nil {
		d.log.Debug().Err(err).Str("request", string(eff.ID)).Msg("tombstone not answered")
	}
	d.loop.Post(router.TombstoneAnswered{ID: eff.ID, ExchangeID: eff.ExchangeID, State: state})
}

func (d *Daemon) tombstone(eff router.RequestTombstone) (string, error) {
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
	ask := &wirepb.Tombstone{RequestId: string(eff.Request), Instance: uint64(eff.ExpectInstance)}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Tombstone{Tombstone: ask}}); err != nil {
		return "", err
	}
	f, err := s.Recv()
	if err != nil {
		return "", err
	}
	return f.GetTombstoneResult().GetState(), nil
}

// reported posts a report that came with an answer.
func (d *Daemon) reported(id fleet.EndpointID, r *wirepb.Report) {
	if r != nil {
		d.loop.Post(router.LoadReported{Endpoint: id, Load: loadOf(time.Now(), r)})
	}
}

// loadOf turns a report's message into the reducer's form.
func loadOf(now time.Time, r *wirepb.Report) router.Load {
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
