package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// window is the time in which the platform counts the requests to a limited endpoint.
const window = 4 * time.Second

// allowed returns the number of requests that a limited endpoint may get within window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

// mostInWindow returns the largest number of times within window.
func mostInWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for !at.Before(times[first].Add(window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// fleet simulates routers that ask for permits as fast as they can, and use them at a random
// time of their lifetime.
type fleet struct {
	rnd     *rand.Rand
	now     time.Time
	granter *Schedule
	ask     Ask
	// sent are the times at which requests reached the endpoint.
	sent []time.Time
	// frozenUntil is the time until which a router is frozen, by router.
	frozenUntil []time.Time
}

func (f *fleet) step(router int) {
	if f.now.Before(f.frozenUntil[router]) {
		return
	}
	ask := f.ask
	ask.Latest, ask.Urgent = f.now.Add(time.Minute), router%2 == 0
	start, ok := f.granter.Reserve(f.now, ask)
	if !ok {
		return
	}
	at := start.Add(time.Duration(f.rnd.Int64N(int64(Lifetime))))
	if at.Before(f.frozenUntil[router]) {
		return
	}
	f.sent = append(f.sent, at)
}

// All routers together keep to the limit, however many they are, also when the granter restarts
// or another one takes over, and when routers freeze. The endpoint gets most of what it allows.
func TestRoutersTogetherKeepToLimit(t *testing.T) {
	for _, routers := range []int{5, 27, 107, 330} {
		for _, perSecond := range []float64{0.3, 1, 5, 50} {
			for name, restartEvery := range map[string]time.Duration{"calm": 0, "granter restarts": 5 * time.Second} {
				t.Run(fmt.Sprintf("%d routers, %g a second, %s", routers, perSecond, name), func(t *testing.T) {
					f := fleet{
						rnd: rand.New(rand.NewPCG(1, uint64(routers))), now: time.UnixMilli(1_000_000), granter: &Schedule{},
						ask: Ask{PerSecond: perSecond}, frozenUntil: make([]time.Time, routers),
					}
					const length = time.Minute
					for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
						f.now = f.now.Add(10 * time.Millisecond)
						if restartEvery > 0 && at > 0 && at%restartEvery == 0 {
							f.granter = &Schedule{}
						}
						if f.rnd.IntN(50) == 0 {
							f.frozenUntil[f.rnd.IntN(routers)] = f.now.Add(2 * time.Second)
						}
						for range max(routers/5, 1) {
							f.step(f.rnd.IntN(routers))
						}
					}
					assert.LessOrEqual(t, mostInWindow(f.sent), allowed(perSecond))
					assert.GreaterOrEqual(t, float64(len(f.sent)), 0.8*perSecond*length.Seconds())
				})
			}
		}
	}
}

// A share of the limit for each router, with a bucket of one request, exceeds the limit from
// seven routers on at one request per second: the reason for permits.
func TestSharesOfRoutersExceedLimit(t *testing.T) {
	for routers, want := range map[int]bool{5: false, 27: true, 107: true, 330: true} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			var sent []time.Time
			for range routers {
				// Each router has been idle, so that its bucket is full, and demand returns at once.
				for at := time.Duration(0); at < window; at += time.Duration(routers) * time.Second {
					sent = append(sent, now.Add(at))
				}
			}
			assert.Equal(t, want, mostInWindow(sent) > allowed(1))
		})
	}
}

// A granter that was held up has no more permits to give than after any idle period.
func TestNoCreditIsSavedUp(t *testing.T) {
	s, now := Schedule{}, time.UnixMilli(1_000_000)
	for range 10 {
		s.Reserve(now, Ask{PerSecond: 10, Latest: now.Add(time.Minute)})
	}
	now = now.Add(time.Hour)
	immediate := 0
	for range 10 {
		if at, ok := s.Reserve(now, Ask{PerSecond: 10, Latest: now}); ok && at.Equal(now) {
			immediate++
		}
	}
	assert.Equal(t, burst, immediate)
}

// Urgent requests go first while routers ask for more than the limit, and others still get
// their turn.
func TestUrgentRequestsGoFirst(t *testing.T) {
	s, now := Schedule{}, time.UnixMilli(1_000_000)
	granted := make(map[bool]int)
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		for _, urgent := range []bool{false, true} {
			if _, ok := s.Reserve(now, Ask{PerSecond: 5, Urgent: urgent, Latest: now.Add(time.Minute)}); ok {
				granted[urgent]++
			}
		}
	}
	assert.Greater(t, granted[true], 2*granted[false])
	assert.Greater(t, granted[false], 50)
}

// The lowest rate still lets a request through, as only an answer can end a limit.
func TestLimitOfZeroIsProbed(t *testing.T) {
	s, now := Schedule{}, time.UnixMilli(1_000_000)
	count := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if _, ok := s.Reserve(now, Ask{Latest: now}); ok {
			count++
		}
	}
	assert.InDelta(t, 7, count, 2)
}
