package accept

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/etcd"
)

// maxProposeDelay limits the random wait before a proposal. It is scaled by the number
// of watchers, up to maxScaledProposeDelay. Most watchers find after their wait that
// another one has already proposed the change.
const (
	maxProposeDelay       = 250 * time.Millisecond
	maxScaledProposeDelay = time.Second
)

// maxStatusesPerWrite limits the statuses of rejected records in one transaction.
const maxStatusesPerWrite = 50

// Options configures a Watcher or a Follower. The zero value is usable.
type Options struct {
	// Seed seeds the random waits. It should differ between processes; 0 selects a
	// random seed.
	Seed uint64
	// WatcherCount returns the number of processes that currently run a Watcher. With more
	// of them, each one polls the heads less often and relies on its peers for changes
	// that its own watches miss. If it is nil, at most DefaultWatchers processes are assumed.
	WatcherCount func() int
	// Registry gets the counters; nil for none.
	Registry metrics.Registry
	Log      zerolog.Logger
	// NewID returns a unique write ID; nil selects random IDs.
	NewID func() string
}

// withDefaults returns the options with unset fields replaced by their defaults.
func (o Options) withDefaults() Options {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	for o.Seed == 0 {
		o.Seed = mathrand.Uint64()
	}
	return o
}

// Watcher follows the key-value service and proposes the records that operators have
// written. Several processes may run one: proposals replace the head by
// compare-and-swap, so only one of several concurrent proposals is applied. A few
// watchers in each region are enough; see Roles.
type Watcher struct {
	kv     KV
	source *Source
	opts   Options
	counts watcherCounts
	jitter jitterSleeper
	// rawMirror and acceptedMirror are mirrors of the keys under PrefixRaw and PrefixAccepted.
	rawMirror      *mirror
	acceptedMirror *mirror
	// wake makes Run call proposePending. It has a buffer of one, so that no wake-up is
	// lost.
	wake chan struct{}
	// parsedRecords contains the last parsed revision of each raw record.
	parsedRecords map[record.Key]record.Raw
	// statusCache contains the statuses in the service as last read or written. An
	// entry of revision 0 means that there is no status.
	statusCache map[record.Key]etcd.Entry
	// readFailing is set while the accepted configuration can't be read.
	readFailing atomic.Bool
	// rejected is the result of Rejected.
	rejected atomic.Pointer[[]record.Status]
}

// watcherCounts contains the counters of proposals by outcome, and of reads that returned
// an older configuration than the source had.
type watcherCounts struct {
	proposed, accepted, conflicts, unknownOutcomes, staleReads metrics.Counter
}

// NewWatcher returns a watcher that updates the source.
func NewWatcher(kv KV, source *Source, opts Options) *Watcher {
	opts = opts.withDefaults()
	w := &Watcher{
		kv: kv, source: source, opts: opts,
		counts: watcherCounts{
			proposed:        metrics.GetOrRegisterCounter("config-proposals", opts.Registry),
			accepted:        metrics.GetOrRegisterCounter("config-proposals-accepted", opts.Registry),
			conflicts:       metrics.GetOrRegisterCounter("config-proposals-conflicting", opts.Registry),
			unknownOutcomes: metrics.GetOrRegisterCounter("config-proposals-unknown", opts.Registry),
			staleReads:      metrics.GetOrRegisterCounter("config-reads-behind", opts.Registry),
		},
		jitter:        newJitterSleeper(opts),
		wake:          make(chan struct{}, 1),
		parsedRecords: map[record.Key]record.Raw{},
		statusCache:   map[record.Key]etcd.Entry{},
	}
	w.rawMirror = newMirror(kv, PrefixRaw, w.jitter, w.wakeProposer)
	w.acceptedMirror = newMirror(kv, PrefixAccepted, w.jitter, func() {
		w.syncSource()
		w.wakeProposer()
	})
	return w
}

// Run follows the service and proposes records until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.rawMirror.run(ctx) })
	wg.Go(func() { w.acceptedMirror.run(ctx) })
	for ctx.Err() == nil {
		select {
		case <-w.wake:
			w.proposePending(ctx)
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// wakeProposer causes Run to call proposePending. It does not block.
func (w *Watcher) wakeProposer() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// view is the basis of a proposal: an accepted state, and the revisions of all keys
// under PrefixAccepted in the service while they contained this state.
type view struct {
	base         *record.State
	keyRevisions map[string]fleet.Revision
}

// proposePending proposes the records that are written but not accepted yet, after a
// random wait.
func (w *Watcher) proposePending(ctx context.Context) {
	v, ok := w.syncSource()
	if !ok || !w.rawMirror.isReady() || !w.hasPending(v.base) {
		return
	}
	// Most watchers find the records accepted after their wait.
	if !w.jitter.sleep(ctx, 0, min(w.jitter.scaleByWatchers(maxProposeDelay), maxScaledProposeDelay)) {
		return
	}
	if v, ok = w.syncSource(); !ok {
		return
	}
	p, err := w.buildProposal(ctx, v)
	if err != nil {
		w.retryLater(ctx)
		return
	}
	if len(p.puts) > 0 {
		w.writeProposal(ctx, p)
	}
}

// hasPending reports whether there are raw records newer than the accepted ones,
// rejected ones included. It updates the result of Rejected.
func (w *Watcher) hasPending(base *record.State) bool {
	next, statuses := record.Accept(base, w.rawRecords())
	rejected := slices.DeleteFunc(slices.Clone(statuses), func(s record.Status) bool {
		return s.Verdict != record.VerdictRejected
	})
	w.rejected.Store(&rejected)
	return next != base || len(statuses) > 0
}

// Rejected returns the statuses of the written records that are not in effect, as of the
// last validation in this process. It is safe for concurrent use; the result must not be
// modified.
func (w *Watcher) Rejected() []record.Status {
	if list := w.rejected.Load(); list != nil {
		return *list
	}
	return nil
}

// syncSource applies the accepted configuration in the service to the source. It returns
// a view of it and reports whether the source then has exactly this configuration; only
// then may a proposal be based on it.
func (w *Watcher) syncSource() (view, bool) {
	if !w.acceptedMirror.isReady() {
		return view{}, false
	}
	entries := w.acceptedMirror.existingEntries()
	d, err := decodeDelta(w.source.State(), entries)
	if err == nil {
		err = w.applyToSource(d)
	}
	if err != nil {
		w.acceptedMirror.invalidate()
		w.logReadError(err)
		return view{}, false
	}
	w.logReadError(nil)
	v := view{base: w.source.State(), keyRevisions: make(map[string]fleet.Revision, len(entries))}
	if d.Revision != v.base.Revision() {
		// The read was stale, or a peer had a newer revision. The source keeps the newer
		// one.
		w.counts.staleReads.Inc(1)
		return view{}, false
	}
	for _, e := range entries {
		v.keyRevisions[e.Key] = e.Revision
	}
	return v, true
}

// applyToSource applies a delta read from the service to the source. If the service and
// the source have the same revision with different digests, it returns
// record.ErrDigestMismatch.
func (w *Watcher) applyToSource(d record.Delta) error {
	if err := w.source.ApplyDelta(d); err != nil {
		return err
	}
	state := w.source.State()
	if d.Revision == state.Revision() && d.Digest != state.Digest() {
		return fmt.Errorf("%w: revision %d differs in the key-value service", record.ErrDigestMismatch, d.Revision)
	}
	return nil
}

// logReadError logs when reads of the accepted configuration start to fail and when they
// succeed again. A nil err means success.
func (w *Watcher) logReadError(err error) {
	if w.readFailing.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		w.opts.Log.Warn().Err(err).Msg("accepted configuration can't be read")
		return
	}
	w.opts.Log.Info().Msg("accepted configuration can be read again")
}

// rawRecords returns all raw records. Each revision of a record is parsed only once.
func (w *Watcher) rawRecords() []record.Raw {
	var rawRecords []record.Raw
	for _, e := range w.rawMirror.existingEntries() {
		key, ok := RecordKey(PrefixRaw, e.Key)
		if !ok {
			continue
		}
		known, ok := w.parsedRecords[key]
		if !ok || known.Revision != e.Revision {
			known = record.ParseStored(key, e.Value, e.Revision)
			w.parsedRecords[key] = known
		}
		rawRecords = append(rawRecords, known)
	}
	return rawRecords
}

// proposal is the content of one transaction: a new accepted state, or statuses of
// records, or both. If no record is newly accepted, next is equal to base.
type proposal struct {
	base, next *record.State
	writeID    string
	puts       []etcd.Put
	statuses   []record.Status
}

// buildProposal validates the raw records against the view and returns the resulting
// transaction. If there is nothing to write, its puts are empty.
func (w *Watcher) buildProposal(ctx context.Context, v view) (proposal, error) {
	base := v.base
	next, statuses := record.Accept(base, w.rawRecords())
	p := proposal{base: base, next: next, writeID: w.opts.NewID()}
	if next != base {
		if err := w.addState(&p, v.keyRevisions); err != nil {
			return p, err
		}
	}
	for _, s := range statuses {
		if next != base && s.Verdict == record.VerdictRejected {
			continue // validated again after the accepted records have taken effect
		}
		if err := w.addStatus(ctx, &p, s); err != nil {
			return p, err
		}
		if len(p.statuses) == maxStatusesPerWrite {
			break
		}
	}
	return p, nil
}

// addState adds the writes of the head and of the changed records to the proposal.
func (w *Watcher) addState(p *proposal, expect map[string]fleet.Revision) error {
	head, err := json.Marshal(Head{
		Revision: p.next.Revision(), Previous: p.base.Revision(), WriteID: p.writeID, Digest: p.next.Digest(),
	})
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	p.puts = append(p.puts, etcd.Put{Key: AcceptedHeadKey(), Value: head, ExpectRevision: expect[AcceptedHeadKey()]})
	for _, o := range p.next.DeltaSince(p.base.Revision()).Objects {
		value, err := json.Marshal(o)
		if err != nil {
			return fmt.Errorf("encode %s: %w", o.Key, err)
		}
		key := AcceptedKey(o.Key)
		p.puts = append(p.puts, etcd.Put{Key: key, Value: value, ExpectRevision: expect[key]})
	}
	return nil
}

// addStatus adds the write of a status to the proposal, unless the status in the service
// need not be replaced.
func (w *Watcher) addStatus(ctx context.Context, p *proposal, s record.Status) error {
	s.ValidatedAgainst = p.next.Revision()
	if s.Verdict == record.VerdictAccepted {
		delete(w.statusCache, s.Key)
	}
	known, err := w.readStatus(ctx, s.Key)
	if err != nil {
		return err
	}
	if before, err := DecodeStatus(known.Value); err == nil && !s.Replaces(before) {
		return nil
	}
	value, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode status of %s: %w", s.Key, err)
	}
	p.puts = append(p.puts, etcd.Put{Key: StatusKey(s.Key), Value: value, ExpectRevision: known.Revision})
	p.statuses = append(p.statuses, s)
	return nil
}

// readStatus returns the entry with the status of a record, from statusCache if
// possible. Without a status in the service it is the zero Entry.
func (w *Watcher) readStatus(ctx context.Context, key record.Key) (etcd.Entry, error) {
	if known, ok := w.statusCache[key]; ok {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := w.kv.Get(ctx, StatusKey(key))
	if err != nil && !errors.Is(err, etcd.ErrNotFound) {
		return etcd.Entry{}, err
	}
	w.statusCache[key] = e
	return e, nil
}
