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
	// redialMinDelay and redialMaxDelay bound the backoff between attempts to connect to
	// an agent. They are short because requests for models that are not loaded wait for
	// the connection.
	redialMinDelay = 100 * time.Millisecond
	redialMaxDelay = 2 * time.Second
	// demandQueueSize is the number of demands that are queued for a slow connection. One
	// is enough, as each demand replaces the previous one.
	demandQueueSize = 1
	// instanceChangeDelay is how long an agent must report a different instance than the
	// listed one before the change is accepted. Its first reports may be older than the
	// list.
	instanceChangeDelay = 700 * time.Millisecond
	// reportTimeout is the longest time without a report before the connection to an agent
	// is closed. Agents of many routers report only every few seconds, and pings detect a
	// dead connection much sooner.
	reportTimeout = 30 * time.Second
)

// errDuplicateAgent ends a connection whose agent now reports an instance that has a
// connection of its own.
var errDuplicateAgent = errors.New("the agent's new instance has another connection")

// agentConns manages the connections to the agents that the router follows (see package
// relay). All methods may be called concurrently.
type agentConns struct {
	d         *Daemon
	transport *wire.Transport
	// ctx is canceled by stop when the daemon ends.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// byInstance holds the connections by the instance name of the endpoint.
	byInstance map[string]*agentConn
	// catchingUp reports whether a catchUpRoutes call is in progress. At most one runs at a
	// time.
	catchingUp atomic.Bool
}

// agentConn is the connection to one agent, including the periods in which it is
// reconnected.
type agentConn struct {
	// instance is the name of the endpoint's instance. Only the connection's own goroutine
	// uses it.
	instance string
	addr     netip.AddrPort
	// demands queues the demand that has not been sent yet.
	demands chan stock.Demand
	stop    context.CancelFunc
	// conn is the connection; nil while there is none.
	conn atomic.Pointer[wire.Conn]
}

func newAgentConns(d *Daemon) *agentConns {
	a := &agentConns{d: d, byInstance: make(map[string]*agentConn)}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.transport = d.newTransport()
	return a
}

// follow connects to the agents of the listed endpoints and closes the connections to all
// other agents. Endpoints without an agent are skipped.
func (a *agentConns) follow(list []relay.EndpointEntry) {
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
		agent := &agentConn{instance: m.Instance, addr: addr, demands: make(chan stock.Demand, demandQueueSize), stop: stop}
		a.byInstance[m.Instance] = agent
		go a.maintain(ctx, agent)
	}
	for id, agent := range a.byInstance {
		if !listed[id] {
			agent.stop()
			delete(a.byInstance, id)
		}
	}
}

// sendDemand queues a demand for the agent of an endpoint and returns at once. It replaces
// a demand that has not been sent yet. It does nothing if the agent is not followed.
func (a *agentConns) sendDemand(eff relay.SendDemand) {
	a.mu.Lock()
	agent := a.byInstance[eff.Instance]
	a.mu.Unlock()
	if agent == nil {
		return
	}
	for {
		select {
		case agent.demands <- eff.Demand:
			return
		default:
		}
		select {
		case <-agent.demands:
		default:
		}
	}
}

// maintain keeps the connection open: it reconnects with backoff until ctx is canceled
// because the endpoint is no longer followed.
func (a *agentConns) maintain(ctx context.Context, agent *agentConn) {
	delay := redialMinDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := a.runConnection(ctx, agent)
		if ctx.Err() != nil {
			return
		}
		a.d.loop.Post(relay.AgentLost{Instance: agent.instance})
		a.d.log.Info().Err(err).Str("endpoint", agent.instance).Stringer("address", agent.addr).
			Msg("agent not connected")
		if time.Since(startedAt) > redialMaxDelay {
			delay = redialMinDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, redialMaxDelay)
	}
}

// runConnection connects to the agent and exchanges demands and reports with it until the
// connection fails. It returns the cause.
func (a *agentConns) runConnection(ctx context.Context, agent *agentConn) error {
	conn, err := a.transport.Dial(ctx, agent.addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	s, err := conn.OpenBackground()
	if err != nil {
		return err
	}
	if err := s.Send(demandFrame(stock.Demand{})); err != nil {
		return err
	}
	agent.conn.Store(conn)
	defer agent.conn.Store(nil)
	go writeDemands(conn, s, agent)
	return a.receiveReports(conn, s, agent)
}

// writeDemands sends the queued demands until the connection ends.
func writeDemands(conn *wire.Conn, s *wire.Stream, agent *agentConn) {
	for {
		select {
		case <-conn.Done():
			return
		case d := <-agent.demands:
			if err := s.Send(demandFrame(d)); err != nil {
				// receiveReports then fails on the same stream and returns the cause.
				_ = conn.Close()
				return
			}
		}
	}
}

// demandFrame encodes a demand.
func demandFrame(d stock.Demand) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: wire.EncodeDemand(time.Now(), d)}}
}

// receiveReports passes the agent's reports to the reducer until the connection fails. It
// also handles changes of the instance and fetches newer routes that the agent has.
func (a *agentConns) receiveReports(conn *wire.Conn, s *wire.Stream, agent *agentConn) error {
	var report stock.Report
	connected := false
	var mismatchSince time.Time
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
			return wire.ErrUnexpectedFrame
		}
		report = wire.DecodeStock(time.Now(), body, report)
		if report.Instance != agent.instance {
			if mismatchSince.IsZero() {
				mismatchSince = time.Now()
			}
			if time.Since(mismatchSince) < instanceChangeDelay {
				continue
			}
			if !a.changeInstance(agent, report.Instance) {
				return errDuplicateAgent
			}
			a.d.loop.Post(relay.InstanceChanged{From: agent.instance, Report: report})
			a.d.log.Info().Str("endpoint", report.Instance).Str("in-place-of", agent.instance).Msg("endpoint started again")
			agent.instance = report.Instance
		}
		mismatchSince = time.Time{}
		if !connected {
			connected = true
			a.d.log.Info().Str("endpoint", agent.instance).Msg("agent connected")
		}
		a.d.loop.Post(relay.AgentReported{Report: report})
		if f.GetRevision() > (selfInfo{a.d}).Revision() && a.catchingUp.CompareAndSwap(false, true) {
			go a.catchUpRoutes(conn, agent.instance, f.GetRevision())
		}
	}
}

// changeInstance registers the connection under the instance that now runs at the endpoint
// instead of the previous one. It returns false if that instance has a connection of its own,
// or if the endpoint is no longer followed.
func (a *agentConns) changeInstance(agent *agentConn, instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byInstance[instance] != nil || a.byInstance[agent.instance] != agent {
		return false
	}
	delete(a.byInstance, agent.instance)
	a.byInstance[instance] = agent
	return true
}
