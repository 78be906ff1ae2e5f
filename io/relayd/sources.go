package relayd

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// sourceCount is the number of agents that a router asks for the routes. Agents that are
	// asked watch the store for them.
	sourceCount = 3
	// sourceInterval is the time after which a router asks a source again. It is shorter than the
	// time for which an agent that is not asked goes on watching.
	sourceInterval = 5 * time.Second
	// sourceCheckInterval is how often a router checks which agents are its sources.
	sourceCheckInterval = 500 * time.Millisecond
	// firstReadTimeout is how long a router without routes waits for its own read of the store
	// before it requests the whole document from an agent.
	firstReadTimeout = 500 * time.Millisecond
	// deltaTimeout is how long an agent may take to send new routes before the store is read too,
	// and routesFetchTimeout how long at all. A whole document takes seconds over a slow link.
	deltaTimeout       = 400 * time.Millisecond
	routesFetchTimeout = 5 * time.Second
)

// askSources asks the agents that are sources for newer routes, until ctx ends. As all routers
// choose them by the same hash, few agents of the fleet are sources.
func (a *agentConns) askSources(ctx context.Context) {
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	askAt := make(map[*wire.Conn]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			asked := make(map[*wire.Conn]time.Time)
			for _, src := range a.sources() {
				next, ok := askAt[src.conn]
				if !ok || !now.Before(next) {
					next = now.Add(sourceInterval)
					go a.askSource(src)
				}
				asked[src.conn] = next
			}
			askAt = asked
		}
	}
}

// source is a connected agent that a router asks for the routes.
type source struct {
	hash     uint64
	instance string
	conn     *wire.Conn
}

// sources returns the connected agents whose addresses hash lowest, at most sourceCount.
func (a *agentConns) sources() []source {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []source
	for instance, agent := range a.byInstance {
		if conn := agent.conn.Load(); conn != nil {
			list = append(list, source{xxhash.Sum64String(agent.addr.String()), instance, conn})
		}
	}
	slices.SortFunc(list, func(a, b source) int { return cmp.Compare(a.hash, b.hash) })
	return list[:min(len(list), sourceCount)]
}

// Connected reports whether an agent is connected.
func (a *agentConns) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, agent := range a.byInstance {
		if agent.conn.Load() != nil {
			return true
		}
	}
	return false
}

// AgentsConnected reports whether an agent is connected.
func (d *Daemon) AgentsConnected() bool { return d.agents.connected() }

// AskForRoutes asks the sources for newer routes, or up to which revision of the store they have the
// newest. It does not block.
func (d *Daemon) AskForRoutes() {
	for _, src := range d.agents.sources() {
		go d.agents.askSource(src)
	}
}

// askSource asks a source for newer routes, so that it goes on watching for them.
func (a *agentConns) askSource(src source) {
	if a.d.opts.Routes.Version() == 0 {
		return
	}
	if err := a.fetchRoutes(src.conn, src.instance); err != nil {
		a.d.log.Info().Err(err).Str("endpoint", src.instance).Msg("could not ask agent for routes")
	}
}

// catchUpRoutes obtains a version of the routes that an agent has and the router lacks. If the agent
// does not send it in time, the store is read as well.
func (a *agentConns) catchUpRoutes(conn *wire.Conn, instance string, version int64) {
	defer a.catchingUp.Store(false)
	if a.d.opts.Routes.Version() == 0 {
		select {
		case <-a.ctx.Done():
			return
		case <-time.After(firstReadTimeout):
		}
	}
	late := time.AfterFunc(deltaTimeout, func() { a.d.opts.Routes.Want(version) })
	err := a.fetchRoutes(conn, instance)
	late.Stop()
	if err != nil {
		a.d.log.Warn().Err(err).Str("endpoint", instance).Msg("could not fetch routes from agent")
		a.d.opts.Routes.Want(version)
	}
}

// fetchRoutes requests newer routes from an agent and adopts them.
func (a *agentConns) fetchRoutes(conn *wire.Conn, instance string) error {
	s, err := conn.Open()
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(routesFetchTimeout)); err != nil {
		return err
	}
	version := a.d.opts.Routes.Version()
	request := &wirepb.Routes{Version: version, AcceptsDeltas: true}
	request.UnseenEra, request.UnseenRevision = a.d.opts.Routes.UnseenRevision().Wire()
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Routes{Routes: request}}); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	return a.adoptRoutes(f.GetRoutes(), instance)
}

// adoptRoutes adopts the routes that an agent has sent.
func (a *agentConns) adoptRoutes(m *wirepb.Routes, instance string) error {
	readAt, feed := time.Now(), a.d.opts.Routes
	switch {
	case m == nil:
		return wire.ErrUnexpectedFrame
	case len(m.GetChanges()) > 0:
		list, document, err := wire.DecodeChanges(m.GetChanges())
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return feed.Offer(document, instance, wire.StoreRevision(m), readAt)
		}
		return feed.OfferDeltas(list, instance, wire.StoreRevision(m), readAt)
	case len(m.GetDocument()) > 0:
		return feed.Offer(m.GetDocument(), instance, wire.StoreRevision(m), readAt)
	default:
		feed.Confirm(m.GetVersion(), wire.StoreRevision(m))
	}
	return nil
}
