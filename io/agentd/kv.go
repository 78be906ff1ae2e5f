package agentd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/io/etcd"
)

// Prefixes of keys in the key-value service.
const (
	// PrefixIncarnation is the key prefix of the endpoints' incarnations; the endpoint ID
	// follows it.
	PrefixIncarnation = "/chervilreach/incarnation/"
	// PrefixPlacement is the key prefix of the models' placements; the model ID follows it.
	PrefixPlacement = "/chervilreach/placement/"
)

// etcdTimeout limits the reads and writes that one effect causes in the key-value service.
const etcdTimeout = time.Second

// incarnationValue is the value of an endpoint's incarnation key.
type incarnationValue struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	// WriteID identifies the write, so that an agent that got no response to a write can
	// find out whether it took effect.
	WriteID  string           `json:"write-id"`
	Process  fleet.ProcessID  `json:"process"`
	Endpoint fleet.EndpointID `json:"endpoint"`
	TakenAt  time.Time        `json:"at"`
}

// incarnationKey returns the key of this endpoint's incarnation.
func (d *Daemon) incarnationKey() string { return PrefixIncarnation + string(d.opt.Endpoint) }

// readStoredIncarnation returns the value of this endpoint's incarnation key and the key's
// revision, both zero if the key does not exist.
func (d *Daemon) readStoredIncarnation(ctx context.Context) (incarnationValue, fleet.Revision, error) {
	var v incarnationValue
	entry, err := d.opt.KV.Get(ctx, d.incarnationKey())
	if errors.Is(err, etcd.ErrNotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, fmt.Errorf("read incarnation: %w", err)
	}
	if err := json.Unmarshal(entry.Value, &v); err != nil {
		return v, 0, fmt.Errorf("read incarnation: %w", err)
	}
	return v, entry.Revision, nil
}

// takeIncarnation takes a new incarnation for this agent and posts it, or posts the failure.
func (d *Daemon) takeIncarnation(at time.Time) {
	ctx, cancel := context.WithTimeout(d.ctx, etcdTimeout)
	defer cancel()
	incarnation, err := d.incrementIncarnation(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("can't take a new incarnation")
		d.loop.Post(agent.IncarnationRead{Failed: true, RequestedAt: at})
		return
	}
	d.loop.Post(agent.IncarnationRead{Current: incarnation, Taken: true, RequestedAt: at})
}

// incrementIncarnation increments the stored incarnation and returns the new value. It
// fails with etcd.ErrConflict if another agent has written the key since it was read.
func (d *Daemon) incrementIncarnation(ctx context.Context) (fleet.Incarnation, error) {
	v, rev, err := d.readStoredIncarnation(ctx)
	if err != nil {
		return 0, err
	}
	next := incarnationValue{
		Incarnation: v.Incarnation + 1, WriteID: uuid.NewString(), Process: d.opt.Process,
		Endpoint: d.opt.Endpoint, TakenAt: time.Now().UTC(),
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("write incarnation: %w", err)
	}
	_, err = d.opt.KV.Write(ctx, []etcd.Put{{Key: d.incarnationKey(), Value: raw, ExpectRevision: rev}})
	if err == nil {
		return next.Incarnation, nil
	}
	if !errors.Is(err, etcd.ErrOutcomeUnknown) {
		return 0, fmt.Errorf("write incarnation: %w", err)
	}
	// The response was lost: read the key to find out whether the write took effect.
	stored, _, err := d.readStoredIncarnation(ctx)
	if err != nil {
		return 0, err
	}
	if stored.WriteID != next.WriteID {
		return 0, fmt.Errorf("write incarnation: %w", etcd.ErrConflict)
	}
	return next.Incarnation, nil
}

// readIncarnation reads the current incarnation and posts it. If it is still this agent's,
// a write confirms it, because a read alone may return a stale value.
func (d *Daemon) readIncarnation(eff agent.ReadIncarnation) {
	ctx, cancel := context.WithTimeout(d.ctx, etcdTimeout)
	defer cancel()
	v, rev, err := d.readStoredIncarnation(ctx)
	if err == nil && v.Incarnation == eff.Incarnation {
		err = d.confirmIncarnation(ctx, v, rev)
	}
	d.loop.Post(agent.IncarnationRead{Current: v.Incarnation, Failed: err != nil, RequestedAt: eff.At})
}

// confirmIncarnation writes the stored value again. It fails if the key no longer has
// revision rev.
func (d *Daemon) confirmIncarnation(ctx context.Context, v incarnationValue, rev fleet.Revision) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("confirm incarnation: %w", err)
	}
	if _, err := d.opt.KV.Write(ctx, []etcd.Put{{Key: d.incarnationKey(), Value: raw, ExpectRevision: rev}}); err != nil {
		return fmt.Errorf("confirm incarnation: %w", err)
	}
	return nil
}

// readAssignment reads the assignment of one model to this endpoint and posts it. A model
// without a placement has AssignmentNone.
func (d *Daemon) readAssignment(eff agent.ReadAssignment) {
	ctx, cancel := context.WithTimeout(d.ctx, etcdTimeout)
	defer cancel()
	none := agent.Assignment{Model: eff.Model, State: agent.AssignmentNone}
	entry, err := d.opt.KV.Get(ctx, PrefixPlacement+string(eff.Model))
	switch {
	case errors.Is(err, etcd.ErrNotFound):
		d.loop.Post(agent.AssignmentRead{Assignment: none, RequestedAt: eff.At})
	case err != nil:
		d.loop.Post(agent.AssignmentRead{Assignment: none, Failed: true, RequestedAt: eff.At})
	default:
		a, err := d.assignmentOf(entry)
		a.Model = eff.Model
		d.loop.Post(agent.AssignmentRead{Assignment: a, Failed: err != nil, RequestedAt: eff.At})
	}
}

// readAssignments reads all placements and posts this endpoint's assignments. Placements
// that can't be decoded are logged and skipped.
func (d *Daemon) readAssignments(at time.Time) {
	ctx, cancel := context.WithTimeout(d.ctx, etcdTimeout)
	defer cancel()
	entries, _, err := d.opt.KV.List(ctx, PrefixPlacement)
	ev := agent.AssignmentsRead{Failed: err != nil, RequestedAt: at}
	for _, entry := range entries {
		a, err := d.assignmentOf(entry)
		if err != nil {
			d.log.Warn().Err(err).Str("key", entry.Key).Msg("can't decode placement")
			continue
		}
		ev.Assignments = append(ev.Assignments, a)
	}
	d.loop.Post(ev)
}

// assignmentOf decodes a placement and returns this endpoint's assignment in it.
func (d *Daemon) assignmentOf(entry etcd.Entry) (agent.Assignment, error) {
	var p place.Placement
	if err := json.Unmarshal(entry.Value, &p); err != nil {
		return agent.Assignment{}, fmt.Errorf("read placement: %w", err)
	}
	a := agent.Assignment{Model: p.Model, Generation: p.Generation, State: agent.AssignmentNone}
	for rank, e := range p.Assigned() {
		if e.Endpoint == d.opt.Endpoint {
			a.State = agent.AssignmentAssigned
			a.Rank = rank
			return a, nil
		}
	}
	if _, ok := p.Find(d.opt.Endpoint); ok {
		a.State = agent.AssignmentReleasing
	}
	return a, nil
}
