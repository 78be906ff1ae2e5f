package agentd

import (
	"sync"
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/core/permit"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// permitRequests holds the permit requests of this agent, granted ones included, by order
// ID. Each has a stream of its own to a router. It is safe for concurrent use.
type permitRequests struct {
	mu   sync.Mutex
	byID map[fleet.OrderID]*permitRequest
}

// permitRequest is a request for a load permit, or the permit once it is granted.
type permitRequest struct {
	mu sync.Mutex
	// latest is the effect that last started or updated the request.
	latest agent.RequestPermit
	// ended is closed when the request ends; loadDuration is set before.
	ended chan struct{}
	// loadDuration is the duration of the load; 0 if it failed or was not started.
	loadDuration time.Duration
	// granted reports that a router has granted the permit.
	granted bool
}

func newPermitRequests() permitRequests {
	return permitRequests{byID: make(map[fleet.OrderID]*permitRequest)}
}

// update adds a request, or updates the one with the same ID. It reports whether the
// request is new.
func (p *permitRequests) update(eff agent.RequestPermit) (*permitRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.byID[eff.ID]
	if !ok {
		r = &permitRequest{ended: make(chan struct{})}
		p.byID[eff.ID] = r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = eff
	return r, !ok
}

// finish ends a request, so that its permit is returned; took is the duration of the load.
func (p *permitRequests) finish(id fleet.OrderID, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.byID[id]
	if !ok {
		return
	}
	delete(p.byID, id)
	r.loadDuration = took
	close(r.ended)
}

// requestPermit starts a permit request or updates it.
func (d *Daemon) requestPermit(eff agent.RequestPermit) {
	r, isNew := d.permitRequests.update(eff)
	if isNew {
		go d.maintainPermit(r)
	}
}

// maintainPermit keeps a request registered with one of the connected routers until the
// request ends. When a router stops answering it tries the others in turn. It posts
// PermitUnreachable while no router is connected.
func (d *Daemon) maintainPermit(r *permitRequest) {
	ticker := time.NewTicker(permit.RenewPeriod)
	defer ticker.Stop()
	for {
		tried := false
		for _, c := range d.routers.newestFirst() {
			if d.requestFrom(c, r, ticker.C) {
				return
			}
			tried = true
		}
		if !tried || len(d.routers.newestFirst()) == 0 {
			d.postPermitAnswer(r, agent.PermitUnreachable)
		}
		select {
		case <-r.ended:
			return
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// postPermitAnswer posts the state of a request. Once a permit is granted, nothing more is
// posted.
func (d *Daemon) postPermitAnswer(r *permitRequest, answer agent.PermitAnswer) {
	r.mu.Lock()
	latest := r.latest
	granted := r.granted
	r.granted = granted || answer == agent.PermitGranted
	r.mu.Unlock()
	if granted {
		return
	}
	d.loop.Post(agent.PermitAnswered{ID: latest.ID, Model: latest.Model, Answer: answer})
}

// requestFrom sends a request to one router and repeats it, or renews the permit, each time
// renew fires. It returns true when the request or the daemon has ended, and false when the
// router no longer answers.
func (d *Daemon) requestFrom(c *wire.Conn, r *permitRequest, renew <-chan time.Time) bool {
	s, err := c.Open()
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	lost := make(chan struct{})
	go d.readPermitResults(s, r, lost)
	if err := s.Send(r.frame(d.opt.Endpoint)); err != nil {
		return false
	}
	for {
		select {
		case <-r.ended:
			_ = s.Send(r.returnFrame(d.opt.Endpoint))
			return true
		case <-d.ctx.Done():
			return true
		case <-lost:
			return false
		case <-renew:
			if err := s.Send(r.frame(d.opt.Endpoint)); err != nil {
				return false
			}
		}
	}
}

// readPermitResults posts a router's answers. It closes streamFailed when the stream fails or an
// answer is overdue.
func (d *Daemon) readPermitResults(s *wire.Stream, r *permitRequest, streamFailed chan<- struct{}) {
	defer close(streamFailed)
	for {
		if err := s.SetReadDeadline(time.Now().Add(permit.RenewPeriod * 3 / 2)); err != nil {
			return
		}
		f, err := s.Recv()
		if err != nil {
			return
		}
		switch result := f.GetPermitResult(); {
		case result == nil:
			return
		case result.GetGranted():
			d.postPermitAnswer(r, agent.PermitGranted)
		case result.GetRefused():
			d.postPermitAnswer(r, agent.PermitRefused)
		default:
			d.postPermitAnswer(r, agent.PermitWaiting)
		}
	}
}

// frame returns the message that makes or repeats a request, or renews the permit if it
// has been granted.
func (r *permitRequest) frame(endpoint fleet.EndpointID) *wirepb.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &wirepb.Permit{
		Id:       string(r.latest.ID),
		Model:    string(r.latest.Model),
		Endpoint: string(endpoint),
		Urgency:  int32(r.latest.Urgency),
		Action:   wirepb.Permit_ASK,
		LoadUs:   r.latest.ExpectedLoadTime.Microseconds(),
	}
	if r.granted {
		p.Action = wirepb.Permit_RENEW
	}
	if !r.latest.Deadline.IsZero() {
		p.RemainingUs = max(time.Until(r.latest.Deadline).Microseconds(), 1)
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Permit{Permit: p}}
}

// returnFrame returns the message that withdraws a request or returns its permit. It must
// be called after ended is closed.
func (r *permitRequest) returnFrame(endpoint fleet.EndpointID) *wirepb.Frame {
	f := r.frame(endpoint)
	f.GetPermit().Action = wirepb.Permit_RETURN
	f.GetPermit().LoadUs = r.loadDuration.Microseconds()
	return f
}
