package relayd

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"chervilreach/core/relay"
	"chervilreach/core/stock"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// redialFirst and redialMost are the pauses before a connection to an agent is
	// made again: short, as requests for models that are not loaded wait for it.
	redialMinDelay = 100 * time.Millisecond
	redialMaxDelay = 2 * time.Second
	// asksQueued bounds the demands that wait for a slow connection; each replaces
	// the one before.
	demandQueueSize = 1
	// renameTime is how long an agent has to report another instance than the list
	// names until it is believed: its first reports may be older than the list.
	instanceChangeDelay = 700 * time.Millisecond
	// lagTime is how long a router waits for its own watch to bring routes that
	// others have already.
	routesWatchTimeout = 500 * time.Millisecond
	// fetchTime bounds the reading of routes from an agent.
	routesFetchTimeout = time.Second
	// reportTime is the longest silence of an agent that still counts as connected:
	// agents of many routers report every few seconds. Pings find a connection that
	// is gone much sooner.
	reportTimeout = 30 * time.Second
)

var errDuplicateAgent = errors.New("another instance has taken the endpoint's place")

// agents are the connections to the agents beside the endpoints on the list.
type agentConns struct {
	d    *Daemon
	peer *wire.Peer
	// ctx ends with the daemon.
	ctx        context.Context
	stop       context.CancelFunc
	mu         sync.Mutex
	byInstance map[string]*agentConn
	// lagging says that a later version of the routes is being looked for.
	catchingUp atomic.Bool
}

// agent is the connection to one.
type agentConn struct {
	instance string
	addr     netip.AddrPort
	demands  chan stock.Demand
	stop     context.CancelFunc
}

func newAgentConns(d *Daemon) *agentConns {
	a := &agentConns{d: d, byInstance: make(map[string]*agentConn)}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.peer = d.peer()
	return a
}

// follow connects to the agents of the endpoints on the list and lets go of the
// others.
func (a *agentConns) follow(list []relay.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		addr := a.d.opts.AgentAddr(m)
		if !addr.IsValid() {
			continue
		}
		listed[m.Instance] = true
		if a.byInstance[m.Instance] != nil {
			continue
		}
		ctx, stop := context.WithCancel(a.ctx)
		one := &agentConn{instance: m.Instance, addr: addr, demands: make(chan stock.Demand, demandQueueSize), stop: stop}
		a.byInstance[m.Instance] = one
		go a.maintain(ctx, one)
	}
	for id, one := range a.byInstance {
		if !listed[id] {
			one.stop()
			delete(a.byInstance, id)
		}
	}
}

// ask sends a demand; an older one that still waits is replaced.
func (a *agentConns) sendDemand(eff relay.SendDemand) {
	a.mu.Lock()
	one := a.byInstance[eff.Instance]
	a.mu.Unlock()
	if one == nil {
		return
	}
	for {
		select {
		case one.demands <- eff.Demand:
			return
		default:
		}
		select {
		case <-one.demands:
		default:
		}
	}
}

// keep connects again and again until the endpoint is gone.
func (a *agentConns) maintain(ctx context.Context, one *agentConn) {
	pause := redialMinDelay
	for ctx.Err() == nil {
		begun := time.Now()
		err := a.runConnection(ctx, one)
		if ctx.Err() != nil {
			return
		}
		a.d.loop.Post(relay.AgentLost{Instance: one.instance})
		a.d.log.Info().Err(err).Str("endpoint", one.instance).Stringer("address", one.addr).
			Msg("agent not connected")
		if time.Since(begun) > redialMaxDelay {
			pause = redialMinDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMaxDelay)
	}
}

// converse exchanges demands and reports until the connection fails.
func (a *agentConns) runConnection(ctx context.Context, one *agentConn) error {
	conn, err := a.peer.Dial(ctx, one.addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	s, err := conn.Open()
	if err != nil {
		return err
	}
	s.Background()
	if err := s.Send(demandFrame(stock.Demand{})); err != nil {
		return err
	}
	go writeDemands(conn, s, one)
	return a.receiveReports(conn, s, one)
}

func writeDemands(conn *wire.Conn, s *wire.Stream, one *agentConn) {
	for {
		select {
		case <-conn.Done():
			return
		case d := <-one.demands:
			if err := s.Send(demandFrame(d)); err != nil {
				// Reading the same stream fails too and reports the cause.
				_ = conn.Close()
				return
			}
		}
	}
}

func demandFrame(d stock.Demand) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: wire.EncodeDemand(time.Now(), d)}}
}

func (a *agentConns) receiveReports(conn *wire.Conn, s *wire.Stream, one *agentConn) error {
	var last stock.Report
	connected := false
	var mismatchAt time.Time
	for {
		if err := s.SetReadDeadline(time.Now().Add(reportTimeout)); err != nil {
			return err
		}
		f, err := s.Recv()
		if err != nil {
			return err
		}
		body := f.GetStock()
		if body == nil {
			return wire.ErrUnexpected
		}
		last = wire.DecodeStock(time.Now(), body, last)
		if last.Instance != one.instance {
			if mismatchAt.IsZero() {
				mismatchAt = time.Now()
			}
			if time.Since(mismatchAt) < instanceChangeDelay {
				continue
			}
			if !a.changeInstance(one, last.Instance) {
				return errDuplicateAgent
			}
			a.d.loop.Post(relay.InstanceChanged{From: one.instance, Report: last})
			a.d.log.Info().Str("endpoint", last.Instance).Str("in-place-of", one.instance).Msg("endpoint started again")
			one.instance = last.Instance
		}
		mismatchAt = time.Time{}
		if !connected {
			connected = true
			a.d.log.Info().Str("endpoint", one.instance).Msg("agent connected")
		}
		a.d.loop.Post(relay.AgentReported{Report: last})
		if f.GetRevision() > (wireSelf{a.d}).Revision() && a.catchingUp.CompareAndSwap(false, true) {
			go a.catchUpRoutes(conn, f.GetRevision())
		}
	}
}

// rename keeps the connection under the name of the instance that has taken the
// endpoint's place; it returns false if that one has a connection of its own.
func (a *agentConns) changeInstance(one *agentConn, instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byInstance[instance] != nil || a.byInstance[one.instance] != one {
		return false
	}
	delete(a.byInstance, one.instance)
	a.byInstance[instance] = one
	return true
}

// catchUp waits for a version of the routes that an agent has, then reads the
// store again and asks the agent, whichever is faster.
func (a *agentConns) catchUpRoutes(conn *wire.Conn, version int64) {
	defer a.catchingUp.Store(false)
	select {
	case <-a.ctx.Done():
		return
	case <-time.After(routesWatchTimeout):
	}
	if (wireSelf{a.d}).Revision() >= version {
		return
	}
	a.d.log.Info().Int64("version", (wireSelf{a.d}).Revision()).Int64("known-elsewhere", version).Msg("routes lag behind")
	a.d.opts.OnStaleRoutes()
	if err := a.fetchRoutes(conn); err != nil {
		a.d.log.Warn().Err(err).Msg("routes not read from an agent")
	}
}

func (a *agentConns) fetchRoutes(conn *wire.Conn) error {
	s, err := conn.Open()
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(routesFetchTimeout)); err != nil {
		return err
	}
	ask := &wirepb.Routes{Version: (wireSelf{a.d}).Revision()}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Routes{Routes: ask}}); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	table, err := a.d.opts.DecodeRoutes(f.GetRoutes().GetDocument())
	if err != nil {
		return err
	}
	a.d.AdoptRoutes(table)
	return nil
}
