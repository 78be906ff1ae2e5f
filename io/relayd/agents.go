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
	redialFirst = 100 * time.Millisecond
	redialMost  = 2 * time.Second
	// asksQueued bounds the demands that wait for a slow connection; each replaces
	// the one before.
	asksQueued = 1
	// renameTime is how long an agent has to report another instance than the list
	// names until it is believed: its first reports may be older than the list.
	renameTime = 700 * time.Millisecond
	// lagTime is how long a router waits for its own watch to bring routes that
	// others have already.
	lagTime = 500 * time.Millisecond
	// fetchTime bounds the reading of routes from an agent.
	fetchTime = time.Second
	// reportTime is the longest silence of an agent that still counts as connected:
	// agents of many routers report every few seconds. Pings find a connection that
	// is gone much sooner.
	reportTime = 30 * time.Second
)

var errReplaced = errors.New("another instance has taken the endpoint's place")

// agents are the connections to the agents beside the endpoints on the list.
type agents struct {
	d    *Daemon
	peer *wire.Peer
	// ctx ends with the daemon.
	ctx  context.Context
	stop context.CancelFunc
	mu   sync.Mutex
	open map[string]*agent
	// lagging says that a later version of the routes is being looked for.
	lagging atomic.Bool
}

// agent is the connection to one.
type agent struct {
	instance string
	addr     netip.AddrPort
	asks     chan stock.Demand
	stop     context.CancelFunc
}

func newAgents(d *Daemon) *agents {
	a := &agents{d: d, open: make(map[string]*agent)}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.peer = d.peer()
	return a
}

// follow connects to the agents of the endpoints on the list and lets go of the
// others.
func (a *agents) follow(list []relay.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		addr := a.d.opts.AgentOf(m)
		if !addr.IsValid() {
			continue
		}
		listed[m.Instance] = true
		if a.open[m.Instance] != nil {
			continue
		}
		ctx, stop := context.WithCancel(a.ctx)
		one := &agent{instance: m.Instance, addr: addr, asks: make(chan stock.Demand, asksQueued), stop: stop}
		a.open[m.Instance] = one
		go a.keep(ctx, one)
	}
	for id, one := range a.open {
		if !listed[id] {
			one.stop()
			delete(a.open, id)
		}
	}
}

// ask sends a demand; an older one that still waits is replaced.
func (a *agents) ask(eff relay.SendDemand) {
	a.mu.Lock()
	one := a.open[eff.Instance]
	a.mu.Unlock()
	if one == nil {
		return
	}
	for {
		select {
		case one.asks <- eff.Demand:
			return
		default:
		}
		select {
		case <-one.asks:
		default:
		}
	}
}

// keep connects again and again until the endpoint is gone.
func (a *agents) keep(ctx context.Context, one *agent) {
	pause := redialFirst
	for ctx.Err() == nil {
		begun := time.Now()
		err := a.converse(ctx, one)
		if ctx.Err() != nil {
			return
		}
		a.d.loop.Post(relay.AgentLost{Instance: one.instance})
		a.d.log.Info().Err(err).Str("endpoint", one.instance).Stringer("address", one.addr).
			Msg("agent not connected")
		if time.Since(begun) > redialMost {
			pause = redialFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}

// converse exchanges demands and reports until the connection fails.
func (a *agents) converse(ctx context.Context, one *agent) error {
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
	go sendAsks(conn, s, one)
	return a.receive(conn, s, one)
}

func sendAsks(conn *wire.Conn, s *wire.Stream, one *agent) {
	for {
		select {
		case <-conn.Done():
			return
		case d := <-one.asks:
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

func (a *agents) receive(conn *wire.Conn, s *wire.Stream, one *agent) error {
	var last stock.Report
	connected := false
	var mismatchAt time.Time
	for {
		if err := s.SetReadDeadline(time.Now().Add(reportTime)); err != nil {
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
			if time.Since(mismatchAt) < renameTime {
				continue
			}
			if !a.rename(one, last.Instance) {
				return errReplaced
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
		if f.GetRevision() > (self{a.d}).Revision() && a.lagging.CompareAndSwap(false, true) {
			go a.catchUp(conn, f.GetRevision())
		}
	}
}

// rename keeps the connection under the name of the instance that has taken the
// endpoint's place; it returns false if that one has a connection of its own.
func (a *agents) rename(one *agent, instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[instance] != nil || a.open[one.instance] != one {
		return false
	}
	delete(a.open, one.instance)
	a.open[instance] = one
	return true
}

// catchUp waits for a version of the routes that an agent has, then reads the
// store again and asks the agent, whichever is faster.
func (a *agents) catchUp(conn *wire.Conn, version int64) {
	defer a.lagging.Store(false)
	select {
	case <-a.ctx.Done():
		return
	case <-time.After(lagTime):
	}
	if (self{a.d}).Revision() >= version {
		return
	}
	a.d.log.Info().Int64("version", (self{a.d}).Revision()).Int64("known-elsewhere", version).Msg("routes lag behind")
	a.d.opts.Lagging()
	if err := a.fetchRoutes(conn); err != nil {
		a.d.log.Warn().Err(err).Msg("routes not read from an agent")
	}
}

func (a *agents) fetchRoutes(conn *wire.Conn) error {
	s, err := conn.Open()
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(fetchTime)); err != nil {
		return err
	}
	ask := &wirepb.Routes{Version: (self{a.d}).Revision()}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Routes{Routes: ask}}); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	table, err := a.d.opts.Decode(f.GetRoutes().GetDocument())
	if err != nil {
		return err
	}
	a.d.Adopt(table)
	return nil
}
