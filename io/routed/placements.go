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

// PrefixPlacement is the prefix under which the key-value service holds the placements of
// models.
const PrefixPlacement = "/chervilreach/placement/"

// Timeouts and delays.
const (
	// etcdTimeout limits one read or write in the key-value service, including the grant of
	// a lease for it.
	etcdTimeout = time.Second
	// rewatchDelay is the pause before placements are listed again after a watch has ended.
	rewatchDelay = 250 * time.Millisecond
	// pushTimeout is how long an agent may take to answer a pushed assignment.
	pushTimeout = time.Second
)

// watchPlacements lists all placements and then watches them, until ctx is done. After a
// watch has ended it lists them again, because changes may have been missed.
func (d *Daemon) watchPlacements(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := d.listPlacements(ctx)
		if err == nil {
			err = d.opt.KV.Watch(ctx, PrefixPlacement, rev+1, d.handlePlacementChanges)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Debug().Err(err).Msg("can't watch placements; trying again")
		}
		sleep(ctx, rewatchDelay)
	}
}

// listPlacements posts all placements and returns the revision at which they were read.
func (d *Daemon) listPlacements(ctx context.Context) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, etcdTimeout)
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

// handlePlacementChanges posts changed placements.
func (d *Daemon) handlePlacementChanges(changes []etcd.Change) {
	for _, c := range changes {
		// The system never deletes placements, so a deletion must not be trusted.
		if !c.Deleted {
			d.postPlacement(c.Entry)
		}
	}
}

// postPlacement decodes a placement read from the key-value service and posts it. A
// placement that can't be decoded is posted with Failed set.
func (d *Daemon) postPlacement(entry etcd.Entry) {
	model := fleet.ModelID(strings.TrimPrefix(entry.Key, PrefixPlacement))
	ev := router.PlacementRead{Model: model, Revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &ev.Placement); err != nil {
		d.log.Warn().Err(err).Str("key", entry.Key).Msg("can't decode placement")
		ev.Failed = true
	}
	d.loop.Post(ev)
}

// readPlacement reads the placement of a model and posts it. If the key does not exist, it
// posts an empty placement with revision 0; if the read fails, Failed is set.
func (d *Daemon) readPlacement(model fleet.ModelID) {
	ctx, cancel := context.WithTimeout(d.ctx, etcdTimeout)
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

// writePlacement writes a placement if its key has the expected revision, and posts the
// result.
func (d *Daemon) writePlacement(eff router.WritePlacement) {
	ctx, cancel := context.WithTimeout(d.ctx, etcdTimeout)
	defer cancel()
	ev := router.PlacementWritten{Model: eff.Placement.Model, WriteID: eff.Placement.WriteID}
	raw, err := json.Marshal(eff.Placement)
	if err != nil {
		d.log.Error().Err(err).Msg("can't encode placement")
		ev.Result = router.WriteUnavailable
		d.loop.Post(ev)
		return
	}
	key := PrefixPlacement + string(eff.Placement.Model)
	ev.Revision, err = d.opt.KV.Write(ctx, []etcd.Put{{Key: key, Value: raw, ExpectRevision: eff.ExpectRevision}})
	ev.Result = writeResult(err)
	d.loop.Post(ev)
}

// writeResult returns the result of a write that returned err.
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

// pushAssignment sends an agent its assignment and posts the agent's answer. It posts
// nothing if there is no answer.
func (d *Daemon) pushAssignment(eff router.PushAssignment) {
	c, err := d.pool.get(eff.Endpoint, false)
	if err != nil {
		return
	}
	s, err := c.Open()
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	if err := s.SetDeadline(time.Now().Add(pushTimeout)); err != nil {
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
