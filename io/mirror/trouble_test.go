package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// trouble is how a troubled store treats the calls that come while it lasts.
type trouble int

const (
	sound trouble = iota
	// refusing answers 429 or 503 at once.
	refusing
	// silent never answers, also after the trouble has ended: the connection is dead.
	silent
	// cutting answers with an error after a while.
	cutting
	// slow answers late.
	slow
	// passing has watches that wait overlook changes and go on past them.
	passing
)

// troubles is how many kinds there are.
const troubles = int(passing) + 1

const (
	// sitesWait and sitesPace are those of the platform's settings.
	sitesWait = 800 * time.Millisecond
	sitesPace = 700 * time.Millisecond
	// drawnSlowTime is how late a slow store answers in a drawn series.
	drawnSlowTime = 600 * time.Millisecond
	// longestTrouble bounds one trouble of a drawn series.
	longestTrouble = 1500 * time.Millisecond
	// seenWithin is the bound on how late a change is seen by a mirror that reaches
	// the store.
	seenWithin = 2 * time.Second
)

// troubledStore is a store whose troubles a test sets; each call meets that of
// its beginning.
type troubledStore struct {
	*fakeStore
	trouble trouble
	// slowTime is how late a slow store answers.
	slowTime time.Duration
}

func (s *troubledStore) now() trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trouble
}

func (s *troubledStore) meet(ctx context.Context, tr trouble) error {
	pause := 4 * time.Millisecond
	switch tr {
	case refusing:
		return errDown
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case cutting, slow:
		pause = s.slowTime
	case sound, passing:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
	}
	if tr == cutting {
		return errDown
	}
	return nil
}

func (s *troubledStore) Page(ctx context.Context, prefix, after string) (Page, error) {
	if err := s.meet(ctx, s.now()); err != nil {
		return Page{}, err
	}
	return s.fakeStore.Page(ctx, prefix, after)
}

func (s *troubledStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	tr := s.now()
	if tr == slow {
		// The answer is late by so much whether or not there are changes.
		items, next, err := s.fakeStore.Watch(ctx, prefix, after, wait)
		if err != nil {
			return nil, 0, err
		}
		return items, next, s.meet(ctx, slow)
	}
	if err := s.meet(ctx, tr); err != nil {
		return nil, 0, err
	}
	if tr == passing {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(wait):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return nil, s.revision, nil
	}
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// followAll runs a mirror of all keys as routers do.
func followAll(t *testing.T, s Store) (*Mirror, func() map[string]string) {
	t.Helper()
	latest := make(chan map[string]string, 1)
	latest <- nil
	m := New(Options{
		Store: s, Pace: sitesPace, Wait: sitesWait, Log: zerolog.Nop(),
		Changed: func(image map[string][]byte, _ bool) {
			text := make(map[string]string, len(image))
			for key, value := range image {
				text[key] = string(value)
			}
			<-latest
			latest <- text
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m, func() map[string]string {
		text := <-latest
		latest <- text
		return text
	}
}

func (s *troubledStore) content() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := make(map[string]string, len(s.items))
	for key, it := range s.items {
		text[key] = string(it.Value)
	}
	return text
}

// change puts or removes a few keys; the operator's key is never removed.
func (s *troubledStore) change(rng *rand.Rand, n int) {
	s.put("op/config", fmt.Sprint(n))
	for range rng.IntN(4) {
		key := fmt.Sprintf("servers/%02d", rng.IntN(40))
		if rng.IntN(3) == 0 {
			s.remove(key)
			continue
		}
		s.put(key, fmt.Sprint(n))
	}
}

// TestImageEqualsStoreAfterTroubles: whatever the store did, within the bound after
// its last trouble the image has all that the store has. What was removed is kept
// for lapsedTime at most, as its writer may return.
func TestImageEqualsStoreAfterTroubles(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTroubles(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func playTroubles(t *testing.T, rng *rand.Rand) {
	s := &troubledStore{fakeStore: newFakeStore(), slowTime: drawnSlowTime}
	s.pageMost = 1 + rng.IntN(30)
	s.change(rng, 0)
	m, image := followAll(t, s)
	var told []string
	began := time.Now()
	for n := range 4 + rng.IntN(20) {
		tr := trouble(rng.IntN(troubles))
		told = append(told, fmt.Sprintf("%v:%d", time.Since(began), tr))
		s.set(func() { s.trouble = tr })
		time.Sleep(time.Duration(rng.Int64N(int64(longestTrouble))))
		s.change(rng, n+1)
		if rng.IntN(3) == 0 {
			s.compact()
			told = append(told, fmt.Sprintf("%v:compact", time.Since(began)))
		}
		if rng.IntN(4) == 0 {
			m.Refresh()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(longestTrouble / 5))))
	}
	s.set(func() { s.trouble = sound })
	time.Sleep(seenWithin)
	want, got := s.content(), image()
	for key, value := range want {
		require.Equal(t, value, got[key], "%s %v after the last trouble; troubles: %v", key, seenWithin, told)
	}
	time.Sleep(lapsedTime + sitesPace)
	assert.Equal(t, want, image(), "after removed entries have lapsed; troubles: %v", told)
}

// TestWatchThatPassesChangeBy: a watch that waited while a change was made answers
// without it and goes on past it. No other process tells of it.
func TestWatchThatPassesChangeBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &troubledStore{fakeStore: newFakeStore()}
		s.put("op/config", "1")
		_, image := followAll(t, s)
		eventually(t, map[string]string{"op/config": "1"}, image)
		s.set(func() { s.trouble = passing })
		time.Sleep(2 * (sitesWait + sitesPace))
		s.put("op/config", "2")
		time.Sleep(sitesWait)
		s.set(func() { s.trouble = sound })
		time.Sleep(seenWithin)
		assert.Equal(t, map[string]string{"op/config": "2"}, image())
	})
}

// TestSilentReadIsNotWaitedFor: while everything is read the store falls silent; the
// calls that it left without an answer are not waited for when it is back.
func TestSilentReadIsNotWaitedFor(t *testing.T) {
	for after := 4 * time.Second; after < 12*time.Second; after += 500 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &troubledStore{fakeStore: newFakeStore(), trouble: silent}
				s.put("op/config", "1")
				_, image := followAll(t, s)
				time.Sleep(after)
				s.set(func() { s.trouble = sound })
				time.Sleep(seenWithin)
				assert.Equal(t, map[string]string{"op/config": "1"}, image())
			})
		})
	}
}

// TestLongWatchAnswer: a watch whose answer takes longer than its wait, as after long
// outages of a large list, is not thrown away and asked for again forever.
func TestLongWatchAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &troubledStore{fakeStore: newFakeStore(), slowTime: 1500 * time.Millisecond}
		s.put("op/config", "1")
		_, image := followAll(t, s)
		eventually(t, map[string]string{"op/config": "1"}, image)
		s.set(func() { s.trouble = slow })
		s.put("op/config", "2")
		time.Sleep(sitesPace + 2*s.slowTime)
		assert.Equal(t, map[string]string{"op/config": "2"}, image())
	})
}

// TestRemovedEntryLapsesWhileStoreIsSilent: an entry that was kept for its writer to
// return goes in time, though the store does not answer.
func TestRemovedEntryLapsesWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &troubledStore{fakeStore: newFakeStore()}
		s.put("servers/a", "1")
		_, image := followAll(t, s)
		eventually(t, map[string]string{"servers/a": "1"}, image)
		s.set(func() { s.trouble = refusing })
		time.Sleep(sitesWait + sitesPace + retryMost)
		s.remove("servers/a")
		s.set(func() { s.trouble = sound })
		time.Sleep(2 * retryMost)
		assert.Len(t, image(), 1, "its writer may return")
		s.set(func() { s.trouble = silent })
		time.Sleep(seenWithin)
		assert.Empty(t, image())
	})
}

// TestRevisionsWithoutChanges: a store that counts revisions for what is no change of
// a key is seldom read in whole for it.
func TestRevisionsWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &troubledStore{fakeStore: newFakeStore()}
		s.put("op/config", "1")
		followAll(t, s)
		const minute = 60
		for range minute {
			time.Sleep(time.Second)
			s.set(func() { s.revision++ })
		}
		s.set(func() { assert.LessOrEqual(t, s.ranges, minute/int(checkMost.Seconds())+6) })
	})
}

// hungStore never answers its first watch; all other calls work.
type hungStore struct {
	*fakeStore
	hung atomic.Bool
}

func (s *hungStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	if s.hung.CompareAndSwap(false, true) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// A connection that is silent while others work is no outage of the store: an entry
// that is removed then is gone at once, and not waited for as one that may return.
func TestSilentConnectionIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hungStore{fakeStore: newFakeStore()}
		s.put("p/a", "1")
		s.put("p/b", "1")
		_, image := follow(t, s)
		eventually(t, map[string]string{"p/a": "1", "p/b": "1"}, image)
		s.remove("p/b")
		// The wait of the watch that follow asks for, and until it counts as silent.
		time.Sleep(50*time.Millisecond + watchSlack + 100*time.Millisecond)
		assert.Equal(t, map[string]string{"p/a": "1"}, image())
	})
}
