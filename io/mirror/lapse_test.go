package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against live endpoints that are dropped because a part of the leases has expired in an outage of
// the store: the rest was renewed just before it or just after.
func TestFewEntriesThatExpiredInAnOutageAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{fakeStore: newFakeStore()}
		all := putMany(s, 12)
		m, snapshot := startRootMirror(t, s)
		requireEventually(t, all, snapshot)
		s.withLock(func() { s.fault = faultRefuse })
		time.Sleep(3500 * time.Millisecond)
		for _, key := range []string{"servers/01", "servers/04", "servers/07", "servers/10"} {
			s.remove(key)
		}
		s.withLock(func() { s.fault = faultNone })
		m.Refresh()
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, all, snapshot(), "writers have two seconds to write them again")
		}
	})
}
