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

// relays are the streams on which agents ask for permits.
type relays struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]*relay
}

// relay is one such stream. Once it is relayed its frames go to the router
// that gives out the permits.
type relay struct {
	s  *wire.Stream
	mu sync.Mutex
	to *wire.Stream
	// first is the ask to begin with at the other router.
	first *wirepb.Permit
}

func newRelays() *relays { return &relays{open: make(map[uint64]*relay)} }

func (r *relays) add(s *wire.Stream, first *wirepb.Permit) (uint64, *relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	one := &relay{s: s, first: first}
	r.open[r.last] = one
	return r.last, one
}

func (r *relays) remove(conn uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, conn)
}

func (r *relays) get(conn uint64) (*relay, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one, ok := r.open[conn]
	return one, ok
}

// answer sends how an ask stands.
func (r *relays) answer(eff router.AnswerPermit) {
	one, ok := r.get(eff.StreamID)
	if !ok {
		return
	}
	result := &wirepb.PermitResult{Granted: eff.Granted, Refused: eff.Refused}
	_ = one.send(&wirepb.Frame{Body: &wirepb.Frame_PermitResult{PermitResult: result}})
}

// send writes to the agent; answers come from several goroutines.
func (r *relay) send(f *wirepb.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.s.Send(f)
}

// servePermit takes in the asks and renewals of one stream.
func (d *Daemon) servePermit(s *wire.Stream, first *wirepb.Permit) {
	conn, one := d.permits.add(s, first)
	defer d.permits.remove(conn)
	defer one.closeRelay()
	for p := first; p != nil; {
		if to := one.relayed(); to != nil && p != first {
			p.Relayed = true
			if err := to.Send(&wirepb.Frame{Body: &wirepb.Frame_Permit{Permit: p}}); err != nil {
				return
			}
		} else {
			d.postPermit(conn, p)
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

func (r *relay) relayed() *wire.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.to
}

func (r *relay) closeRelay() {
	if to := r.relayed(); to != nil {
		_ = to.Close()
	}
}

func (d *Daemon) postPermit(conn uint64, p *wirepb.Permit) {
	id := fleet.OrderID(p.GetId())
	took := time.Duration(p.GetLoadUs()) * time.Microsecond
	if p.GetAction() == wirepb.Permit_RETURN {
		d.loop.Post(router.PermitReturned{ID: id, Took: took})
		return
	}
	ask := permit.Ask{
		ID: id, Endpoint: fleet.EndpointID(p.GetEndpoint()), Model: fleet.ModelID(p.GetModel()),
		Urgency: int(p.GetUrgency()), Expected: took,
	}
	if p.GetRemainingUs() > 0 {
		ask.Deadline = time.Now().Add(time.Duration(p.GetRemainingUs()) * time.Microsecond)
	}
	d.loop.Post(router.PermitRequested{
		StreamID: conn, Ask: ask, Renew: p.GetAction() == wirepb.Permit_RENEW, Forwarded: p.GetRelayed(),
	})
}

// relayPermit hands a stream of asks to another router. When that one can't be
// reached the stream is closed, so that the agent asks elsewhere.
func (d *Daemon) relayPermit(eff router.ForwardPermits) {
	one, ok := d.permits.get(eff.StreamID)
	if !ok || one.relayed() != nil {
		return
	}
	if err := d.relayTo(one, eff.To); err != nil {
		d.log.Debug().Err(err).Str("router", string(eff.To.ID)).Msg("ask not relayed")
		_ = one.s.Close()
	}
}

func (d *Daemon) relayTo(one *relay, host fleet.Host) error {
	ctx, cancel := context.WithTimeout(d.ctx, permit.RenewPeriod)
	defer cancel()
	c, err := d.peer.Dial(ctx, host.Wire)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	to, err := c.Open()
	if err != nil {
		return err
	}
	first, ok := proto.Clone(one.first).(*wirepb.Permit)
	if !ok {
		return wire.ErrUnexpected
	}
	first.Relayed = true
	if err := to.Send(&wirepb.Frame{Body: &wirepb.Frame_Permit{Permit: first}}); err != nil {
		return err
	}
	one.mu.Lock()
	one.to = to
	one.mu.Unlock()
	for {
		f, err := to.Recv()
		if err != nil {
			return err
		}
		if err := one.send(f); err != nil {
			return err
		}
	}
}
