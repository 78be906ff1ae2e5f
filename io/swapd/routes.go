package swapd

import (
	"time"

	"chervilreach/core/epoch"
	"chervilreach/core/route"
	"chervilreach/core/swap"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// AdoptRoutes sets the capacity of the endpoint's engine, which is nil if its service has no
// models, and the routes from which it was read, unless newer ones are known. Routers can fetch the
// document from the agent.
func (d *Daemon) AdoptRoutes(engine *route.Engine, version int64, document []byte) {
	d.mu.Lock()
	before, _ := d.routes.Latest()
	if version < before {
		d.mu.Unlock()
		return
	}
	if version > before {
		d.routes.Add(version, document)
		d.routesChanges = make(map[int64][]byte)
	}
	latest := d.latestReport
	d.mu.Unlock()
	if version > before && latest.Instance != "" {
		// Each frame carries the version. Routers whose watch of the store has missed the change
		// must learn of it soon.
		d.publish(latest, nil)
	}
	d.loop.Post(swap.EngineConfigured{Engine: engine})
}

// ConfirmRoutes notes that the routes were the newest at a revision of the store.
func (d *Daemon) ConfirmRoutes(revision epoch.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routesRevision = epoch.Latest(d.routesRevision, revision)
}

// RoutesVersion returns the version of the agent's routes; 0 if it has none.
func (d *Daemon) RoutesVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	version, _ := d.routes.Latest()
	return version
}

// RoutesAskedAt returns the time at which a router last asked for routes; zero if none has.
func (d *Daemon) RoutesAskedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routesAskedAt
}

// sendRoutes answers a router's request for the routes.
func (d *Daemon) sendRoutes(s *wire.Stream, ask *wirepb.Routes) {
	answer := d.routesSince(ask)
	if wire.UnseenRevision(ask).After(wire.StoreRevision(answer)) {
		d.opts.OnRoutesDoubted()
	}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Routes{Routes: answer}}); err != nil {
		d.log.Info().Err(err).Msg("could not send routes to router")
	}
}

// routesSince returns the routes for a router that has those of another version: nothing new, deltas
// or the whole document.
func (d *Daemon) routesSince(ask *wirepb.Routes) *wirepb.Routes {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routesAskedAt = time.Now()
	version, document := d.routes.Latest()
	answer := &wirepb.Routes{Version: version}
	answer.StoreEra, answer.StoreRevision = d.routesRevision.Wire()
	if !ask.GetAcceptsDeltas() {
		answer.Document = document
		return answer
	}
	if ask.GetVersion() < version {
		answer.Changes = d.changesSince(ask.GetVersion(), document)
	}
	return answer
}

// changesSince returns the compressed changes that lead from a version to the document, which is the
// latest one. The caller holds d.mu.
func (d *Daemon) changesSince(version int64, document []byte) []byte {
	list, ok := d.routes.Since(version)
	if !ok {
		// Versions that have no deltas share the document.
		version, list = 0, nil
	}
	if changes, ok := d.routesChanges[version]; ok {
		return changes
	}
	changes, err := wire.EncodeChanges(list, document)
	if err != nil {
		d.log.Error().Err(err).Int64("from", version).Msg("could not encode changes of routes")
	}
	d.routesChanges[version] = changes
	return changes
}
