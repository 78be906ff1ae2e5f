package agentd

import (
	"context"
	"sync"

	"chervilreach/core/fleet"
)

// runs holds the cancel functions of the operations in progress, either
// requests or engine orders, by ID. It is safe for concurrent use.
type runs[K comparable] struct {
	mu          sync.Mutex
	cancelFuncs map[K]context.CancelFunc
}

func newRuns[K comparable]() runs[K] { return runs[K]{cancelFuncs: make(map[K]context.CancelFunc)} }

func (r *runs[K]) add(id K, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelFuncs[id] = cancel
}

// take removes an operation and returns its cancel function. It reports false
// if the operation is not in progress.
func (r *runs[K]) take(id K) (context.CancelFunc, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cancel, ok := r.cancelFuncs[id]
	delete(r.cancelFuncs, id)
	return cancel, ok
}

// stop cancels an operation in this process; the engine is not notified. It does
// nothing if the operation is not in progress.
func (r *runs[K]) stop(id K) {
	if cancel, ok := r.take(id); ok {
		cancel()
	}
}

// cancelRun cancels a running request, first in the engine and then in this
// process.
func (d *Daemon) cancelRun(id fleet.RequestID) {
	cancel, ok := d.runs.take(id)
	if !ok {
		return
	}
	if d.engine != nil {
		if err := d.engine.Cancel(d.ctx, id); err != nil {
			d.log.Debug().Err(err).Str("request", string(id)).Msg("can't cancel request in engine")
		}
	}
	cancel()
}
