package routed

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/router"
	"chervilreach/io/etcd"
	"chervilreach/io/wire/wirepb"
)

// PrefixPlacement is the prefix of the models' placements in the key-value
// service.
const PrefixPlacement = "/chervilreach/placement/"

// Bounds of calls of the key-value service.
const (
	sharedBound = time.Second
	watchPause  = 250 * time.Millisecond
	// pushBound is how long an agent may take to answer a push.
	pushBound = time.Second
)

// followPlacements lists all placements and then watches them. After a watch
// has ended it lists again, as changes may have been missed.
func (d *Daemon) followPlacements(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := d.listPlacements(ctx)
		if err == nil {
			err = d.opt.KV.Watch(ctx, PrefixPlacement, rev+1, d.placementsChanged)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Debug().Err(err).Msg("placements not watched")
		}
		wait(ctx, watchPause)
	}
}

func (d *Daemon) listPlacements(ctx context.Context) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, sharedBound)
	defer cancel()
	entries, rev, err := d.opt.KV.List(ctx, PrefixPlacement)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		d.postPlacement(entry)
	}
	d.loop.Post(router.PlacementsSynced{})
	return rev, nil
}

func (d *Daemon) placementsChanged(changes []etcd.Change) {
	for _, c := range changes {
		// Placements are never deleted; a deleted one can't be trusted.
		if !c.Deleted {
			d.postPlacement(c.Entry)
		}
	}
}

func (d *Daemon) postPlacement(entry etcd.Entry) {
	model := fleet.ModelID(strings.TrimPrefix(entry.Key, PrefixPlacement))
	ev := router.PlacementRead{Model: model, Revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &ev.Placement); err != nil {
		d.log.Warn().Err(err).Str("key", entry.Key).Msg("placement not understood")
		ev.Failed = true
	}
	d.loop.Post(ev)
}

func (d *Daemon) readPlacement(model fleet.ModelID) {
	ctx, cancel := context.WithTimeout(d.ctx, sharedBound)
	defer cancel()
	entry, err := d.opt.KV.Get(ctx, PrefixPlacement+string(model))
	switch {
	case errors.Is(err, etcd.ErrNotFound):
		d.loop.Post(router.PlacementRead{Model: model, Placement: place.Placement{Model: model}})
	case err != nil:
		d.loop.Post(router.PlacementRead{Model: model, Failed: true})
	default:
		d.postPlacement(entry)
	}
}

func (d *Daemon) writePlacement(eff router.WritePlacement) {
	ctx, cancel := context.WithTimeout(d.ctx, sharedBound)
	defer cancel()
	ev := router.PlacementWritten{Model: eff.Placement.Model, WriteID: eff.Placement.WriteID}
	raw, err := json.Marshal(eff.Placement)
	if err != nil {
		d.log.Error().Err(err).Msg("placement not encoded")
		ev.Result = router.WriteUnavailable
		d.loop.Post(ev)
		return
	}
	key := PrefixPlacement + string(eff.Placement.Model)
	ev.Revision, err = d.opt.KV.Write(ctx, []etcd.Put{{Key: key, Value: raw, Expect: eff.ExpectRevision}})
	ev.Result = writeResult(err)
	d.loop.Post(ev)
}

func writeResult(err error) router.WriteResult {
	switch {
	case err == nil:
		return router.WriteDone
	case errors.Is(err, etcd.ErrConflict):
		return router.WriteConflict
	case errors.Is(err, etcd.ErrOutcomeUnknown):
		return router.WriteUnknown
	default:
		return router.WriteUnavailable
	}
}

// pushAssign tells an agent about an assignment and posts how far it has got.
func (d *Daemon) pushAssign(eff router.PushAssignment) {
	c, err := d.pool.get(eff.Endpoint, false)
	if err != nil {
		return
	}
	s, err := c.Open()
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(pushBound)); err != nil {
		return
	}
	push := &wirepb.Assign{
		Model: string(eff.Model), Generation: uint64(eff.Generation), State: string(eff.State),
	}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_Assign{Assign: push}}); err != nil {
		return
	}
	f, err := s.Recv()
	if err != nil {
		return
	}
	d.loop.Post(router.AssignmentAnswered{
		Endpoint: eff.Endpoint, Model: eff.Model,
		Generation: fleet.Generation(f.GetAssignResult().GetGeneration()),
		State:      f.GetAssignResult().GetState(),
	})
}
