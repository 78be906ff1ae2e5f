package accept

import (
	"context"
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Source holds the configuration that is in effect in this process. Deltas come from the
// key-value service or from peers; deltas that are not newer are ignored. It is safe for
// concurrent use.
type Source struct {
	applied, refused metrics.Counter
	revision         metrics.Gauge

	mu      sync.Mutex
	state   *record.State
	config  *record.Config
	changed chan struct{}

	// deliverMu serializes the calls of subscribers, so that they get revisions in
	// order. It is locked before mu.
	deliverMu   sync.Mutex
	subscribers []func(*record.Config)
}

// NewSource returns a source with the empty configuration of revision 0. The registry
// gets its counters and a gauge of the revision.
func NewSource(reg metrics.Registry) *Source {
	var empty *record.State
	return &Source{
		applied:  metrics.GetOrRegisterCounter("config-applied", reg),
		refused:  metrics.GetOrRegisterCounter("config-refused", reg),
		revision: metrics.GetOrRegisterGauge("config-revision", reg),
		config:   empty.Config(),
		changed:  make(chan struct{}),
	}
}

// Current returns the configuration in effect. It is never nil and must not be
// modified.
func (s *Source) Current() *record.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// State returns the configuration in effect with the origin of each record. It is nil
// for the empty configuration of revision 0.
func (s *Source) State() *record.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Subscribe calls fn with the configuration in effect before it returns, and later with
// each newer one, in the order of revisions. The calls are made by ApplyDelta, so fn
// must not block, nor call Subscribe or ApplyDelta.
func (s *Source) Subscribe(fn func(*record.Config)) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	fn(s.Current())
}

// ApplyDelta applies a delta if it is newer than the configuration in effect, and
// otherwise does nothing. It returns the errors of record.State.Apply. After
// record.ErrDeltaGap or record.ErrDigestMismatch the caller must request the whole
// state, which is the delta from revision 0.
func (s *Source) ApplyDelta(d record.Delta) error {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	before := s.State()
	next, err := before.Apply(d)
	if err != nil {
		s.refused.Inc(1)
		return fmt.Errorf("apply configuration: %w", err)
	}
	if next == before {
		return nil
	}
	config := next.Config()
	s.mu.Lock()
	s.state, s.config = next, config
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.applied.Inc(1)
	s.revision.Update(int64(next.Revision()))
	for _, fn := range s.subscribers {
		fn(config)
	}
	return nil
}

// DeltaSince returns the delta from the given accepted revision to the configuration in
// effect.
func (s *Source) DeltaSince(from fleet.Revision) record.Delta {
	return s.State().DeltaSince(from)
}

// AwaitDelta waits until the configuration in effect is newer than the given
// accepted revision and returns the delta from it. If ctx ends first, it returns an
// empty delta and no error. AwaitDelta implements Peer and serves the requests of
// peers.
func (s *Source) AwaitDelta(ctx context.Context, from fleet.Revision) (record.Delta, error) {
	for {
		s.mu.Lock()
		state, changed := s.state, s.changed
		s.mu.Unlock()
		if state.Revision() > from {
			return state.DeltaSince(from), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return record.Delta{From: from, Revision: from}, nil
		}
	}
}
