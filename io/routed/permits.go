package routed

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/core/router"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// permitStreams holds the streams on which agents request load permits, by stream ID. It is
// safe for concurrent use.
type permitStreams struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]*permitStream
}

// permitStream is a stream on which an agent requests and renews one permit. If another
// router grants the permits, the stream is forwarded: its frames are sent to that router,
// and that router's answers to the agent.
type permitStream struct {
	agent   *wire.Stream
	mu      sync.Mutex
	granter *wire.Stream
	// firstPermit is the first request on the stream. Forwarding starts by repeating it.
	firstPermit *wirepb.Permit
}

func newPermitStreams() *permitStreams { return &permitStreams{byID: make(map[uint64]*permitStream)} }

// add adds a stream with its first request and returns the stream's ID.
func (p *permitStreams) add(agent *wire.Stream, first *wirepb.Permit) (uint64, *permitStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	ps := &permitStream{agent: agent, firstPermit: first}
	p.byID[p.lastID] = ps
	return p.lastID, ps
}

func (p *permitStreams) remove(streamID uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, streamID)
}

func (p *permitStreams) get(streamID uint64) (*permitStream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ps, ok := p.byID[streamID]
	return ps, ok
}

// answer sends an agent the state of its permit request.
func (p *permitStreams) answer(eff router.AnswerPermit) {
	ps, ok := p.get(eff.StreamID)
	if !ok {
		return
	}
	result := &wirepb.PermitResult{Granted: eff.Granted, Refused: eff.Refused}
	_ = ps.send(&wirepb.Frame{Body: &wirepb.Frame_PermitResult{PermitResult: result}})
}

// send sends a frame to the agent. It may be called from several goroutines.
func (ps *permitStream) send(f *wirepb.Frame) error {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.agent.Send(f)
}

// servePermitStream handles the permit requests and renewals on a stream until the permit
// is returned or the stream ends. It posts them, or forwards them if the stream is
// forwarded.
func (d *Daemon) servePermitStream(s *wire.Stream, first *wirepb.Permit) {
	streamID, ps := d.permits.add(s, first)
	defer d.permits.remove(streamID)
	defer ps.closeGranter()
	for p := first; p != nil; {
		if granter := ps.forwardedTo(); granter != nil && p != first {
			p.Relayed = true
			if err := granter.Send(&wirepb.Frame{Body: &wirepb.Frame_Permit{Permit: p}}); err != nil {
				return
			}
		} else {
			d.postPermit(streamID, p)
		}
		if p.GetAction() == wirepb.Permit_RETURN {
			return
		}
		f, err := s.Recv()
		if err != nil {
			return
		}
		p = f.GetPermit()
	}
}

// forwardedTo returns the stream to the router that grants the permits, or nil if the
// stream is not forwarded.
func (ps *permitStream) forwardedTo() *wire.Stream {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.granter
}

// closeGranter closes the stream to the other router, if there is one.
func (ps *permitStream) closeGranter() {
	if granter := ps.forwardedTo(); granter != nil {
		_ = granter.Close()
	}
}

// postPermit posts a permit request, a renewal or a return.
func (d *Daemon) postPermit(streamID uint64, p *wirepb.Permit) {
	id := fleet.OrderID(p.GetId())
	loadTime := time.Duration(p.GetLoadUs()) * time.Microsecond
	if p.GetAction() == wirepb.Permit_RETURN {
		d.loop.Post(router.PermitReturned{ID: id, Took: loadTime})
		return
	}
	req := permit.Request{
		ID: id, Endpoint: fleet.EndpointID(p.GetEndpoint()), Model: fleet.ModelID(p.GetModel()),
		Urgency: int(p.GetUrgency()), Expected: loadTime,
	}
	if p.GetRemainingUs() > 0 {
		req.Deadline = time.Now().Add(time.Duration(p.GetRemainingUs()) * time.Microsecond)
	}
	d.loop.Post(router.PermitRequested{
		StreamID: streamID, Request: req, Renew: p.GetAction() == wirepb.Permit_RENEW, Forwarded: p.GetRelayed(),
	})
}

// forwardPermits forwards a stream to another router until either end closes it. It then
// closes the agent's stream, so that the agent turns to another router.
func (d *Daemon) forwardPermits(eff router.ForwardPermits) {
	ps, ok := d.permits.get(eff.StreamID)
	if !ok || ps.forwardedTo() != nil {
		return
	}
	if err := d.forwardTo(ps, eff.To); err != nil {
		d.log.Debug().Err(err).Str("router", string(eff.To.ID)).Msg("forwarding of permit requests ended")
		_ = ps.agent.Close()
	}
}

// forwardTo forwards a stream to the router on the given host. It blocks until the
// connection fails or the agent's stream ends, and always returns an error.
func (d *Daemon) forwardTo(ps *permitStream, host fleet.Host) error {
	ctx, cancel := context.WithTimeout(d.ctx, permit.RenewPeriod)
	defer cancel()
	c, err := d.transport.Dial(ctx, host.WireAddr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	granter, err := c.Open()
	if err != nil {
		return err
	}
	first, ok := proto.Clone(ps.firstPermit).(*wirepb.Permit)
	if !ok {
		return wire.ErrUnexpectedFrame
	}
	first.Relayed = true
	if err := granter.Send(&wirepb.Frame{Body: &wirepb.Frame_Permit{Permit: first}}); err != nil {
		return err
	}
	ps.mu.Lock()
	ps.granter = granter
	ps.mu.Unlock()
	for {
		f, err := granter.Recv()
		if err != nil {
			return err
		}
		if err := ps.send(f); err != nil {
			return err
		}
	}
}
