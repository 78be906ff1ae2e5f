package mirror

import (
	"bytes"
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

	"chervilreach/core/epoch"
)

// fault is how a faultyStore handles calls that begin while the fault is set.
type fault int

const (
	faultNone fault = iota
	// faultRefuse fails at once, as status 429 or 503 does.
	faultRefuse
	// faultSilent never answers, even after the fault has ended, as on a dead
	// connection.
	faultSilent
	// faultFailLate fails after slowDelay.
	faultFailLate
	// faultSlow delays answers by slowDelay.
	faultSlow
	// faultSkip lets watches that wait skip all changes and return the revision
	// after them.
	faultSkip
)

// faultKinds is the number of kinds of faults, faultNone included.
const faultKinds = int(faultSkip) + 1

const (
	// platformWatchWait and platformWatchPause are the values in the platform's
	// settings.
	platformWatchWait  = 800 * time.Millisecond
	platformWatchPause = 700 * time.Millisecond
	// randomSlowDelay is the slowDelay in a random sequence of faults.
	randomSlowDelay = 600 * time.Millisecond
	// maxFaultTime bounds the duration of a fault in a random sequence.
	maxFaultTime = 1500 * time.Millisecond
	// maxStaleness is the time within which a mirror that reaches the store must see
	// a change.
	maxStaleness = 2 * time.Second
)

// faultyStore is a store whose fault a test sets. A call is subject to the fault
// that is set when it begins.
type faultyStore struct {
	*fakeStore
	fault fault
	// slowDelay is the delay of faultSlow and faultFailLate.
	slowDelay time.Duration
}

func (s *faultyStore) currentFault() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// inject waits as long as a call takes under the fault and returns its error.
func (s *faultyStore) inject(ctx context.Context, current fault) error {
	delay := 4 * time.Millisecond
	switch current {
	case faultRefuse:
		return errDown
	case faultSilent:
		<-ctx.Done()
		return ctx.Err()
	case faultFailLate, faultSlow:
		delay = s.slowDelay
	case faultNone, faultSkip:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	if current == faultFailLate {
		return errDown
	}
	return nil
}

func (s *faultyStore) Page(ctx context.Context, prefix, after string) (Page, error) {
	if err := s.inject(ctx, s.currentFault()); err != nil {
		return Page{}, err
	}
	return s.fakeStore.Page(ctx, prefix, after)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after epoch.Revision, wait time.Duration) ([]Item, epoch.Revision, error) {
	current := s.currentFault()
	if current == faultSlow {
		// Any answer is delayed, whether or not it has changes.
		items, next, err := s.fakeStore.Watch(ctx, prefix, after, wait)
		if err != nil {
			return nil, epoch.Revision{}, err
		}
		return items, next, s.inject(ctx, faultSlow)
	}
	if err := s.inject(ctx, current); err != nil {
		return nil, epoch.Revision{}, err
	}
	if current == faultSkip {
		select {
		case <-ctx.Done():
			return nil, epoch.Revision{}, ctx.Err()
		case <-time.After(wait):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return nil, s.current(), nil
	}
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// startRootMirror runs a mirror of all keys with the settings of routers until the
// test ends. The returned function gives the latest entries passed to OnChange.
func startRootMirror(t *testing.T, s Store) (*Mirror, func() map[string]string) {
	t.Helper()
	latest := make(chan map[string]string, 1)
	latest <- nil
	m := New(Options{
		Store: s, WatchPause: platformWatchPause, WatchWait: platformWatchWait, Log: zerolog.Nop(),
		OnChange: func(s Snapshot) {
			entries := s.Entries
			snapshot := make(map[string]string, len(entries))
			for key, value := range entries {
				snapshot[key] = string(value)
			}
			<-latest
			latest <- snapshot
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m, func() map[string]string {
		snapshot := <-latest
		latest <- snapshot
		return snapshot
	}
}

// content returns the values by key.
func (s *faultyStore) content() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := make(map[string]string, len(s.items))
	for key, it := range s.items {
		snapshot[key] = string(it.Value)
	}
	return snapshot
}

// change sets op/config, and sets or removes up to three random keys under servers/.
func (s *faultyStore) change(rng *rand.Rand, n int) {
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

// maxRetention bounds how long removed entries stay beyond maxStaleness.
const maxRetention = 1500 * time.Millisecond

// After any sequence of faults the mirror has all entries of the store within
// maxStaleness. Removed entries may stay for another maxRetention, as their writers
// may write them again.
func TestMirrorMatchesStoreAfterFaults(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaultSequence(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func runFaultSequence(t *testing.T, rng *rand.Rand) {
	s := &faultyStore{fakeStore: newFakeStore(), slowDelay: randomSlowDelay}
	s.pageSize = 1 + rng.IntN(30)
	s.change(rng, 0)
	m, snapshot := startRootMirror(t, s)
	var trace []string
	began := time.Now()
	for n := range 4 + rng.IntN(20) {
		current := fault(rng.IntN(faultKinds))
		trace = append(trace, fmt.Sprintf("%v:%d", time.Since(began), current))
		s.withLock(func() { s.fault = current })
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultTime))))
		s.change(rng, n+1)
		if rng.IntN(3) == 0 {
			s.compact()
			trace = append(trace, fmt.Sprintf("%v:compact", time.Since(began)))
		}
		if rng.IntN(4) == 0 {
			m.Refresh()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultTime / 5))))
	}
	s.withLock(func() { s.fault = faultNone })
	time.Sleep(maxStaleness)
	want, got := s.content(), snapshot()
	for key, value := range want {
		require.Equal(t, value, got[key], "%s %v after the last fault; faults: %v", key, maxStaleness, trace)
	}
	time.Sleep(maxRetention + platformWatchPause)
	assert.Equal(t, want, snapshot(), "after removed entries have expired; faults: %v", trace)
}

// A watch that waits while a change is made returns a later revision without the
// change, and no other process causes a Refresh.
func TestWatchSkipsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore()}
		s.put("op/config", "1")
		_, snapshot := startRootMirror(t, s)
		requireEventually(t, map[string]string{"op/config": "1"}, snapshot)
		s.withLock(func() { s.fault = faultSkip })
		time.Sleep(2 * (platformWatchWait + platformWatchPause))
		s.put("op/config", "2")
		time.Sleep(platformWatchWait)
		s.withLock(func() { s.fault = faultNone })
		time.Sleep(maxStaleness)
		assert.Equal(t, map[string]string{"op/config": "2"}, snapshot())
	})
}

// When the store hangs during a full read and recovers, the read must not wait for
// the calls that hang.
func TestSilentReadIsNotWaitedFor(t *testing.T) {
	for after := 4 * time.Second; after < 12*time.Second; after += 500 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &faultyStore{fakeStore: newFakeStore(), fault: faultSilent}
				s.put("op/config", "1")
				_, snapshot := startRootMirror(t, s)
				time.Sleep(after)
				s.withLock(func() { s.fault = faultNone })
				time.Sleep(maxStaleness)
				assert.Equal(t, map[string]string{"op/config": "1"}, snapshot())
			})
		})
	}
}

// A key changes after a full read has read it, and the read fails and is resumed. The change
// is seen as soon as the read has completed, not after another pause.
func TestChangeDuringResumedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore(), slowDelay: randomSlowDelay}
		s.pageSize = 1
		s.put("op/config", "1")
		s.put("servers/a", "1")
		s.put("servers/b", "1")
		m, snapshot := startRootMirror(t, s)
		requireEventually(t, s.content(), snapshot)
		s.withLock(func() { s.fault = faultSlow })
		m.Refresh()
		time.Sleep(platformWatchPause + s.slowDelay + s.slowDelay/2)
		s.put("op/config", "2")
		s.withLock(func() { s.fault = faultRefuse })
		time.Sleep(s.slowDelay)
		s.withLock(func() { s.fault = faultNone })
		time.Sleep(platformWatchPause - minBackoff)
		assert.Equal(t, s.content(), snapshot())
	})
}

// An answer that arrives long after the wait of its watch, as for a large list after
// a long outage, is used. Discarding it would repeat the same watch forever.
func TestLongWatchAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore(), slowDelay: 1500 * time.Millisecond}
		s.put("op/config", "1")
		_, snapshot := startRootMirror(t, s)
		requireEventually(t, map[string]string{"op/config": "1"}, snapshot)
		s.withLock(func() { s.fault = faultSlow })
		s.put("op/config", "2")
		time.Sleep(platformWatchPause + 2*s.slowDelay)
		assert.Equal(t, map[string]string{"op/config": "2"}, snapshot())
	})
}

// A removed entry that is retained for its writer expires in time although the store
// does not answer.
func TestRemovedEntryLapsesWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore()}
		s.put("servers/a", "1")
		_, snapshot := startRootMirror(t, s)
		requireEventually(t, map[string]string{"servers/a": "1"}, snapshot)
		s.withLock(func() { s.fault = faultRefuse })
		time.Sleep(platformWatchWait + platformWatchPause + maxBackoff)
		s.remove("servers/a")
		s.withLock(func() { s.fault = faultNone })
		time.Sleep(2 * maxBackoff)
		assert.Len(t, snapshot(), 1, "the removed entry is retained for its writer")
		s.withLock(func() { s.fault = faultSilent })
		time.Sleep(maxStaleness)
		assert.Empty(t, snapshot())
	})
}

// A store that increments its revision without changing a key causes few full
// reads.
func TestRevisionsWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore()}
		s.put("op/config", "1")
		startRootMirror(t, s)
		const secondCount = 60
		for range secondCount {
			time.Sleep(time.Second)
			s.withLock(func() { s.revision++ })
		}
		s.withLock(func() { assert.LessOrEqual(t, s.pageReadCount, secondCount/int(maxRereadInterval.Seconds())+6) })
	})
}

// hungStore never answers its first watch. All other calls work.
type hungStore struct {
	*fakeStore
	hung atomic.Bool
}

func (s *hungStore) Watch(ctx context.Context, prefix string, after epoch.Revision, wait time.Duration) ([]Item, epoch.Revision, error) {
	if s.hung.CompareAndSwap(false, true) {
		<-ctx.Done()
		return nil, epoch.Revision{}, ctx.Err()
	}
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// The error of a call that fails while another one is in progress is logged.
func TestFailureBesideAnotherCallIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := New(Options{Log: zerolog.New(&log)})
		const delay = 100 * time.Millisecond
		got, err := hedge(t.Context(), m, delay, nil, func(_ context.Context, hedged bool) (int, error) {
			if hedged {
				time.Sleep(delay)
				return 1, nil
			}
			time.Sleep(delay + delay/2)
			return 0, errDown
		})
		require.NoError(t, err)
		assert.Equal(t, 1, got)
		assert.Contains(t, log.String(), errDown.Error())
	})
}

// A connection that hangs while others work does not count as an outage of the
// store: an entry that is removed meanwhile is dropped at once and not retained.
func TestSilentConnectionIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hungStore{fakeStore: newFakeStore()}
		s.put("p/a", "1")
		s.put("p/b", "1")
		_, snapshot := startMirror(t, s)
		requireEventually(t, map[string]string{"p/a": "1", "p/b": "1"}, snapshot)
		s.remove("p/b")
		// The wait of the watch, and until the hedged watch has returned.
		time.Sleep(50*time.Millisecond + watchGrace + 100*time.Millisecond)
		assert.Equal(t, map[string]string{"p/a": "1"}, snapshot())
	})
}
