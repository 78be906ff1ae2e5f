package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
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

const (
	// sitesWait and sitesPace are those of the platform's settings.
	sitesWait = 800 * time.Millisecond
	sitesPace = 700 * time.Millisecond
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
		Changed: func(image map[string][]byte) {
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
