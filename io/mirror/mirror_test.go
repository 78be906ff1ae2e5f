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
)

var errDown = errors.New("store is down")

// fakeStore is a store whose history is kept whole until it is compacted.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []Item
	oldest   int64
	down     bool
	// deaf watches hear nothing until they end.
	deaf   bool
	ranges int
	// pageMost is how many items a page has, pageTime how long one takes, and
	// failEach which of the pages asked for fail, from the first.
	pageMost int
	pageTime time.Duration
	failEach int
}

func newFakeStore() *fakeStore { return &fakeStore{items: make(map[string]Item)} }

func (f *fakeStore) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	it := Item{Key: key, Value: []byte(value), Revision: f.revision}
	f.items[key] = it
	f.history = append(f.history, it)
}

func (f *fakeStore) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.items, key)
	f.history = append(f.history, Item{Key: key, Revision: f.revision})
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) compact() {
	f.set(func() { f.oldest, f.history = f.revision, nil })
}

func (f *fakeStore) Page(ctx context.Context, prefix, after string) (Page, error) {
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case <-time.After(f.pageTime):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranges++
	if f.down || f.failEach > 0 && f.ranges%f.failEach == 1 {
		return Page{}, errDown
	}
	page := Page{Revision: f.revision}
	for _, key := range slices.Sorted(maps.Keys(f.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if f.pageMost > 0 && len(page.Items) == f.pageMost {
			page.More = true
			break
		}
		page.Items = append(page.Items, f.items[key])
	}
	return page, nil
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	until := time.Now().Add(wait)
	for {
		list, next, err := f.since(prefix, after)
		if err != nil || len(list) > 0 || time.Now().After(until) {
			return list, next, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

func (f *fakeStore) since(prefix string, after int64) ([]Item, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, errDown
	}
	if f.deaf {
		return nil, f.revision, nil
	}
	if after < f.oldest {
		return nil, 0, fmt.Errorf("watch: %w", ErrCompacted)
	}
	var list []Item
	for _, it := range f.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			list = append(list, it)
		}
	}
	return list, f.revision, nil
}

// follow runs a mirror of the store and returns a way to read its latest image.
func follow(t *testing.T, f Store) (*Mirror, func() map[string]string) {
	t.Helper()
	var mu sync.Mutex
	var latest map[string]string
	m := New(Options{
		Store: f, Prefix: "p/", Pace: time.Millisecond, Wait: 50 * time.Millisecond, Log: zerolog.Nop(),
		Changed: func(image map[string][]byte, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			latest = make(map[string]string)
			for key, value := range image {
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

func eventually(t *testing.T, want map[string]string, image func() map[string]string) {
	t.Helper()
	require.EventuallyWithT(t, func(c *assert.CollectT) { assert.Equal(c, want, image()) }, 10*time.Second, time.Millisecond)
}

func TestFollows(t *testing.T) {
	for name, change := range map[string]func(f *fakeStore){
		"put and removed": func(f *fakeStore) { f.put("p/a", "2"); f.remove("p/b") },
		"history lost": func(f *fakeStore) {
			f.set(func() { f.deaf = true })
			f.put("p/a", "2")
			f.remove("p/b")
			f.compact()
			f.set(func() { f.deaf = false; f.revision++; f.oldest = f.revision })
		},
		"other keys too": func(f *fakeStore) { f.put("q/x", "9"); f.put("p/a", "2"); f.remove("p/b") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore()
				f.put("p/a", "1")
				f.put("p/b", "1")
				_, image := follow(t, f)
				eventually(t, map[string]string{"p/a": "1", "p/b": "1"}, image)
				change(f)
				eventually(t, map[string]string{"p/a": "2"}, image)
			})
		})
	}
}

func TestTellsOfAnEmptyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, image := follow(t, newFakeStore())
		eventually(t, map[string]string{}, image)
	})
}

// A watch that hears nothing moves past changes: only a fresh read finds them.
func TestRefreshFindsMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put("p/a", "1")
		m, image := follow(t, f)
		eventually(t, map[string]string{"p/a": "1"}, image)
		f.set(func() { f.deaf = true })
		f.put("p/a", "2")
		m.Refresh()
		eventually(t, map[string]string{"p/a": "2"}, image)
	})
}

func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put("p/a", "1")
		f.put("p/b", "1")
		_, image := follow(t, f)
		eventually(t, map[string]string{"p/a": "1", "p/b": "1"}, image)
		f.set(func() { f.down = true })
		time.Sleep(3 * retryFirst)
		f.remove("p/a")
		f.remove("p/b")
		f.set(func() { f.down = false })
		backAt := time.Now()
		time.Sleep(4 * retryFirst)
		assert.Len(t, image(), 2, "writers have about two seconds to come back")
		f.put("p/a", "2")
		eventually(t, map[string]string{"p/a": "2"}, image)
		assert.Less(t, time.Since(backAt), returnTime+2*time.Second)
		f.remove("p/a")
		eventually(t, map[string]string{}, image)
	})
}

func TestOlderItemsAreLeftOut(t *testing.T) {
	m := New(Options{Changed: func(map[string][]byte, bool) {}})
	m.apply([]Item{{Key: "a", Value: []byte("new"), Revision: 7}})
	m.apply([]Item{{Key: "a", Value: []byte("old"), Revision: 5}})
	assert.Equal(t, "new", string(m.image["a"]))
	m.apply([]Item{{Key: "a", Revision: 6}})
	assert.Equal(t, "new", string(m.image["a"]))
	m.apply([]Item{{Key: "a", Revision: 8}})
	assert.Empty(t, m.image)
}

// TestReadsOnAfterFailedPages: a list of many pages is read although the store is
// slow and fails every second call, each page about once.
func TestReadsOnAfterFailedPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		want := make(map[string]string)
		const keys, pageMost = 70, 10
		for n := range keys {
			key := fmt.Sprintf("p/%02d", n)
			f.put(key, "1")
			want[key] = "1"
		}
		f.pageMost, f.pageTime, f.failEach = pageMost, 400*time.Millisecond, 2
		_, image := follow(t, f)
		eventually(t, want, image)
		f.set(func() { assert.LessOrEqual(t, f.ranges, 2*keys/pageMost) })
	})
}

// TestPagesOfDifferentMoments: what changes while pages are read is seen.
func TestPagesOfDifferentMoments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		for n := range 30 {
			f.put(fmt.Sprintf("p/%02d", n), "1")
		}
		f.pageMost, f.pageTime = 10, 400*time.Millisecond
		_, image := follow(t, f)
		time.Sleep(500 * time.Millisecond)
		f.put("p/03", "2")
		f.remove("p/05")
		f.put("p/25", "2")
		time.Sleep(2 * time.Second)
		got := image()
		assert.Equal(t, []string{"2", "", "2"}, []string{got["p/03"], got["p/05"], got["p/25"]})
		assert.Len(t, got, 29)
	})
}

// TestFirstPageIsOfUse: what the first page holds is there before the last one.
func TestFirstPageIsOfUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		for n := range 30 {
			f.put(fmt.Sprintf("p/%02d", n), "1")
		}
		f.pageMost, f.pageTime = 10, 400*time.Millisecond
		_, image := follow(t, f)
		time.Sleep(500 * time.Millisecond)
		assert.Len(t, image(), 10)
		time.Sleep(time.Second)
		assert.Len(t, image(), 30)
	})
}

// TestTellsThatMoreIsToCome: a copy of which pages are missing says so, the whole one
// and those after it do not.
func TestTellsThatMoreIsToCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		for n := range 30 {
			f.put(fmt.Sprintf("p/%02d", n), "1")
		}
		f.pageMost = 10
		more := make(map[int]bool)
		m := New(Options{
			Store: f, Prefix: "p/", Pace: time.Millisecond, Wait: 50 * time.Millisecond, Log: zerolog.Nop(),
			Changed: func(image map[string][]byte, some bool) { more[len(image)] = some },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(time.Second)
		f.put("p/30", "1")
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, map[int]bool{10: true, 20: true, 30: false, 31: false}, more)
	})
}

// TestSlowPages: pages that take longer than a second come all the same.
func TestSlowPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		want := make(map[string]string)
		for n := range 20 {
			key := fmt.Sprintf("p/%02d", n)
			f.put(key, "1")
			want[key] = "1"
		}
		f.pageMost, f.pageTime = 10, 1500*time.Millisecond
		_, image := follow(t, f)
		eventually(t, want, image)
	})
}

// refreshingStore asks for a refresh in the moment in which a watch has its answer.
type refreshingStore struct {
	*fakeStore
	refresh func()
}

func (s *refreshingStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	items, next, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	var refresh func()
	s.set(func() { refresh, s.refresh = s.refresh, nil })
	if refresh != nil {
		refresh()
		time.Sleep(time.Millisecond)
	}
	return items, next, err
}

// TestRefreshAsWatchAnswers: a refresh is not lost when a watch answers meanwhile.
func TestRefreshAsWatchAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refreshingStore{fakeStore: newFakeStore()}
		s.put("p/a", "1")
		m, image := follow(t, s)
		eventually(t, map[string]string{"p/a": "1"}, image)
		s.set(func() { s.deaf = true })
		s.put("p/a", "2")
		s.set(func() { s.refresh = m.Refresh })
		time.Sleep(time.Second)
		assert.Equal(t, map[string]string{"p/a": "2"}, image())
	})
}
