package mirror

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// putMany writes n entries and returns what a snapshot has then.
func putMany(s *faultyStore, n int) map[string]string {
	all := make(map[string]string, n)
	for i := range n {
		key := fmt.Sprintf("servers/%02d", i)
		s.put(key, "1")
		all[key] = "1"
	}
	return all
}

// Guards against requests to an endpoint that has left, by a router that was cut off from the store
// until just before, or while it left.
func TestEntryRemovedAroundACutIsDroppedAtOnce(t *testing.T) {
	for name, at := range map[string]time.Duration{
		"during the cut": -time.Second, "at its end": 0, "soon after": 500 * time.Millisecond, "later": 1500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &faultyStore{fakeStore: newFakeStore()}
				all := putMany(s, 12)
				m, snapshot := startRootMirror(t, s)
				requireEventually(t, all, snapshot)
				s.withLock(func() { s.fault = faultSilent })
				time.Sleep(8*time.Second + min(at, 0))
				if at < 0 {
					s.remove("servers/03")
					time.Sleep(-at)
				}
				s.withLock(func() { s.fault = faultNone })
				time.Sleep(max(at, 0))
				if at >= 0 {
					s.remove("servers/03")
				}
				removedAt := time.Now()
				delete(all, "servers/03")
				for time.Since(removedAt) < maxRetention {
					time.Sleep(100 * time.Millisecond)
					m.Refresh()
				}
				assert.Equal(t, all, snapshot())
			})
		})
	}
}

// Guards against entries that are kept anew by each read which lacks them, and against a pause between
// two watches that delays their end.
func TestRetainedEntryKeepsItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore()}
		all := putMany(s, 4)
		m, snapshot := startRootMirror(t, s)
		requireEventually(t, all, snapshot)
		s.withLock(func() { s.fault = faultRefuse })
		time.Sleep(platformWatchWait + platformWatchPause + maxBackoff)
		for key := range all {
			s.remove(key)
		}
		s.withLock(func() { s.fault = faultNone })
		backAt := time.Now()
		time.Sleep(2 * maxBackoff)
		assert.Equal(t, all, snapshot(), "the store was away: writers may write them again")
		s.put("servers/00", "2")
		for time.Since(backAt) < restoreWindow+maxBackoff+maxBackoff/2 {
			time.Sleep(50 * time.Millisecond)
			m.Refresh()
		}
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, map[string]string{"servers/00": "2"}, snapshot())
	})
}

// Guards against requests to endpoints that have left, by a router that was cut off while most endpoints
// were replaced.
func TestEntriesReplacedInACutAreDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore()}
		all := putMany(s, 12)
		m, snapshot := startRootMirror(t, s)
		requireEventually(t, all, snapshot)
		s.withLock(func() { s.fault = faultSilent })
		time.Sleep(8 * time.Second)
		for key := range all {
			if key != "servers/03" && key != "servers/07" {
				s.remove(key)
			}
		}
		s.withLock(func() { s.fault = faultNone })
		healedAt := time.Now()
		time.Sleep(time.Second)
		s.remove("servers/07")
		// The rule on requests to endpoints that have left holds from 3 s after the cut on.
		for time.Since(healedAt) < 3*time.Second {
			time.Sleep(100 * time.Millisecond)
			m.Refresh()
		}
		assert.Equal(t, map[string]string{"servers/03": "1"}, snapshot())
	})
}
