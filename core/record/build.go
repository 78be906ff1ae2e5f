package record

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// Set returns the accepted configuration without deleted records, for use by
// the other packages. It is built anew by each call.
func (s *State) Set() *Set {
	set := &Set{
		Revision: s.Revision(),
		Members:  map[fleet.MemberID]Member{},
		Models:   map[fleet.ModelID]Model{},
		Kinds:    map[fleet.KindID]Kind{},
		Services: map[fleet.ServiceID]Service{},
	}
	for _, o := range s.Objects() {
		if o.normalized != nil {
			set.add(o.normalized)
		}
	}
	return set
}

// add adds a record to the set. A model record adds one Model for each version.
func (set *Set) add(rec normalized) {
	switch rec := rec.(type) {
	case *member:
		id := fleet.MemberID(rec.Name)
		m := Member{ID: id, KeyHashes: slices.Clone(rec.KeyHashes), Running: rec.Running}
		for _, r := range rec.Rights {
			m.Rights = append(m.Rights, Right(r))
		}
		set.Members[id] = m
	case *model:
		for _, v := range rec.Versions {
			m := v.model(rec)
			set.Models[m.ID] = m
		}
	case *kind:
		id := fleet.KindID(rec.Name)
		set.Kinds[id] = Kind{ID: id, Urgency: rec.Urgency, Patience: time.Duration(rec.Patience), Idempotent: rec.Idempotent}
	case *service:
		id := fleet.ServiceID(rec.Name)
		set.Services[id] = Service{ID: id, Endpoints: slices.Clone(rec.Endpoints), Kind: rec.Kind}
	case *deployment:
		set.Deployment = Deployment{TailWeight: rec.TailWeight, LoadsPerSecond: rec.LoadsPerSecond, LoadsAtOnce: rec.LoadsAtOnce, DefaultKind: rec.DefaultKind}
	}
}

// model returns the version of the model base as a Model.
func (v version) model(base *model) Model {
	return Model{
		ID:          fleet.MakeModelID(base.Name, v.Version),
		Weights:     fleet.Bytes(v.Weights),
		Cache:       fleet.Bytes(v.Cache),
		Adapters:    toBytes(v.Adapters),
		CachedOn:    slices.Clone(v.CachedOn),
		WarmLimit:   v.WarmLimit,
		WarmFloor:   v.WarmFloor,
		Fenced:      v.Fenced,
		DefaultKind: base.DefaultKind,
	}
}
