package record

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// Config returns the accepted configuration without deleted records, for use by
// the other packages. It is built anew by each call.
func (s *State) Config() *Config {
	config := &Config{
		Revision: s.Revision(),
		Members:  map[fleet.MemberID]Member{},
		Models:   map[fleet.ModelID]Model{},
		Kinds:    map[fleet.KindID]Kind{},
		Services: map[fleet.ServiceID]Service{},
	}
	for _, o := range s.Objects() {
		if o.normalized != nil {
			config.add(o.normalized)
		}
	}
	return config
}

// add adds a record to the configuration. A model record adds one Model for each
// version.
func (c *Config) add(rec normalized) {
	switch rec := rec.(type) {
	case *member:
		id := fleet.MemberID(rec.Name)
		m := Member{ID: id, KeyHashes: slices.Clone(rec.KeyHashes), MaxRunning: rec.MaxRunning}
		for _, r := range rec.Rights {
			m.Rights = append(m.Rights, Right(r))
		}
		c.Members[id] = m
	case *model:
		for _, v := range rec.Versions {
			m := v.model(rec)
			c.Models[m.ID] = m
		}
	case *kind:
		id := fleet.KindID(rec.Name)
		c.Kinds[id] = Kind{ID: id, Urgency: rec.Urgency, Patience: time.Duration(rec.Patience), Idempotent: rec.Idempotent}
	case *service:
		id := fleet.ServiceID(rec.Name)
		c.Services[id] = Service{ID: id, Endpoints: slices.Clone(rec.Endpoints), Kind: rec.Kind}
	case *deployment:
		c.Deployment = Deployment{TailWeight: rec.TailWeight, LoadsPerSecond: rec.LoadsPerSecond, LoadsAtOnce: rec.LoadsAtOnce, DefaultKind: rec.DefaultKind}
	}
}

// model returns the version of the model base as a Model.
func (v version) model(base *model) Model {
	return Model{
		ID:          fleet.MakeModelID(base.Name, v.Version),
		Weights:     fleet.Bytes(v.Weights),
		KVCache:     fleet.Bytes(v.KVCache),
		Adapters:    toBytes(v.Adapters),
		CachedOn:    slices.Clone(v.CachedOn),
		WarmLimit:   v.WarmLimit,
		WarmFloor:   v.WarmFloor,
		ChecksFence: v.ChecksFence,
		DefaultKind: base.DefaultKind,
	}
}
