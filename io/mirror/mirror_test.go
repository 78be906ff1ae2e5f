package mirror

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/epoch"
)

var errDown = errors.New("store is down")

// fakeStore is a store in memory that keeps its whole history until compact is
// called.
type fakeStore struct {
	mu sync.Mutex
	// era counts the returns from a copy.
	era, revision int64
	items         map[string]Item
	history       []Item
	// oldestRevision is the revision up to which the history has been compacted.
	oldestRevision int64
	down           bool
	// dropChanges makes watches skip all changes: after their wait they return just
	// the current revision.
	dropChanges   bool
	pageReadCount int
	// pollInterval is how often a watch looks for changes; 0 means 1 ms.
	pollInterval time.Duration
	// pageSize is the number of items in a page, or 0 for no limit. pageDelay is how
	// long a call of Page takes. The first of every failEvery calls fails, or none if
	// it is 0.
	pageSize  int
	pageDelay time.Duration
	failEvery int
}

func newFakeStore() *fakeStore { return &fakeStore{items: make(map[string]Item)} }

func (f *fakeStore) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	it := Item{Key: key, Value: []byte(value), Revision: f.current()}
	f.items[key] = it
	f.history = append(f.history, it)
}

func (f *fakeStore) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.items, key)
	f.history = append(f.history, Item{Key: key, Revision: f.current()})
}

// current returns the current revision. The caller holds mu.
func (f *fakeStore) current() epoch.Revision { return epoch.At(f.era, f.revision) }

// withLock calls fn, which may read and set any field, with mu held.
func (f *fakeStore) withLock(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// compact discards the history up to the current revision.
func (f *fakeStore) compact() {
	f.withLock(func() { f.oldestRevision, f.history = f.revision, nil })
}

func (f *fakeStore) Page(ctx context.Context, prefix, after string) (Page, error) {
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case <-time.After(f.pageDelay):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pageReadCount++
	if f.down || f.failEvery > 0 && f.pageReadCount%f.failEvery == 1 {
		return Page{}, errDown
	}
	page := Page{Revision: f.current()}
	for _, key := range slices.Sorted(maps.Keys(f.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if f.pageSize > 0 && len(page.Items) == f.pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, f.items[key])
	}
	return page, nil
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, after epoch.Revision, wait time.Duration) ([]Item, epoch.Revision, error) {
	until := time.Now().Add(wait)
	for {
		list, next, err := f.since(prefix, after)
		if err != nil || len(list) > 0 || time.Now().After(until) {
			return list, next, err
		}
		select {
		case <-ctx.Done():
			return nil, epoch.Revision{}, ctx.Err()
		case <-time.After(max(f.pollInterval, time.Millisecond)):
		}
	}
}

// since returns the changes after a revision, and the current revision.
func (f *fakeStore) since(prefix string, after epoch.Revision) ([]Item, epoch.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, epoch.Revision{}, errDown
	}
	if f.dropChanges {
		return nil, f.current(), nil
	}
	_, number := after.Wire()
	if number < f.oldestRevision || number > f.revision {
		return nil, epoch.Revision{}, fmt.Errorf("watch: %w", ErrCompacted)
	}
	var list []Item
	for _, it := range f.history {
		if it.Revision.After(epoch.At(f.era, number)) && strings.HasPrefix(it.Key, prefix) {
			list = append(list, it)
		}
	}
	return list, f.current(), nil
}

// startMirror runs a mirror of the keys under p/ until the test ends. The returned
// function gives the latest entries passed to OnChange.
func startMirror(t *testing.T, f Store) (*Mirror, func() map[string]string) {
	t.Helper()
	var mu sync.Mutex
	var latest map[string]string
	m := New(Options{
		Store: f, Prefix: "p/", WatchPause: time.Millisecond, WatchWait: 50 * time.Millisecond, Log: zerolog.Nop(),
		OnChange: func(s Snapshot) {
			entries := s.Entries
			mu.Lock()
			defer mu.Unlock()
			latest = make(map[string]string)
			for key, value := range entries {
				latest[key] = string(value)
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m, func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		return latest
	}
}

// requireEventually waits up to 10 s until the snapshot equals want.
func requireEventually(t *testing.T, want map[string]string, snapshot func() map[string]string) {
	t.Helper()
	require.EventuallyWithT(t, func(c *assert.CollectT) { assert.Equal(c, want, snapshot()) }, 10*time.Second, time.Millisecond)
}

// Changes of the store reach the snapshots, also after its history was compacted.
func TestMirrorFollowsStore(t *testing.T) {
	for name, change := range map[string]func(f *fakeStore){
		"put and remove": func(f *fakeStore) { f.put("p/a", "2"); f.remove("p/b") },
		"history compacted": func(f *fakeStore) {
			f.withLock(func() { f.dropChanges = true })
			f.put("p/a", "2")
			f.remove("p/b")
			f.compact()
			f.withLock(func() { f.dropChanges = false; f.revision++; f.oldestRevision = f.revision })
		},
		"keys outside the prefix": func(f *fakeStore) { f.put("q/x", "9"); f.put("p/a", "2"); f.remove("p/b") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore()
				f.put("p/a", "1")
				f.put("p/b", "1")
				_, snapshot := startMirror(t, f)
				requireEventually(t, map[string]string{"p/a": "1", "p/b": "1"}, snapshot)
				change(f)
				requireEventually(t, map[string]string{"p/a": "2"}, snapshot)
			})
		})
	}
}

// OnChange is called after the first full read even if the store has no keys.
func TestEmptyStoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, snapshot := startMirror(t, newFakeStore())
		requireEventually(t, map[string]string{}, snapshot)
	})
}

// When watches skip a change, only the full read that Refresh requests finds it.
func TestRefreshFindsMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put("p/a", "1")
		m, snapshot := startMirror(t, f)
		requireEventually(t, map[string]string{"p/a": "1"}, snapshot)
		f.withLock(func() { f.dropChanges = true })
		f.put("p/a", "2")
		m.Refresh()
		requireEventually(t, map[string]string{"p/a": "2"}, snapshot)
	})
}

// Entries that are removed during an outage stay for restoreWindow, as live writers
// write them again. Later removals take effect at once.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put("p/a", "1")
		f.put("p/b", "1")
		_, snapshot := startMirror(t, f)
		requireEventually(t, map[string]string{"p/a": "1", "p/b": "1"}, snapshot)
		f.withLock(func() { f.down = true })
		time.Sleep(3 * minBackoff)
		f.remove("p/a")
		f.remove("p/b")
		f.withLock(func() { f.down = false })
		backAt := time.Now()
		time.Sleep(4 * minBackoff)
		assert.Len(t, snapshot(), 2, "removed entries stay for about two seconds after an outage")
		f.put("p/a", "2")
		requireEventually(t, map[string]string{"p/a": "2"}, snapshot)
		assert.Less(t, time.Since(backAt), restoreWindow+2*time.Second)
		f.remove("p/a")
		requireEventually(t, map[string]string{}, snapshot)
	})
}

// A page or watch may return an item older than one applied before.
func TestOlderItemsAreLeftOut(t *testing.T) {
	m := New(Options{OnChange: func(Snapshot) {}})
	m.apply([]Item{{Key: "a", Value: []byte("new"), Revision: epoch.At(0, 7)}})
	m.apply([]Item{{Key: "a", Value: []byte("old"), Revision: epoch.At(0, 5)}})
	assert.Equal(t, "new", string(m.entries["a"]))
	m.apply([]Item{{Key: "a", Revision: epoch.At(0, 6)}})
	assert.Equal(t, "new", string(m.entries["a"]))
	m.apply([]Item{{Key: "a", Revision: epoch.At(0, 8)}})
	assert.Empty(t, m.entries)
}

// A full read of many pages completes although the store is slow and fails every
// second call. No page is read again after another has failed.
func TestReadsOnAfterFailedPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		want := make(map[string]string)
		const keyCount, pageSize = 70, 10
		for n := range keyCount {
			key := fmt.Sprintf("p/%02d", n)
			f.put(key, "1")
			want[key] = "1"
		}
		f.pageSize, f.pageDelay, f.failEvery = pageSize, 400*time.Millisecond, 2
		_, snapshot := startMirror(t, f)
		requireEventually(t, want, snapshot)
		f.withLock(func() { assert.LessOrEqual(t, f.pageReadCount, 2*keyCount/pageSize) })
	})
}

// Changes that are made while the pages of a full read arrive are not missed,
// whether their page was read before or after.
func TestPagesOfDifferentMoments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		for n := range 30 {
			f.put(fmt.Sprintf("p/%02d", n), "1")
		}
		f.pageSize, f.pageDelay = 10, 400*time.Millisecond
		_, snapshot := startMirror(t, f)
		time.Sleep(500 * time.Millisecond)
		f.put("p/03", "2")
		f.remove("p/05")
		f.put("p/25", "2")
		time.Sleep(2 * time.Second)
		got := snapshot()
		assert.Equal(t, []string{"2", "", "2"}, []string{got["p/03"], got["p/05"], got["p/25"]})
		assert.Len(t, got, 29)
	})
}

// The entries of the first page are passed to OnChange before the last page arrives.
func TestFirstPageIsPublishedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		for n := range 30 {
			f.put(fmt.Sprintf("p/%02d", n), "1")
		}
		f.pageSize, f.pageDelay = 10, 400*time.Millisecond
		_, snapshot := startMirror(t, f)
		time.Sleep(500 * time.Millisecond)
		assert.Len(t, snapshot(), 10)
		time.Sleep(time.Second)
		assert.Len(t, snapshot(), 30)
	})
}

// OnChange reports partial snapshots until the first full read is complete, and
// never after it.
func TestReportsPartialSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		for n := range 30 {
			f.put(fmt.Sprintf("p/%02d", n), "1")
		}
		f.pageSize = 10
		// partial holds what OnChange reported, by the number of entries.
		partial := make(map[int]bool)
		m := New(Options{
			Store: f, Prefix: "p/", WatchPause: time.Millisecond, WatchWait: 50 * time.Millisecond, Log: zerolog.Nop(),
			OnChange: func(s Snapshot) { partial[len(s.Entries)] = s.Partial },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(time.Second)
		f.put("p/30", "1")
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, map[int]bool{10: true, 20: true, 30: false, 31: false}, partial)
	})
}

// Pages that take longer than pageTimeout still arrive.
func TestSlowPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		want := make(map[string]string)
		for n := range 20 {
			key := fmt.Sprintf("p/%02d", n)
			f.put(key, "1")
			want[key] = "1"
		}
		f.pageSize, f.pageDelay = 10, 1500*time.Millisecond
		_, snapshot := startMirror(t, f)
		requireEventually(t, want, snapshot)
	})
}

// refreshingStore calls refresh once, just before a watch returns.
type refreshingStore struct {
	*fakeStore
	refresh func()
}

func (s *refreshingStore) Watch(ctx context.Context, prefix string, after epoch.Revision, wait time.Duration) ([]Item, epoch.Revision, error) {
	items, next, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	var refresh func()
	s.withLock(func() { refresh, s.refresh = s.refresh, nil })
	if refresh != nil {
		refresh()
		time.Sleep(time.Millisecond)
	}
	return items, next, err
}

// A Refresh is not lost when a watch returns at the same time.
func TestRefreshAsWatchAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refreshingStore{fakeStore: newFakeStore()}
		s.put("p/a", "1")
		m, snapshot := startMirror(t, s)
		requireEventually(t, map[string]string{"p/a": "1"}, snapshot)
		s.withLock(func() { s.dropChanges = true })
		s.put("p/a", "2")
		s.withLock(func() { s.refresh = m.Refresh })
		time.Sleep(time.Second)
		assert.Equal(t, map[string]string{"p/a": "2"}, snapshot())
	})
}
