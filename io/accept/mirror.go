package accept

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/etcd"
)

// Timing of the mirror.
const (
	// minPollInterval and maxPollInterval limit the random time between two reads of the
	// head, scaled by the number of watchers. The reads detect changes that a watch
	// without an error did not deliver.
	minPollInterval = 700 * time.Millisecond
	maxPollInterval = 900 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the random wait after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// callTimeout limits each call except watches.
	callTimeout = time.Second
)

// mirror holds the latest known entries of all keys with a prefix. It never replaces
// a value by one with an older revision, in whatever order the results of reads and
// watches arrive. It is safe for concurrent use.
type mirror struct {
	kv     KV
	prefix string
	// onChange is called after a list or a watch has updated entries, without mu held.
	onChange func()
	jitter   jitterSleeper

	mu      sync.Mutex
	entries map[string]mirrorEntry
	// seenRevision is the revision up to which all changes are known.
	seenRevision fleet.Revision
	// allKeysRead reports whether all keys have been read; false makes run read them again.
	allKeysRead bool
}

// mirrorEntry is the latest known entry of one key. The entry of a deleted key is kept,
// with the revision as of which the key was absent.
type mirrorEntry struct {
	etcd.Entry
	deleted bool
}

// newMirror returns an empty mirror of the keys with the prefix.
func newMirror(kv KV, prefix string, jitter jitterSleeper, onChange func()) *mirror {
	return &mirror{kv: kv, prefix: prefix, jitter: jitter, onChange: onChange, entries: map[string]mirrorEntry{}}
}

// run keeps the mirror up to date until the context ends.
func (m *mirror) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.watch(ctx) })
	wg.Go(func() { m.poll(ctx) })
	wg.Wait()
}

// watch applies the changes from a watch, and reads all keys first if needed.
func (m *mirror) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.isReady() && m.readAll(ctx) != nil {
			m.jitter.sleep(ctx, minRetryDelay, maxRetryDelay)
			continue
		}
		err := m.kv.Watch(ctx, m.prefix, m.nextRevision(), m.applyChanges)
		if errors.Is(err, etcd.ErrCompacted) {
			m.invalidate()
		}
		m.jitter.sleep(ctx, minRetryDelay, maxRetryDelay)
	}
}

// poll regularly reads the head and, if it is newer than the mirror, all keys.
func (m *mirror) poll(ctx context.Context) {
	for m.jitter.sleep(ctx, m.jitter.scaleByWatchers(minPollInterval), m.jitter.scaleByWatchers(maxPollInterval)) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		head, err := m.kv.Get(callCtx, m.prefix+headSuffix)
		cancel()
		if err != nil {
			continue
		}
		if head.Revision > m.keyRevision(head.Key) || !m.isReady() {
			// A failed read is repeated at the next poll.
			_ = m.readAll(ctx)
		}
	}
}

// readAll reads all keys with the prefix from the service into the mirror.
func (m *mirror) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, at, err := m.kv.List(ctx, m.prefix)
	if err != nil {
		return err
	}
	m.applyList(entries, at)
	m.onChange()
	return nil
}

// applyList updates the mirror with a list of all keys as of the revision at. Known keys
// that are missing in the list were deleted.
func (m *mirror) applyList(entries []etcd.Entry, at fleet.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		m.putIfNewer(mirrorEntry{Entry: e})
	}
	for key, known := range m.entries {
		if !present[key] && known.Revision <= at {
			m.entries[key] = mirrorEntry{Entry: etcd.Entry{Key: key, Revision: at}, deleted: true}
		}
	}
	m.seenRevision = max(m.seenRevision, at)
	m.allKeysRead = true
}

// applyChanges updates the mirror with changes from a watch.
func (m *mirror) applyChanges(changes []etcd.Change) {
	if len(changes) == 0 {
		return
	}
	m.mu.Lock()
	for _, c := range changes {
		m.putIfNewer(mirrorEntry{Entry: c.Entry, deleted: c.Deleted})
		m.seenRevision = max(m.seenRevision, c.Revision)
	}
	m.mu.Unlock()
	m.onChange()
}

// putIfNewer sets the entry of a key unless the known one is as new. The caller holds
// mu.
func (m *mirror) putIfNewer(e mirrorEntry) {
	if known, ok := m.entries[e.Key]; !ok || e.Revision > known.Revision {
		m.entries[e.Key] = e
	}
}

// applyWrites updates the mirror with values that this process wrote at the revision at.
// Keys without the prefix of the mirror are skipped.
func (m *mirror) applyWrites(puts []etcd.Put, at fleet.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range puts {
		if strings.HasPrefix(p.Key, m.prefix) {
			m.putIfNewer(mirrorEntry{Entry: etcd.Entry{Key: p.Key, Value: p.Value, Revision: at}})
		}
	}
}

// invalidate causes all keys to be read again.
func (m *mirror) invalidate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allKeysRead = false
}

// isReady reports whether the mirror contains all keys.
func (m *mirror) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allKeysRead
}

// nextRevision returns the revision from which a watch must start.
func (m *mirror) nextRevision() fleet.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seenRevision + 1
}

// keyRevision returns the revision of the key in the mirror, which is 0 if the key does
// not exist.
func (m *mirror) keyRevision(key string) fleet.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; !e.deleted {
		return e.Revision
	}
	return 0
}

// existingEntries returns the entries that are not deleted, ordered by key.
func (m *mirror) existingEntries() []etcd.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make([]etcd.Entry, 0, len(m.entries))
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if e := m.entries[key]; !e.deleted {
			entries = append(entries, e.Entry)
		}
	}
	return entries
}
