// Package mirror keeps a local copy of the keys under a prefix of the platform's
// key-value store, called the store here. The copy survives outages of the store,
// compaction of its history and leases that expire during an outage.
//
// An outage is a period in which the store does not answer. The writer of an entry is the
// process that put it there with a lease. As leases expire during an outage, entries that
// disappear around one are retained for a while, so that their writers can write them again; not for long
// if some entries have survived. If most have survived an outage that was longer than a lease, only this process
// could not reach the store, and those that are missing have been removed by their writers.
package mirror

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"chervilreach/core/epoch"
)

// ErrCompacted reports that the store has compacted the history after the
// requested revision, so that only a full read can return the current keys.
var ErrCompacted = errors.New("store history compacted")

var (
	// errRefresh ends a watch when Refresh has been called.
	errRefresh = errors.New("full read requested")
	errTimeout = errors.New("store did not answer in time")
)

const (
	// pageTimeout is how long reading a page may take before a second read is
	// started, and watchGrace how long a watch may exceed its wait. A healthy
	// store answers within a few ms.
	pageTimeout = time.Second
	watchGrace  = 300 * time.Millisecond
	// hedgeWindow is how long a page read or watch that has taken too long (pageTimeout,
	// watchGrace) still stays in flight. Canceling it at once would discard what a busy
	// store has already sent.
	hedgeWindow = 4 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, before jitter.
	// Jitter multiplies the pause by a random factor from 0.5 to 1.5. The longest pause
	// stays below the two seconds within which changes must take effect.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// restoreWindow is how long after an outage live writers may take to write
	// their expired entries again. The platform specifies two seconds.
	restoreWindow = 2200 * time.Millisecond
	// defaultLease is the platform's usual lease of an entry: three heartbeats of its writer.
	defaultLease = 3600 * time.Millisecond
	// minRereadInterval and maxRereadInterval bound the interval between full reads
	// that found nothing new although the store's revision indicated a change.
	// The interval doubles up to the maximum, so that a store which also increments
	// its revision without changing a key causes little additional load.
	minRereadInterval = time.Second
	maxRereadInterval = 8 * time.Second
	// watchingCheckInterval is how often a mirror that does not watch checks whether it must.
	watchingCheckInterval = 250 * time.Millisecond
)

// Item is a key with its value. A nil value marks a removed key.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the store that last changed the key.
	Revision epoch.Revision
	// CreateRevision is the revision at which the key was created; zero if unknown. It is later if the
	// key was removed and written again.
	CreateRevision epoch.Revision
}

// Page is a consecutive part of the keys under a prefix, in key order.
type Page struct {
	Items []Item
	// More reports whether there are keys after those of the page.
	More bool
	// Revision is a revision of the store. A watch that starts after it delivers
	// every change made since the page was read.
	Revision epoch.Revision
}

// Store is the client of the platform's key-value store.
type Store interface {
	// Page returns the next keys under prefix, in order, that sort after the key
	// given as after.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes under prefix that were made after a revision, and
	// the revision to pass as after to the next call. If there are none it waits for
	// one, at most for the given time. The error wraps ErrCompacted if the store no
	// longer has these changes. If the store is in another era than after, the changes are not those
	// since after.
	Watch(ctx context.Context, prefix string, after epoch.Revision, wait time.Duration) ([]Item, epoch.Revision, error)
}

// Options configure a Mirror. All fields but Prefix are required.
type Options struct {
	Store Store
	// Prefix selects the keys. The empty prefix selects all keys; each new revision
	// of the store must then show up as a change in a watch, which is how the mirror
	// detects changes that a watch has skipped.
	Prefix string
	// WatchWait is how long a watch waits for a change. Because a watch may hang although
	// a new one would work, a second one is started if it has not returned shortly after
	// WatchWait (see watchGrace). This bounds the delay of a change.
	WatchWait time.Duration
	// WatchPause is the pause between two watches. The next watch returns all
	// changes made during the pause at once.
	WatchPause time.Duration
	// Lease is how long an entry stays in the store after its writer has last written it; 0 means
	// defaultLease.
	Lease time.Duration
	Log   zerolog.Logger
	// OnChange is called from Run after each change and after the first full read.
	OnChange func(s Snapshot)
	// Watching reports whether the mirror watches for changes. While it does not, it reads all
	// keys once, and again after each Refresh. Nil means that it always watches.
	Watching func() bool
	// OnFullRead is called from Run after each full read, after OnChange, with a revision of the
	// store at which the entries were current. A watch gives no such revision, as it may skip a
	// change. It may be nil.
	OnFullRead func(revision epoch.Revision)
	// OnUnseen is called from Run with the latest revision of the store that neither a watch nor
	// a full read has delivered: it changed a key outside the prefix, a watch has skipped it, or
	// a full read found a later one of the same key. It may be nil.
	OnUnseen func(revision epoch.Revision)
}

// Snapshot is the state of a mirror at one time.
type Snapshot struct {
	// Entries has the values by key. It is a copy that the callee may keep, but the values
	// must not be changed.
	Entries map[string][]byte
	// Partial reports whether entries may be missing because no full read has completed yet.
	Partial bool
	// ReadAt is the time at which the store's last answer arrived.
	ReadAt time.Time
	// Revision is the revision of the store up to which changes have been read; zero if Partial.
	Revision epoch.Revision
}

// Mirror is a local copy of the keys under a prefix. Run must be called once;
// Refresh may be called concurrently with it.
type Mirror struct {
	opts Options
	// entries are the values by key as callers see them, including the entries in
	// retained.
	entries map[string][]byte
	// retained holds the keys that were removed around an outage and that their
	// writers may write again, with the time at which the entry is dropped.
	retained map[string]time.Time
	// revisions holds the revision of each key in entries, creations one that stays the same until
	// the key is removed or the store's era changes.
	revisions, creations map[string]epoch.Revision
	// beforeOutage are the creations at the start of the last outage.
	beforeOutage map[string]epoch.Revision
	// era is the store's era at the last full read. rewinds has what its returns from copies need.
	era     int64
	rewinds rewinds
	// cursor is the revision after which the next watch starts; zero means that a full
	// read is due.
	cursor epoch.Revision
	// fullRead is the full read in progress, or nil.
	fullRead *fullRead
	// behind reports whether the store is known to have a revision after cursor, so
	// that the next watch must start without a pause.
	behind bool
	// refresh receives the requests made by Refresh.
	refresh chan struct{}
	// rereadNow reports whether a full read must start without a pause.
	rereadNow bool
	// changeSkipped reports whether a watch has advanced past a change without
	// delivering it.
	changeSkipped bool
	// rereadAt is the earliest time of the next full read because of a skipped change,
	// rereadInterval the last interval between two full reads for that reason. rereadInProgress
	// reports whether a full read for that reason is in progress.
	rereadAt         time.Time
	rereadInterval   time.Duration
	rereadInProgress bool
	// foundNewer reports whether an item newer than entries has arrived since the
	// field was last reset.
	foundNewer bool
	// outageStart is the start of the current outage, or zero. lastOutageEnd is the end of
	// the last outage, or zero if there was none. silentSince is a time from which on the store surely
	// did not answer in the last outage.
	outageStart, lastOutageEnd, silentSince time.Time
	// fullReadDone reports whether a full read has completed since the start.
	fullReadDone bool
	// seenRevision is the revision up to which reportUnseen has looked.
	seenRevision epoch.Revision
	// readAt is the time at which the store's last answer arrived.
	readAt time.Time
}

// fullRead holds the pages of an incomplete full read. They are kept when a call
// fails, as a store that all processes read at once after a power failure fails
// many calls.
type fullRead struct {
	items []Item
	// revision is the revision of the first page, newest that of the last one.
	revision, newest epoch.Revision
	// after is the last key read.
	after string
	// progressed reports whether a page has arrived since the last failed call.
	progressed bool
}

// New returns an empty mirror.
func New(opts Options) *Mirror {
	if opts.Lease == 0 {
		opts.Lease = defaultLease
	}
	return &Mirror{
		opts: opts, entries: make(map[string][]byte), retained: make(map[string]time.Time),
		revisions: make(map[string]epoch.Revision), creations: make(map[string]epoch.Revision),
		rewinds: newRewinds(), refresh: make(chan struct{}, 1),
	}
}

// Refresh requests a full read as soon as possible. It does not block. Callers
// use it when another process has a change that no watch has delivered here.
func (m *Mirror) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			pause = minBackoff
			if !m.behind && !m.rereadDue() {
				m.sleep(ctx, m.opts.WatchPause)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.markOutage(err)
		m.expireAndNotify()
		if m.fullRead != nil && m.fullRead.progressed {
			pause, m.fullRead.progressed = minBackoff, false
		}
		m.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxBackoff)
	}
}

// sleep waits for the pause or until ctx ends. Retained entries that expire meanwhile are dropped.
func (m *Mirror) sleep(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	for {
		next := end
		if at, ok := m.nextExpiry(); ok && at.Before(end) {
			next = at
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		now := time.Now()
		m.expireAndNotify()
		if !now.Before(end) {
			return
		}
	}
}

// rereadDue reports whether a full read must start without a pause, because the store has
// a change that entries lack and that may already be old.
func (m *Mirror) rereadDue() bool {
	return m.rereadNow || m.changeSkipped && !time.Now().Before(m.rereadAt)
}

// step makes a full read if one is due, and otherwise waits for a change.
func (m *Mirror) step(ctx context.Context) error {
	if m.changeSkipped && !time.Now().Before(m.rereadAt) {
		m.opts.Log.Info().Str("prefix", m.opts.Prefix).Stringer("revision", m.cursor).Msg("watch skipped a change; reading all keys")
		m.cursor, m.changeSkipped, m.rereadInProgress, m.foundNewer = epoch.Revision{}, false, true, false
	}
	if m.cursor.IsZero() {
		m.rereadNow = false
		return m.readAll(ctx)
	}
	if m.opts.Watching != nil && !m.opts.Watching() {
		m.awaitRefresh(ctx)
		return nil
	}
	wait := m.opts.WatchWait
	if at, ok := m.nextExpiry(); ok {
		wait = min(wait, max(time.Until(at), time.Millisecond))
	}
	items, cursor, err := m.watch(ctx, wait)
	m.behind = false
	if errors.Is(err, errRefresh) {
		m.opts.Log.Info().Str("prefix", m.opts.Prefix).Stringer("revision", m.cursor).Msg("change reported by another process; reading all keys")
		m.cursor, m.rereadNow = epoch.Revision{}, true
		return nil
	}
	if errors.Is(err, ErrCompacted) {
		m.opts.Log.Info().Str("prefix", m.opts.Prefix).Stringer("revision", m.cursor).Msg("store history compacted; reading all keys")
		m.cursor, m.rereadNow = epoch.Revision{}, true
		return nil
	}
	if err == nil && cursor.Era() < m.era {
		err = errEarlierEra
	}
	if err != nil {
		return err
	}
	m.readAt = time.Now()
	m.markOutageEnd()
	if cursor.Era() > m.era {
		// The changes are not those since the cursor.
		m.cursor, m.rereadNow = epoch.Revision{}, true
		return nil
	}
	m.detectSkippedChange(items, cursor)
	m.cursor = epoch.Latest(cursor, m.cursor)
	m.apply(items)
	m.reportUnseen(items)
	return nil
}

// detectSkippedChange sets changeSkipped if a watch has advanced the cursor beyond
// the revision of every item that it returned.
func (m *Mirror) detectSkippedChange(items []Item, cursor epoch.Revision) {
	last := m.cursor
	for _, it := range items {
		last = epoch.Latest(last, it.Revision)
	}
	m.changeSkipped = m.changeSkipped || m.opts.Prefix == "" && cursor.After(last)
}

// scheduleReread sets when the next full read because of a skipped change may
// start: at once if the read that has just completed found a change, otherwise
// after an interval that doubles up to maxRereadInterval.
func (m *Mirror) scheduleReread() {
	if !m.rereadInProgress {
		return
	}
	m.rereadInProgress = false
	if m.foundNewer {
		m.rereadInterval, m.rereadAt = 0, time.Time{}
		return
	}
	m.rereadInterval = min(max(2*m.rereadInterval, minRereadInterval), maxRereadInterval)
	m.rereadAt = time.Now().Add(m.rereadInterval)
}

type watchResult struct {
	items  []Item
	cursor epoch.Revision
}

// watch waits up to the given time for changes after the cursor and returns them with the
// new cursor. It fails with errRefresh when Refresh is called meanwhile.
func (m *Mirror) watch(ctx context.Context, wait time.Duration) ([]Item, epoch.Revision, error) {
	prefix, after := m.opts.Prefix, m.cursor
	got, err := hedge(ctx, m, wait+watchGrace, m.refresh, func(ctx context.Context, hedged bool) (watchResult, error) {
		wait := wait
		if hedged {
			wait = time.Millisecond
		}
		items, cursor, err := m.opts.Store.Watch(ctx, prefix, after, wait)
		return watchResult{items, cursor}, err
	})
	return got.items, got.cursor, err
}

// readAll completes the full read and replaces the entries by its result. When it
// fails, the pages read so far are kept for the next call.
func (m *Mirror) readAll(ctx context.Context) error {
	if err := m.readPages(ctx); err != nil {
		return err
	}
	items, cursor := m.fullRead.items, m.fullRead.revision
	m.behind = m.fullRead.newest.After(cursor)
	m.fullRead = nil
	m.markOutageEnd()
	m.cursor = cursor
	m.enterEra(items)
	found := make(map[string]bool, len(items))
	for _, it := range items {
		found[it.Key] = true
	}
	m.rewinds.keepFound(found)
	for key := range m.entries {
		if !found[key] {
			items = append(items, Item{Key: key, Revision: cursor})
		}
	}
	first := !m.fullReadDone
	m.fullReadDone = true
	if changed := m.apply(items); !changed && first {
		m.notify()
	}
	m.scheduleReread()
	if m.opts.OnFullRead != nil {
		m.opts.OnFullRead(cursor)
	}
	m.reportUnseen(items)
	return nil
}

// readPages reads the pages that the full read still lacks. Until a first full
// read has completed, it applies each page at once.
func (m *Mirror) readPages(ctx context.Context) error {
	if m.fullRead == nil {
		m.fullRead = &fullRead{}
	}
	for r := m.fullRead; ; {
		page, err := m.readPage(ctx, r)
		if err != nil {
			return err
		}
		if page.Revision.Era() < max(m.era, r.revision.Era()) {
			return errEarlierEra
		}
		r.progressed, m.readAt = true, time.Now()
		if !r.revision.IsZero() && page.Revision.Era() > r.revision.Era() {
			*r = fullRead{progressed: true}
			continue
		}
		if !m.fullReadDone {
			// Reading all pages may take long, and a partial snapshot is better than none.
			m.apply(page.Items)
		}
		if r.revision.IsZero() {
			r.revision = page.Revision
		}
		r.newest = epoch.Latest(r.newest, page.Revision)
		r.items = append(r.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return nil
		}
		r.after = page.Items[len(page.Items)-1].Key
	}
}

func (m *Mirror) readPage(ctx context.Context, r *fullRead) (Page, error) {
	prefix, after := m.opts.Prefix, r.after
	return hedge(ctx, m, pageTimeout, nil, func(ctx context.Context, _ bool) (Page, error) {
		return m.opts.Store.Page(ctx, prefix, after)
	})
}

// apply updates the entries, skips items older than the known revision of their
// key, and drops retained entries that have expired. If any entry changed, it calls
// OnChange and returns true.
func (m *Mirror) apply(items []Item) bool {
	now := time.Now()
	changed := false
	removed := make(map[string]bool)
	for _, it := range append(m.reveal(now), items...) {
		if m.revisions[it.Key].After(it.Revision) || m.rewinds.isOutdated(now, it) {
			// A page or watch may return an older state than one applied before.
			continue
		}
		value, held := m.entries[it.Key]
		m.foundNewer = m.foundNewer || it.Revision.After(m.revisions[it.Key]) && (held || it.Value != nil)
		m.rewinds.noteWrite(now, m.revisions[it.Key], value, it)
		m.revisions[it.Key] = it.Revision
		if it.Value != nil {
			delete(m.retained, it.Key)
			delete(removed, it.Key)
			m.noteCreation(it)
			changed = changed || !bytes.Equal(m.entries[it.Key], it.Value)
			m.entries[it.Key] = it.Value
			continue
		}
		if !held {
			delete(m.revisions, it.Key)
			continue
		}
		removed[it.Key] = true
	}
	changed = m.remove(removed, now) || changed
	changed = m.removeExpired(now) || changed
	if changed {
		m.notify()
	}
	return changed
}

// removeExpired drops the retained entries that their writers have not written
// again in time, and reports whether there were any.
func (m *Mirror) removeExpired(now time.Time) bool {
	changed := false
	for key, at := range m.retained {
		if !now.Before(at) {
			m.drop(key)
			changed = true
		}
	}
	return changed
}

// expireAndNotify drops expired retained entries and reveals hidden ones while the store does not
// answer, and calls OnChange if there were any.
func (m *Mirror) expireAndNotify() { m.apply(nil) }

// notify passes a copy of the entries to OnChange.
func (m *Mirror) notify() {
	m.opts.OnChange(Snapshot{Entries: maps.Clone(m.entries), Partial: !m.fullReadDone, ReadAt: m.readAt, Revision: m.cursor})
}

// nextExpiry returns when the next retained entry expires or hidden entry counts again, or
// false if there is none.
func (m *Mirror) nextExpiry() (time.Time, bool) {
	var earliest time.Time
	for _, at := range m.retained {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	for _, h := range m.rewinds.hidden {
		if earliest.IsZero() || h.until.Before(earliest) {
			earliest = h.until
		}
	}
	return earliest, !earliest.IsZero()
}

// markOutage records and logs the start of an outage, unless one is in progress.
func (m *Mirror) markOutage(err error) {
	if !m.outageStart.IsZero() {
		return
	}
	m.outageStart = time.Now()
	m.silentSince = m.readAt.Add(m.opts.WatchPause + m.opts.WatchWait + watchGrace)
	m.beforeOutage = maps.Clone(m.creations)
	m.opts.Log.Warn().Err(err).Str("dependency", "store").Str("prefix", m.opts.Prefix).Msg("dependency lost")
}

// markOutageEnd records and logs the end of the outage in progress, if any.
func (m *Mirror) markOutageEnd() {
	if m.outageStart.IsZero() {
		return
	}
	m.lastOutageEnd = time.Now()
	m.opts.Log.Info().Str("dependency", "store").Dur("away", m.lastOutageEnd.Sub(m.outageStart)).Msg("dependency regained")
	m.outageStart = time.Time{}
}
