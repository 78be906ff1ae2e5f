package feed_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/delta"
	"chervilreach/core/epoch"
	"chervilreach/core/route"
	"chervilreach/io/feed"
)

var errNoVersion = errors.New("no version")

// decode decodes documents of the form "VERSION}TEXT".
func decode(document []byte) (*route.Table, error) {
	version, _, _ := strings.Cut(string(document), "}")
	n, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return nil, errNoVersion
	}
	return route.NewTable(n, route.Limits{}, nil, nil), nil
}

// router is a feed with a store and agents.
type router struct {
	t    *testing.T
	feed *feed.Feed
	// mu guards all that follows.
	mu sync.Mutex
	// document and revision are those of the store.
	document string
	revision epoch.Revision
	// agents reports whether agents are connected.
	agents bool
	// adopted are the versions in the order of their adoption, with their sources.
	adopted []string
	reads   []time.Time
	skipped int
	// asked is the number of times that agents were asked. confirming reports whether they answer that
	// nothing is new.
	asked      int
	confirming bool
}

// newRouter returns a router that has read version 1 at revision 1.
func newRouter(t *testing.T) *router {
	r := &router{t: t, document: "1}", revision: epoch.At(1, 1), agents: true}
	r.feed = feed.New(feed.Options{
		WatchCycle: 1500 * time.Millisecond,
		Decode:     decode, Log: zerolog.Nop(),
		AgentsConnected: func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.agents
		},
		Adopt: func(table *route.Table, source string, _ time.Time) {
			r.do(func() { r.adopted = append(r.adopted, fmt.Sprint(source, " ", table.Version)) })
		},
		AskAgents: func() {
			r.do(func() {
				r.asked++
				if r.confirming {
					revision := r.revision
					go func() { r.feed.Confirm(r.feed.Version(), revision) }()
				}
			})
		},
		ReadStore: func() {
			r.do(func() { r.reads = append(r.reads, time.Now()) })
			go r.read()
		},
		OnSkipped: func() { r.do(func() { r.skipped++ }) },
	})
	r.read()
	r.do(func() { r.adopted = nil })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go r.feed.Run(ctx)
	// A version that came shortly before explains a revision.
	time.Sleep(time.Minute)
	return r
}

// do calls fn with mu held.
func (r *router) do(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

// read is what a mirror does when it reads the store.
func (r *router) read() {
	var document string
	var revision epoch.Revision
	r.do(func() { document, revision = r.document, r.revision })
	if err := r.feed.Offer([]byte(document), "store", revision, time.Now()); err != nil {
		r.t.Error(err)
	}
	r.feed.StoreRead(revision)
}

// after returns the revision after another.
func after(r epoch.Revision) epoch.Revision {
	era, number := r.Wire()
	return epoch.At(era, number+1)
}

// raise raises the revision of the store, which the watch of the endpoints shows without having
// delivered it.
func (r *router) raise() {
	r.do(func() { r.revision = after(r.revision) })
	r.feed.Unseen(r.revision)
}

// put writes a version.
func (r *router) put(version int64) {
	r.do(func() { r.document = fmt.Sprint(version, "}") })
	r.raise()
}

func TestSourceOfANewVersion(t *testing.T) {
	for name, c := range map[string]struct {
		run   func(r *router)
		want  string
		reads int
		// skipped is the number of times that a watch may have skipped a change.
		skipped int
	}{
		"an agent sends a delta": {func(r *router) {
			d := delta.Diff(1, 2, []byte("1}"), []byte("2}"))
			r.put(2)
			time.Sleep(100 * time.Millisecond)
			require.NoError(r.t, r.feed.OfferDeltas([]delta.Delta{d}, "agent", r.revision, time.Now()))
		}, "[agent 2]", 0, 0},
		"an agent sends it before the watch": {func(r *router) {
			require.NoError(r.t, r.feed.Offer([]byte("2}"), "agent", epoch.At(1, 2), time.Now()))
			r.put(2)
		}, "[agent 2]", 0, 0},
		"an agent has an older one": {func(r *router) {
			require.NoError(r.t, r.feed.Offer([]byte("2}"), "agent", epoch.At(1, 2), time.Now()))
			r.do(func() { r.revision = epoch.At(1, 2) })
			r.put(3)
			r.feed.Confirm(2, epoch.At(1, 2))
		}, "[agent 2 store 3]", 1, 0},
		"agents are silent":        {func(r *router) { r.put(2) }, "[store 2]", 1, 0},
		"there are no agents":      {func(r *router) { r.do(func() { r.agents = false }); r.put(2) }, "[store 2]", 1, 0},
		"an agent fails to send":   {func(r *router) { r.do(func() { r.document = "2}" }); r.feed.Want(2) }, "[store 2]", 1, 0},
		"several versions at once": {func(r *router) { r.put(2); r.put(3); r.put(4) }, "[store 4]", 1, 0},
		"the store comes back from a copy": {func(r *router) {
			r.do(func() { r.revision = epoch.At(1, 40) })
			r.feed.Confirm(1, epoch.At(1, 40))
			r.do(func() { r.document, r.revision = "2}", epoch.At(2, 30) })
			r.feed.Unseen(epoch.At(2, 30))
		}, "[store 2]", 1, 0},
		"an agent knows only the era before": {func(r *router) {
			r.do(func() { r.document, r.revision = "2}", epoch.At(2, 30) })
			r.feed.Unseen(epoch.At(2, 30))
			r.feed.Confirm(1, epoch.At(1, 40))
		}, "[store 2]", 1, 0},
		"an agent confirms": {func(r *router) {
			r.raise()
			r.feed.Confirm(1, r.revision)
		}, "[]", 0, 1},
		"an older document": {func(r *router) {
			require.NoError(r.t, r.feed.Offer([]byte("0}"), "agent", epoch.At(1, 9), time.Now()))
		}, "[]", 0, 0},
		"deltas from a version before": {func(r *router) {
			require.NoError(r.t, r.feed.Offer([]byte("2}"), "agent", epoch.At(1, 2), time.Now()))
			d := []delta.Delta{delta.Diff(1, 2, []byte("1}"), []byte("2}")), delta.Diff(2, 3, []byte("2}"), []byte("3}"))}
			require.NoError(r.t, r.feed.OfferDeltas(d, "agent", epoch.At(1, 3), time.Now()))
		}, "[agent 2 agent 3]", 0, 0},
		"deltas of another document": {func(r *router) {
			d := delta.Diff(1, 2, []byte("1}other}"), []byte("2}other}"))
			require.ErrorIs(r.t, r.feed.OfferDeltas([]delta.Delta{d}, "agent", epoch.At(1, 2), time.Now()), delta.ErrMismatch)
		}, "[]", 0, 0},
		"malformed document": {func(r *router) {
			require.ErrorIs(r.t, r.feed.Offer([]byte("x"), "agent", epoch.At(1, 2), time.Now()), errNoVersion)
			assert.EqualValues(r.t, 1, r.feed.Version())
		}, "[]", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(t)
				c.run(r)
				// A version must be in force within two seconds, most of which the watch may take.
				time.Sleep(500 * time.Millisecond)
				r.do(func() { assert.Equal(t, c.want, fmt.Sprint(r.adopted)) })
				time.Sleep(time.Minute)
				r.do(func() { assert.Len(t, r.reads, c.reads) })
				r.do(func() { assert.Equal(t, c.skipped, r.skipped) })
			})
		})
	}
}

// A revision that rises for other reasons than routes costs few reads, and delays no version for long.
func TestOtherRevisionsCauseFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(t)
		for range 600 {
			r.raise()
			time.Sleep(100 * time.Millisecond)
		}
		r.do(func() { assert.Less(t, len(r.reads), 14) })
		r.do(func() { assert.Positive(t, r.skipped, "a watch may have skipped a change") })
		r.do(func() { assert.Less(t, r.skipped, 14) })
		r.put(2)
		time.Sleep(9 * time.Second)
		r.do(func() { assert.Equal(t, []string{"store 2"}, r.adopted) })
		time.Sleep(20 * time.Second)
		r.put(3)
		time.Sleep(500 * time.Millisecond)
		r.do(func() { assert.Equal(t, []string{"store 2", "store 3"}, r.adopted) })
	})
}

// Versions come faster than the store can be read: each read brings the newest one.
func TestStormOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(t)
		for version := range int64(100) {
			r.put(version + 2)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		assert.EqualValues(t, 101, r.feed.Version())
		// One read each 0.3 s, the lead of the agents.
		r.do(func() { assert.LessOrEqual(t, len(r.reads), 35) })
	})
}

// A revision that is not one of the routes, as of an agent that starts, must not cost a read of a large
// document if agents know that nothing is new, and no more than 1.5 s if they don't.
func TestLargeDocumentIsNotReadForOtherRevisions(t *testing.T) {
	for name, c := range map[string]struct {
		confirming bool
		reads      int
	}{"agents confirm": {true, 0}, "agents are silent": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(t)
				r.do(func() { r.document = "2}" + strings.Repeat("x", 100_000) })
				require.NoError(t, r.feed.Offer([]byte(r.document), "agent", epoch.At(1, 1), time.Now()))
				r.do(func() { r.confirming = c.confirming })
				r.raise()
				time.Sleep(1600 * time.Millisecond)
				r.do(func() { assert.Len(t, r.reads, c.reads) })
				r.do(func() { assert.Positive(t, r.asked) })
			})
		})
	}
}

func TestDeltasNeedADocument(t *testing.T) {
	f := feed.New(feed.Options{Decode: decode})
	err := f.OfferDeltas([]delta.Delta{delta.Diff(1, 2, []byte("1}"), []byte("2}"))}, "agent", epoch.At(1, 2), time.Now())
	require.ErrorIs(t, err, feed.ErrNoDocument)
}
