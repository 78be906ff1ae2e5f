package accept

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Timing of requests to peers.
const (
	// LongPollTimeout is how long a peer waits for a newer configuration before it
	// answers that there is none. The process that serves the request must limit the
	// context of Source.AwaitDelta to it.
	LongPollTimeout = 1200 * time.Millisecond
	// peerTimeout is the time after which a request to a peer counts as failed.
	peerTimeout = LongPollTimeout + 600*time.Millisecond
	// retryPreferredEvery is the number of successful requests after which the follower
	// returns to the preferred peer.
	retryPreferredEvery = 16
)

// Peer is another process that may have a newer configuration.
type Peer interface {
	// AwaitDelta returns the delta from the given accepted revision to the
	// configuration of the peer. A peer without a newer one waits for it for up to
	// LongPollTimeout and then returns an empty delta.
	AwaitDelta(ctx context.Context, from fleet.Revision) (record.Delta, error)
}

// Follower updates a source from peers, so that only some processes have to watch the
// key-value service, and a process can start while the service is unavailable.
type Follower struct {
	source *Source
	// peers returns the current peers, the preferred one first.
	peers  func() []Peer
	jitter jitterSleeper

	requests, failures metrics.Counter
}

// NewFollower returns a follower that updates the source. It calls peers before each
// request, so the list may change; see Roles for its order.
func NewFollower(source *Source, peers func() []Peer, opts Options) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		source:   source,
		peers:    peers,
		jitter:   newJitterSleeper(opts),
		requests: metrics.GetOrRegisterCounter("config-peers-asked", opts.Registry),
		failures: metrics.GetOrRegisterCounter("config-peers-failed", opts.Registry),
	}
}

// Run requests deltas from peers until the context ends. It stays with the preferred
// peer as long as that one answers. After a failure it asks all other peers at the same
// time and continues with the first that answers. From time to time it tries the
// preferred peer again.
func (f *Follower) Run(ctx context.Context) {
	current, answers := 0, 0
	full := false
	for ctx.Err() == nil {
		peers := f.peers()
		if len(peers) == 0 {
			f.jitter.sleep(ctx, minRetryDelay, maxRetryDelay)
			continue
		}
		if answers++; answers%retryPreferredEvery == 0 || current >= len(peers) {
			current = 0
		}
		err := f.requestDelta(ctx, peers[current], full)
		full = errors.Is(err, record.ErrDeltaGap) || errors.Is(err, record.ErrDigestMismatch)
		if err == nil {
			continue
		}
		f.failures.Inc(1)
		current, answers = f.requestFromOthers(ctx, peers, current, full), 0
	}
}

// requestFromOthers requests a delta from all peers except one at the same time and
// returns the index of the first that answered. If none answered, it waits for a
// random time and returns 0.
func (f *Follower) requestFromOthers(ctx context.Context, peers []Peer, except int, full bool) int {
	outer := ctx
	ctx, cancel := context.WithCancel(outer)
	answered := make(chan int, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		if i == except {
			continue
		}
		wg.Go(func() {
			if f.requestDelta(ctx, peer, full) == nil {
				answered <- i
				cancel()
			}
		})
	}
	wg.Wait()
	cancel()
	select {
	case first := <-answered:
		return first
	default:
		f.jitter.sleep(outer, minRetryDelay, maxRetryDelay)
		return 0
	}
}

// requestDelta requests a delta from one peer and applies it. If full is set, it
// requests the full state, which is needed if the deltas of the peers don't fit the
// state of the source.
func (f *Follower) requestDelta(ctx context.Context, peer Peer, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	f.requests.Inc(1)
	from := f.source.State().Revision()
	if full {
		from = 0
	}
	d, err := peer.AwaitDelta(ctx, from)
	if err != nil {
		return err
	}
	return f.source.ApplyDelta(d)
}

// Run updates the source until the context ends: from the key-value service if watcher
// is not nil, and from peers. A process with a watcher asks peers too, so that it still
// gets updates if only its own connection to the service is lost.
func Run(ctx context.Context, watcher *Watcher, follower *Follower) {
	var wg sync.WaitGroup
	if watcher != nil {
		wg.Go(func() { watcher.Run(ctx) })
	}
	wg.Go(func() { follower.Run(ctx) })
	wg.Wait()
}
