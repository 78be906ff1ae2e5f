package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"chervilreach/core/epoch"
)

// watchedMirror is a mirror of the keys under p/ that keeps what it reports.
type watchedMirror struct {
	*Mirror
	// mu guards the fields that follow but watching.
	mu       sync.Mutex
	entries  map[string][]byte
	unseen   []epoch.Revision
	reads    []epoch.Revision
	watching atomic.Bool
}

// do calls fn with mu held.
func (m *watchedMirror) do(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

func startWatchedMirror(t *testing.T, f Store) *watchedMirror {
	m := &watchedMirror{}
	m.watching.Store(true)
	m.Mirror = New(Options{
		Store: f, Prefix: "p/", WatchPause: time.Millisecond, WatchWait: 50 * time.Millisecond, Log: zerolog.Nop(),
		OnChange: func(s Snapshot) { m.do(func() { m.entries = s.Entries }) }, Watching: m.watching.Load,
		OnFullRead: func(revision epoch.Revision) { m.do(func() { m.reads = append(m.reads, revision) }) },
		OnUnseen:   func(revision epoch.Revision) { m.do(func() { m.unseen = append(m.unseen, revision) }) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	time.Sleep(200 * time.Millisecond)
	return m
}

func TestUnseenRevisions(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fakeStore, m *watchedMirror)
		want   []epoch.Revision
	}{
		"key of the prefix": {func(f *fakeStore, _ *watchedMirror) { f.put("p/a", "2"); f.remove("p/a") }, nil},
		"other key":         {func(f *fakeStore, _ *watchedMirror) { f.put("q/x", "1") }, []epoch.Revision{epoch.At(0, 2)}},
		"other key between others": {func(f *fakeStore, _ *watchedMirror) {
			f.withLock(func() { f.dropChanges = false })
			f.mu.Lock()
			for _, key := range []string{"p/a", "q/x", "p/a"} {
				f.revision++
				it := Item{Key: key, Value: []byte("x"), Revision: f.current()}
				f.items[key], f.history = it, append(f.history, it)
			}
			f.mu.Unlock()
		}, []epoch.Revision{epoch.At(0, 3)}},
		"watch skips a change": {func(f *fakeStore, _ *watchedMirror) {
			f.withLock(func() { f.dropChanges = true })
			f.put("p/a", "2")
		}, []epoch.Revision{epoch.At(0, 2)}},
		"full read of what was seen": {func(_ *fakeStore, m *watchedMirror) { m.Refresh() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore()
				f.put("p/a", "1")
				m := startWatchedMirror(t, f)
				c.change(f, m)
				time.Sleep(200 * time.Millisecond)
				m.do(func() { assert.Equal(t, c.want, m.unseen) })
			})
		})
	}
}

// A mirror that does not watch reads once, and again when it is told to; one that begins to watch
// does not ask for all changes since.
func TestMirrorThatDoesNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put("p/a", "1")
		m := startWatchedMirror(t, f)
		m.watching.Store(false)
		time.Sleep(time.Second)
		f.put("p/a", "2")
		f.put("p/a", "3")
		time.Sleep(time.Minute)
		m.do(func() { assert.Equal(t, "1", string(m.entries["p/a"])) })
		m.Refresh()
		time.Sleep(time.Second)
		m.do(func() { assert.Equal(t, "3", string(m.entries["p/a"])) })
		f.put("p/a", "4")
		f.compact()
		m.watching.Store(true)
		time.Sleep(time.Second)
		m.do(func() { assert.Equal(t, "4", string(m.entries["p/a"])) })
		m.do(func() { assert.Equal(t, []epoch.Revision{epoch.At(0, 1), epoch.At(0, 3), epoch.At(0, 4)}, m.reads) })
	})
}
