// Package mirror keeps a copy of the keys under a prefix of the platform's store
// through outages, lost history and lapsed leases.
package mirror

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

// ErrCompacted says that the store no longer has the history that was asked for.
var ErrCompacted = errors.New("history is gone")

var (
	errRefresh = errors.New("everything is to be read again")
	errSilent  = errors.New("no answer in time")
)

const (
	// readTime is how long the read of a page may take, and watchSlack how much longer
	// than its wait a watch may, until it counts as silent; the store answers in some
	// ms when it is well.
	readTime   = time.Second
	watchSlack = 300 * time.Millisecond
	// callMost bounds a silent call: what a busy store has sent in part is not thrown
	// away at once.
	callMost = 4 * time.Second
	// retryFirst and retryMost are the pauses after failed calls: the longest, half of
	// it longer by chance, is below the two seconds in which changes are in force.
	retryFirst = 100 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// returnTime is how long after an outage the entries of live writers may take
	// to come back: the platform says two seconds.
	returnTime = 2200 * time.Millisecond
	// checkFirst and checkMost are the pauses between reads of everything that found
	// nothing new, though the store's revision told of a change: a store that counts
	// what is no change of a key costs little more than one that does not.
	checkFirst = time.Second
	checkMost  = 8 * time.Second
	// lapsedTime bounds how long a removed entry is kept after an outage: below the
	// time in which a removed endpoint must get no more requests.
	lapsedTime = 1500 * time.Millisecond
)

// Item is one key. A nil value says that the key is gone.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
}

// Page is a part of the keys under a prefix, in order.
type Page struct {
	Items []Item
	// More says that others follow.
	More bool
	// Revision is one from which a watch misses no change after the page was read.
	Revision int64
}

// Store is the platform's store.
type Store interface {
	// Page returns the keys under a prefix that come after a key.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes after the revision. It returns them and the revision
	// to go on from; errors wrap ErrCompacted.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
}

// Options are the parts of a mirror.
type Options struct {
	Store Store
	// Prefix covers the keys. An empty one covers the whole store, so that each new
	// revision is that of a change which a watch has to tell of.
	Prefix string
	// Wait is how long a watch waits for a change. A watch may fall silent for good
	// while new ones work, so that it bounds how late a change is seen.
	Wait time.Duration
	// Pace is the least time between two watches: changes that come meanwhile are
	// read by one call.
	Pace time.Duration
	Log  zerolog.Logger
	// Changed gets the copy after each change; more says that some of it has not been
	// read yet.
	Changed func(image map[string][]byte, more bool)
}

// Mirror is the copy.
type Mirror struct {
	opts Options
	// image is what callers see: entries whose writers may return are in it.
	image  map[string][]byte
	lapsed map[string]time.Time
	// revisions are those of the keys in the image.
	revisions map[string]int64
	next      int64
	// reading is a read of everything that is not complete; nil if there is none.
	reading *reading
	// refresh has everything read again.
	refresh chan struct{}
	// again says that everything is to be read again at once.
	again bool
	// passed says that a watch went on past a change that it did not tell of.
	passed bool
	// checkAt is when everything may be read again for it, checkPause the last pause
	// between two such reads, and checking says that one is in progress.
	checkAt    time.Time
	checkPause time.Duration
	checking   bool
	// newer says that something was newer than the image since it was set to false.
	newer bool
	// lostAt and backAt tell of the last outage.
	lostAt, backAt time.Time
	known          bool
}

// reading is what has been read of everything: pages stay through failed calls, as
// a store that all processes ask at once after a loss of power fails many.
type reading struct {
	items []Item
	// revision is that of the first page: later ones are of other moments.
	revision int64
	after    string
	// got says that a page has come since the last failure.
	got bool
}

// New returns an empty mirror.
func New(opts Options) *Mirror {
	return &Mirror{
		opts: opts, image: make(map[string][]byte), lapsed: make(map[string]time.Time),
		revisions: make(map[string]int64), refresh: make(chan struct{}, 1),
	}
}

// Refresh has everything read again at once, as others know of changes that no
// watch has told of.
func (m *Mirror) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Run keeps the copy until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			pause = retryFirst
			if !m.due() {
				m.sleep(ctx, m.opts.Pace)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.lost(err)
		m.expire(time.Now())
		if m.reading != nil && m.reading.got {
			pause, m.reading.got = retryFirst, false
		}
		m.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
}

func (m *Mirror) sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// due says that everything is to be read without a pause: what the image lacks may
// have changed long ago.
func (m *Mirror) due() bool {
	return m.again || m.passed && !time.Now().Before(m.checkAt)
}

// step reads everything, or waits for a change.
func (m *Mirror) step(ctx context.Context) error {
	if m.passed && !time.Now().Before(m.checkAt) {
		m.opts.Log.Info().Str("prefix", m.opts.Prefix).Int64("revision", m.next).Msg("watch passed a change by, reading all")
		m.next, m.passed, m.checking, m.newer = 0, false, true, false
	}
	if m.next == 0 {
		m.again = false
		return m.readAll(ctx)
	}
	wait := m.opts.Wait
	if at, ok := m.nextLapse(); ok {
		wait = min(wait, max(time.Until(at), time.Millisecond))
	}
	items, next, err := m.watch(ctx, wait)
	if errors.Is(err, errRefresh) {
		m.opts.Log.Info().Str("prefix", m.opts.Prefix).Int64("revision", m.next).Msg("change missed, reading all")
		m.next, m.again = 0, true
		return nil
	}
	if errors.Is(err, ErrCompacted) {
		m.opts.Log.Info().Str("prefix", m.opts.Prefix).Int64("revision", m.next).Msg("store history lost, reading all")
		m.next, m.again = 0, true
		return nil
	}
	if err != nil {
		return err
	}
	m.back()
	m.notePassed(items, next)
	m.next = max(next, m.next)
	m.apply(items)
	return nil
}

// notePassed looks for a change that the answer of a watch has left out: its
// revision is counted, but none of the items bears it.
func (m *Mirror) notePassed(items []Item, next int64) {
	last := m.next
	for _, it := range items {
		last = max(last, it.Revision)
	}
	m.passed = m.passed || m.opts.Prefix == "" && next > last
}

// checked sets when everything may be read again for a change that a watch has
// passed by: at once if the last such read has found one.
func (m *Mirror) checked() {
	if !m.checking {
		return
	}
	m.checking = false
	if m.newer {
		m.checkPause, m.checkAt = 0, time.Time{}
		return
	}
	m.checkPause = min(max(2*m.checkPause, checkFirst), checkMost)
	m.checkAt = time.Now().Add(m.checkPause)
}

// changes are the answer of a watch.
type changes struct {
	items []Item
	next  int64
}

// watch waits for a change or until everything is to be read again.
func (m *Mirror) watch(ctx context.Context, wait time.Duration) ([]Item, int64, error) {
	prefix, after := m.opts.Prefix, m.next
	got, err := beside(ctx, m, wait+watchSlack, m.refresh, func(ctx context.Context, again bool) (changes, error) {
		wait := wait
		if again {
			wait = time.Millisecond
		}
		items, next, err := m.opts.Store.Watch(ctx, prefix, after, wait)
		return changes{items, next}, err
	})
	return got.items, got.next, err
}

func (m *Mirror) readAll(ctx context.Context) error {
	if err := m.readPages(ctx); err != nil {
		return err
	}
	items, next := m.reading.items, m.reading.revision
	m.reading = nil
	m.back()
	m.next = next
	found := make(map[string]bool, len(items))
	for _, it := range items {
		found[it.Key] = true
	}
	for key := range m.image {
		if !found[key] {
			items = append(items, Item{Key: key, Revision: next})
		}
	}
	first := !m.known
	m.known = true
	if changed := m.apply(items); !changed && first {
		m.tell()
	}
	m.checked()
	return nil
}

// readPages reads the pages that are missing.
func (m *Mirror) readPages(ctx context.Context) error {
	if m.reading == nil {
		m.reading = &reading{}
	}
	for r := m.reading; ; {
		page, err := m.readPage(ctx, r)
		if err != nil {
			return err
		}
		r.got = true
		if !m.known {
			// A part of the list is better than none: it may take long to read.
			m.apply(page.Items)
		}
		if r.revision == 0 {
			r.revision = page.Revision
		}
		r.items = append(r.items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return nil
		}
		r.after = page.Items[len(page.Items)-1].Key
	}
}

func (m *Mirror) readPage(ctx context.Context, r *reading) (Page, error) {
	prefix, after := m.opts.Prefix, r.after
	return beside(ctx, m, readTime, nil, func(ctx context.Context, _ bool) (Page, error) {
		return m.opts.Store.Page(ctx, prefix, after)
	})
}

// apply takes in changes and tells of them; it returns whether there were any.
func (m *Mirror) apply(items []Item) bool {
	now := time.Now()
	changed := false
	for _, it := range items {
		if it.Revision < m.revisions[it.Key] {
			// Read before what is known already.
			continue
		}
		_, held := m.image[it.Key]
		m.newer = m.newer || it.Revision > m.revisions[it.Key] && (held || it.Value != nil)
		m.revisions[it.Key] = it.Revision
		if it.Value != nil {
			delete(m.lapsed, it.Key)
			changed = changed || !bytes.Equal(m.image[it.Key], it.Value)
			m.image[it.Key] = it.Value
			continue
		}
		if !held {
			delete(m.revisions, it.Key)
			continue
		}
		if until := m.returnUntil(now); now.Before(until) {
			m.lapsed[it.Key] = until
			continue
		}
		delete(m.image, it.Key)
		delete(m.revisions, it.Key)
		changed = true
	}
	changed = m.lapse(now) || changed
	if changed {
		m.tell()
	}
	return changed
}

// lapse removes the entries whose writers have not returned in time.
func (m *Mirror) lapse(now time.Time) bool {
	changed := false
	for key, at := range m.lapsed {
		if !now.Before(at) {
			delete(m.lapsed, key)
			delete(m.image, key)
			delete(m.revisions, key)
			changed = true
		}
	}
	return changed
}

// expire lapses entries while the store does not answer.
func (m *Mirror) expire(now time.Time) {
	if m.lapse(now) {
		m.tell()
	}
}

// tell passes on a copy.
func (m *Mirror) tell() { m.opts.Changed(maps.Clone(m.image), !m.known) }

// returnUntil is until when an entry that was removed may come back.
func (m *Mirror) returnUntil(now time.Time) time.Time {
	if m.backAt.IsZero() {
		return time.Time{}
	}
	until := m.backAt.Add(returnTime)
	if most := now.Add(lapsedTime); most.Before(until) && now.Before(until) {
		return most
	}
	return until
}

func (m *Mirror) nextLapse() (time.Time, bool) {
	var least time.Time
	for _, at := range m.lapsed {
		if least.IsZero() || at.Before(least) {
			least = at
		}
	}
	return least, !least.IsZero()
}

func (m *Mirror) lost(err error) {
	if !m.lostAt.IsZero() {
		return
	}
	m.lostAt = time.Now()
	m.opts.Log.Warn().Err(err).Str("dependency", "store").Str("prefix", m.opts.Prefix).Msg("dependency lost")
}

func (m *Mirror) back() {
	if m.lostAt.IsZero() {
		return
	}
	m.backAt = time.Now()
	m.opts.Log.Info().Str("dependency", "store").Dur("away", m.backAt.Sub(m.lostAt)).Msg("dependency regained")
	m.lostAt = time.Time{}
}
