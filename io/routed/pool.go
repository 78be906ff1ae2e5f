package routed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/router"
	"chervilreach/io/accept"
	"chervilreach/io/wire"
)

var errUnknownEndpoint = errors.New("endpoint is not on the host list")

// Bounds of the backoff between attempts to connect to an agent.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// pool keeps a connection to the agent of each endpoint. It is safe for concurrent use.
type pool struct {
	d     *Daemon
	mu    sync.Mutex
	links map[fleet.EndpointID]*link
}

// link maintains the connection to one agent.
type link struct {
	d      *Daemon
	host   fleet.Host
	cancel context.CancelFunc

	mu          sync.Mutex
	conn        *wire.Conn
	connectedAt time.Time
	closed      bool
	// dialAttempt is the attempt to connect in progress; nil if there is none. All callers
	// of get share it.
	dialAttempt *dialAttempt
}

// dialAttempt is one attempt to connect. conn and err may be read once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *wire.Conn
	err  error
}

func newPool(d *Daemon) *pool { return &pool{d: d, links: make(map[fleet.EndpointID]*link)} }

// connect opens a connection to an endpoint's agent and keeps it open until disconnect or
// close. It replaces an earlier connection to the same endpoint.
func (p *pool) connect(h fleet.Host) {
	ctx, cancel := context.WithCancel(p.d.ctx)
	l := &link{d: p.d, host: h, cancel: cancel}
	p.mu.Lock()
	old := p.links[h.Endpoint]
	p.links[h.Endpoint] = l
	p.mu.Unlock()
	if old != nil {
		old.close()
	}
	go l.maintain(ctx)
}

// disconnect closes the connection to an endpoint's agent, if there is one.
func (p *pool) disconnect(id fleet.EndpointID) {
	p.mu.Lock()
	l := p.links[id]
	delete(p.links, id)
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// close closes all connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.close()
	}
}

// get returns a connection to an endpoint's agent. If newConn is set, the connection is not
// older than maxNewConnAge. An error means that no connection was made and nothing was sent.
func (p *pool) get(id fleet.EndpointID, newConn bool) (*wire.Conn, error) {
	p.mu.Lock()
	l, ok := p.links[id]
	p.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("connect to %s: %w", id, errUnknownEndpoint)
	}
	return l.get(p.d.ctx, newConn)
}

// maxNewConnAge is the maximum age of a connection that counts as new.
const maxNewConnAge = 100 * time.Millisecond

// get returns the current connection if it is usable, or else waits for a new one. See
// pool.get.
func (l *link) get(ctx context.Context, newConn bool) (*wire.Conn, error) {
	l.mu.Lock()
	if c, ok := l.usable(newConn); ok {
		l.mu.Unlock()
		return c, nil
	}
	attempt := l.dialAttempt
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		l.dialAttempt = attempt
		go l.dial(ctx, attempt)
	}
	l.mu.Unlock()
	<-attempt.done
	return attempt.conn, attempt.err
}

// dial makes one attempt to connect and stores its result in attempt. It takes no longer than
// the timeout of wire.Transport.Dial.
func (l *link) dial(ctx context.Context, attempt *dialAttempt) {
	defer close(attempt.done)
	c, err := l.d.transport.Dial(ctx, l.host.WireAddr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialAttempt = nil
	if err == nil && l.closed {
		_ = c.Close()
		err = errUnknownEndpoint
	}
	if err != nil {
		attempt.err = err
		return
	}
	if l.conn != nil {
		// Calls in progress may go on using the old connection. They detect by themselves
		// whether it has gone silent.
		go closeLater(l.conn)
	}
	attempt.conn = c
	l.conn = c
	l.connectedAt = time.Now()
	go l.readReports(c)
}

// closeLater closes a replaced connection after a minute, which gives its streams time to
// end.
func closeLater(c *wire.Conn) {
	timer := time.NewTimer(time.Minute)
	defer timer.Stop()
	select {
	case <-timer.C:
		_ = c.Close()
	case <-c.Done():
	}
}

// usable returns the current connection if it is open and, if newConn is set, not older than
// maxNewConnAge. The caller holds mu.
func (l *link) usable(newConn bool) (*wire.Conn, bool) {
	if l.conn == nil {
		return nil, false
	}
	select {
	case <-l.conn.Done():
		return nil, false
	default:
	}
	if newConn && time.Since(l.connectedAt) > maxNewConnAge {
		return nil, false
	}
	return l.conn, true
}

// current returns the connection if it is open.
func (l *link) current() (*wire.Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usable(false)
}

// maintain connects whenever there is no open connection, until ctx is done. It posts each
// failed attempt and backs off between them.
func (l *link) maintain(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		c, err := l.get(ctx, false)
		if err != nil {
			l.d.loop.Post(router.EndpointLost{Endpoint: l.host.Endpoint})
			sleep(ctx, delay)
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = minRedialDelay
		select {
		case <-c.Done():
		case <-ctx.Done():
		}
	}
}

// sleep pauses for a duration, or until ctx is done.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readReports posts the load reports that an agent sends on its control stream, until the
// connection ends.
func (l *link) readReports(c *wire.Conn) {
	for {
		f, err := c.ControlStream().Recv()
		if err != nil {
			return
		}
		l.d.postReport(l.host.Endpoint, f.GetReport())
	}
}

// close closes the connection for good.
func (l *link) close() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// configPeers returns the connected agents, which may have a newer configuration, in
// ascending order of endpoint IDs.
func (p *pool) configPeers() []accept.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]fleet.EndpointID, 0, len(p.links))
	for id := range p.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var peers []accept.Peer
	for _, id := range ids {
		if c, ok := p.links[id].current(); ok {
			peers = append(peers, wire.ConfigPeer{Conn: c})
		}
	}
	return peers
}
