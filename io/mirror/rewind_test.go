package mirror

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/epoch"
)

// storeCopy is a copy of a fakeStore.
type storeCopy struct {
	revision int64
	items    map[string]Item
	takenAt  time.Time
}

// copyNow returns a copy of the store.
func (f *fakeStore) copyNow() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{f.revision, maps.Clone(f.items), time.Now()}
}

// comeBack lets the store come back from a copy of it, in a new era.
func (f *fakeStore) comeBack(c storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision, f.oldestRevision, f.history, f.down = c.revision, c.revision, nil, false
	f.items = make(map[string]Item)
	for key, it := range c.items {
		it.Revision = it.Revision.InEra(f.era)
		f.items[key] = it
	}
}

// Guards against a store that comes back from an older copy: what was read before counted as newer than
// anything that the store said until its revisions had caught up.
func TestStoreComesBackFromCopy(t *testing.T) {
	for name, c := range map[string]struct {
		// lost happens after the copy, after happens once the store is back.
		lost, after func(f *fakeStore)
		// soon is what the mirror has 1 s later, late what it has after all windows.
		soon, late map[string]string
	}{
		"newer value with a lower revision": {
			func(f *fakeStore) { f.put("q/x", "1"); f.put("q/x", "2"); f.put("p/a", "2") },
			func(f *fakeStore) { f.put("p/a", "3") },
			map[string]string{"p/a": "3", "p/b": "1"},
			map[string]string{"p/a": "3", "p/b": "1"},
		},
		"newer value with the same revision": {
			func(f *fakeStore) { f.put("p/a", "2") },
			func(f *fakeStore) { f.put("p/a", "3") },
			map[string]string{"p/a": "3", "p/b": "1"},
			map[string]string{"p/a": "3", "p/b": "1"},
		},
		"another key with the same revision": {
			func(f *fakeStore) { f.put("p/a", "2") },
			func(f *fakeStore) { f.put("p/b", "2") },
			map[string]string{"p/a": "2", "p/b": "2"},
			map[string]string{"p/a": "2", "p/b": "2"},
		},
		"lost change is not taken back": {
			func(f *fakeStore) { f.put("p/a", "leaves") }, func(*fakeStore) {},
			map[string]string{"p/a": "leaves", "p/b": "1"},
			map[string]string{"p/a": "leaves", "p/b": "1"},
		},
		"removed entry is back": {
			func(f *fakeStore) { f.remove("p/a") }, func(*fakeStore) {},
			map[string]string{"p/b": "1"},
			map[string]string{"p/a": "1", "p/b": "1"},
		},
		"removed entry is back and removed again": {
			func(f *fakeStore) { f.remove("p/a") }, func(f *fakeStore) { f.remove("p/a") },
			map[string]string{"p/b": "1"},
			map[string]string{"p/b": "1"},
		},
		"removed entry is back and written again": {
			func(f *fakeStore) { f.remove("p/a") }, func(f *fakeStore) { f.put("p/a", "1") },
			map[string]string{"p/a": "1", "p/b": "1"},
			map[string]string{"p/a": "1", "p/b": "1"},
		},
		"new entry is gone": {
			func(f *fakeStore) { f.put("p/c", "1") }, func(*fakeStore) {},
			map[string]string{"p/a": "1", "p/b": "1", "p/c": "1"},
			map[string]string{"p/a": "1", "p/b": "1"},
		},
		"new entry is gone and written again": {
			func(f *fakeStore) { f.put("p/c", "1") }, func(f *fakeStore) { f.put("p/c", "1") },
			map[string]string{"p/a": "1", "p/b": "1", "p/c": "1"},
			map[string]string{"p/a": "1", "p/b": "1", "p/c": "1"},
		},
	} {
		for kind, away := range map[string]time.Duration{"at once": 0, "after an outage": time.Second} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeStore()
					f.put("p/a", "1")
					f.put("p/b", "1")
					_, snapshot := startMirror(t, f)
					time.Sleep(time.Second)
					copied := f.copyNow()
					c.lost(f)
					time.Sleep(time.Second)
					f.withLock(func() { f.down = away > 0 })
					time.Sleep(away)
					f.comeBack(copied)
					c.after(f)
					time.Sleep(time.Second)
					assert.Equal(t, c.soon, snapshot())
					time.Sleep(hiddenWindow + restoreWindow)
					assert.Equal(t, c.late, snapshot())
				})
			})
		}
	}
}

// Guards against an answer of an earlier era that arrives after one of a later era and overrules it.
func TestAnswersOfEarlierErasAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put("p/a", "1")
		_, snapshot := startMirror(t, f)
		time.Sleep(time.Second)
		f.comeBack(f.copyNow())
		f.put("p/a", "2")
		time.Sleep(time.Second)
		// Another path still leads to the store as it was, further on.
		f.withLock(func() {
			f.era--
			f.revision += 50
			f.items["p/a"] = Item{Key: "p/a", Value: []byte("old"), Revision: f.current()}
			f.history = []Item{f.items["p/a"]}
		})
		time.Sleep(time.Second)
		assert.Equal(t, map[string]string{"p/a": "2"}, snapshot())
		f.withLock(func() { f.era++ })
		f.put("p/a", "3")
		time.Sleep(2 * time.Second)
		assert.Equal(t, map[string]string{"p/a": "3"}, snapshot())
	})
}

// otherKey is a key that the mirror does not read.
const otherKey = "q/other"

// maxCopyAge is the age of the oldest copy from which the store comes back.
const maxCopyAge = 45 * time.Second

// rewindModel is what a mirror must have that sees each change of the store, by the rule: what it has seen
// happen survives a return from a copy, what only the store has said does not.
type rewindModel struct {
	f *fakeStore
	// shown is what the mirror has by key.
	shown map[string]Item
	// past are the writes of keys that have been replaced.
	past map[string][]Item
}

func (m *rewindModel) end(key string) {
	if it, ok := m.shown[key]; ok {
		m.past[key] = append(m.past[key], it)
	}
}

func (m *rewindModel) put(key, value string) {
	m.f.put(key, value)
	m.end(key)
	m.f.withLock(func() { m.shown[key] = m.f.items[key] })
}

func (m *rewindModel) remove(key string) {
	m.f.remove(key)
	m.end(key)
	delete(m.shown, key)
}

// comeBack returns the keys that are gone with the copy and may be kept for a moment, and those that are back
// and must be hidden for a moment.
func (m *rewindModel) comeBack(c storeCopy) (gone, hidden map[string]bool) {
	m.f.comeBack(c)
	gone, hidden = make(map[string]bool), make(map[string]bool)
	for key := range m.shown {
		if _, ok := m.f.items[key]; !ok {
			gone[key] = true
			m.end(key)
		}
	}
	for key, it := range m.f.items {
		if key == otherKey {
			continue
		}
		shown, held := m.shown[key]
		if held && sameWrite(shown.Revision, shown.Value, it) {
			m.shown[key] = it
			continue
		}
		isPast := false
		for _, p := range m.past[key] {
			isPast = isPast || sameWrite(p.Revision, p.Value, it)
		}
		switch {
		case isPast && held:
		case isPast:
			hidden[key] = true
		default:
			m.end(key)
			m.shown[key] = it
		}
	}
	return gone, hidden
}

// values returns the values that the mirror must have.
func (m *rewindModel) values(except map[string]bool) map[string]string {
	values := make(map[string]string)
	for key, it := range m.shown {
		if !except[key] {
			values[key] = string(it.Value)
		}
	}
	return values
}

// Random changes, outages and returns from copies of up to maxCopyAge, against a plain model.
func TestRandomReturnsFromCopies(t *testing.T) {
	seeds := 2000
	if text := os.Getenv("REWIND_SEEDS"); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { playRewinds(t, uint64(seed)) })
		require.False(t, t.Failed())
	}
}

// playRewinds plays one random history.
func playRewinds(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	f := newFakeStore()
	f.pollInterval = 100 * time.Millisecond
	var latest atomic.Pointer[Snapshot]
	mirrored := New(Options{
		Store: f, Prefix: "p/", WatchPause: 100 * time.Millisecond, WatchWait: time.Second, Log: zerolog.Nop(),
		OnChange: func(s Snapshot) { latest.Store(&s) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	snapshot := func() map[string]string {
		return lo.MapValues(latest.Load().Entries, func(value []byte, _ string) string { return string(value) })
	}
	m := &rewindModel{f: f, shown: make(map[string]Item), past: make(map[string][]Item)}
	m.put("p/0", "first")
	go mirrored.Run(ctx)
	time.Sleep(time.Second)
	copies := []storeCopy{f.copyNow()}
	for step := range 12 {
		key := fmt.Sprintf("p/%d", r.IntN(4))
		switch n := r.IntN(10); {
		case n < 5:
			m.put(key, fmt.Sprintf("%d-%d", step, r.IntN(2)))
		case n < 7:
			if _, ok := m.shown[key]; ok {
				m.remove(key)
			}
		case n < 8:
			f.put(otherKey, "x")
		default:
			f.withLock(func() { f.down = r.IntN(2) == 0 })
			time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
			for len(copies) > 0 && time.Since(copies[0].takenAt) > maxCopyAge {
				copies = copies[1:]
			}
			if len(copies) == 0 {
				copies = []storeCopy{f.copyNow()}
			}
			from := r.IntN(len(copies))
			gone, hidden := m.comeBack(copies[from])
			copies = copies[:from+1]
			time.Sleep(time.Second)
			assert.Equal(t, m.values(nil), snapshot(), "seed %d, soon after a return from copy %d in step %d", seed, from, step)
			// Until all that is kept or hidden for a moment has lapsed.
			time.Sleep(hiddenWindow + restoreWindow)
			for key := range gone {
				delete(m.shown, key)
			}
			for key := range hidden {
				m.shown[key] = f.items[key]
			}
		}
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, m.values(nil), snapshot(), "seed %d, after step %d", seed, step)
		if r.IntN(3) == 0 {
			copies = append(copies, f.copyNow())
		}
	}
}

// The revisions of an era that the mirror has not seen are not those of the era before.
func TestUnseenRevisionsOfNewEra(t *testing.T) {
	items := []Item{{Key: "p/a", Revision: epoch.At(2, 30)}}
	for name, c := range map[string]struct{ from, to, want epoch.Revision }{
		"all seen":        {epoch.At(2, 29), epoch.At(2, 30), epoch.Revision{}},
		"none since":      {epoch.At(2, 31), epoch.At(2, 31), epoch.Revision{}},
		"later one":       {epoch.At(2, 29), epoch.At(2, 31), epoch.At(2, 31)},
		"of a new era":    {epoch.At(1, 90), epoch.At(2, 30), epoch.At(2, 29)},
		"of an empty era": {epoch.At(1, 90), epoch.At(2, 0), epoch.Revision{}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, latestUnseen(items, c.from, c.to)) })
	}
}
