package relay

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/poison"
	"chervilreach/core/route"
)

// deadlyPath is the path of the request that crashes endpoints.
const deadlyPath = "/deadly"

// newRequestFleet returns a fleet with three endpoints of the plain service beside those of models.
func newRequestFleet(t *testing.T, seed uint64, routerCount, hostCount int) *poisonFleet {
	t.Helper()
	f := newPoisonFleet(t, seed, routerCount, hostCount)
	for range 3 {
		h := &poisonHost{index: len(f.hosts), up: true, plain: true}
		f.hosts = append(f.hosts, h)
		f.entries = append(f.entries, f.entryOf(h))
	}
	f.listEndpoints(f.entries)
	f.run(2*time.Second, 0)
	return f
}

// plainHosts returns the hosts of the plain service.
func (f *poisonFleet) plainHosts() []*poisonHost {
	return lo.Filter(f.hosts, func(h *poisonHost, _ int) bool { return h.plain })
}

// runRequests advances the clock by d. The plain service gets requests with paths of their own, or with
// popular ones, and the deadly one each deadlyGap if that is not zero.
func (f *poisonFleet) runRequests(d time.Duration, perSecond float64, popular int, kind route.Kind, deadlyGap time.Duration) {
	nextDeadly := f.now
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(fleetStep, 0)
		for n := f.rnd.Float64() + perSecond*fleetStep.Seconds(); n >= 1; n-- {
			path := fmt.Sprint("/own/", f.rnd.Uint64())
			if popular > 0 {
				path = fmt.Sprint("/popular/", int(float64(popular)*f.rnd.ExpFloat64()/3)%popular)
			}
			req := &poisonRequest{path: path, kind: kind, arrivedAt: f.now}
			f.sound = append(f.sound, req)
			f.arrive(f.anyRouter(), req)
		}
		if deadlyGap > 0 && !f.now.Before(nextDeadly) {
			nextDeadly = f.now.Add(deadlyGap)
			f.arrive(f.anyRouter(), &poisonRequest{path: deadlyPath, kind: kind, deadly: deadlyPath, arrivedAt: f.now})
		}
	}
}

// requestsLate returns how often the deadly request reached endpoints later than reachedGrace after its
// third crash.
func (f *poisonFleet) requestsLate() int {
	if len(f.crashedAt[deadlyPath]) < 3 {
		return 0
	}
	bound := f.crashedAt[deadlyPath][2].Add(reachedGrace)
	return lo.CountBy(f.reachedAt[deadlyPath], func(at time.Time) bool { return at.After(bound) })
}

// convictedPaths returns the paths of sound requests that a router holds for convicted.
func (f *poisonFleet) convictedPaths() []string {
	var list []string
	for _, path := range lo.Uniq(lo.Map(f.sound, func(req *poisonRequest, _ int) string { return req.path })) {
		part := poison.RequestPart(plain, []string{path}, nil)
		if lo.SomeBy(f.routers, func(r *poisonRouter) bool { return r.state.poison.verdicts[part].InForce(f.now) }) {
			list = append(list, path)
		}
	}
	return list
}

// Guards against a request that crashes endpoint after endpoint and comes again at any router.
func TestFleetStopsDeadlyRequest(t *testing.T) {
	for _, size := range fleetSizes {
		for name, c := range map[string]struct {
			kind    route.Kind
			prepare func(f *poisonFleet)
			onCrash func(f *poisonFleet, count int)
			// large reports whether the case is simulated in large fleets even without POISON_SEEDS, as
			// these take minutes under the race detector.
			large bool
		}{
			"safe":                  {kind: route.Safe, large: true},
			"must not run twice":    {kind: route.Unsafe},
			"routers frozen":        {kind: route.Safe, onCrash: (*poisonFleet).freezeThird},
			"agents restarted":      {kind: route.Safe, onCrash: (*poisonFleet).restartJudges},
			"endpoints of judges":   {kind: route.Safe, onCrash: (*poisonFleet).crashJudges},
			"a third killed":        {kind: route.Safe, onCrash: (*poisonFleet).killThird},
			"routers started later": {kind: route.Safe, onCrash: (*poisonFleet).restartRouters, large: true},
			"routers cut off": {kind: route.Safe, prepare: func(f *poisonFleet) {
				judges := lo.Map(f.routers[0].state.judges(plain), func(e *endpoint, _ int) int { return f.hostOf(e.Address).index })
				f.cutOff = func(router, host int) bool { return router%3 == 0 && lo.Contains(judges, host) }
				for _, r := range f.routers {
					for _, host := range judges {
						if f.isCutOff(r.index, host) {
							f.apply(r, AgentLost{Instance: f.hosts[host].instance()})
						}
					}
				}
			}},
		} {
			if size.routers > 27 && !c.large && os.Getenv("POISON_SEEDS") == "" {
				continue
			}
			for _, seed := range poisonSeeds(t) {
				t.Run(fmt.Sprintf("%d routers, %s, seed %d", size.routers, name, seed), func(t *testing.T) {
					t.Parallel()
					f := newRequestFleet(t, seed, size.routers, size.hosts)
					if c.prepare != nil {
						c.prepare(f)
					}
					if c.onCrash != nil {
						f.onCrash = func(count int) { c.onCrash(f, count) }
					}
					f.runRequests(20*time.Second, 10, 0, c.kind, 700*time.Millisecond)
					crashes := f.crashedAt[deadlyPath]
					require.GreaterOrEqual(t, len(crashes), 3)
					t.Logf("%d crashes, %d arrivals after the bound; %+v", len(crashes), f.requestsLate(), f.counts)
					assert.LessOrEqual(t, f.requestsLate(), maxReached)
					assert.Empty(t, f.convictedPaths())
				})
			}
		}
	}
}

// Guards against verdicts on sound requests that come again and again, as GETs without a body do,
// where endpoints crash for other reasons: now and then, all together, or by turns.
func TestFleetConvictsNoSoundRequest(t *testing.T) {
	for _, size := range fleetSizes {
		for name, c := range map[string]struct {
			gap   time.Duration
			herd  bool
			kinds route.Kind
		}{
			"now and then":                 {gap: 8 * time.Second, kinds: route.Safe},
			"together":                     {gap: 15 * time.Second, herd: true, kinds: route.Safe},
			"by turns":                     {gap: 4 * time.Second, kinds: route.Safe},
			"by turns, must not run twice": {gap: 4 * time.Second, kinds: route.Unsafe},
		} {
			if size.routers > 27 && os.Getenv("POISON_SEEDS") == "" {
				continue
			}
			for _, seed := range poisonSeeds(t) {
				t.Run(fmt.Sprintf("%d routers, %s, seed %d", size.routers, name, seed), func(t *testing.T) {
					t.Parallel()
					f := newRequestFleet(t, seed, size.routers, size.hosts)
					for n := range int(2 * time.Minute / c.gap) {
						f.runRequests(c.gap/2+time.Duration(f.rnd.Int64N(int64(c.gap))), 20, 30, c.kinds, 0)
						for i, h := range f.plainHosts() {
							if c.herd || i == n%3 {
								f.at(f.now.Add(time.Duration(f.rnd.IntN(100))*time.Millisecond), func() { f.crash(h) })
							}
						}
					}
					assert.Empty(t, f.convictedPaths())
					assert.Zero(t, lo.CountBy(f.sound, func(req *poisonRequest) bool { return req.refused }))
				})
			}
		}
	}
}
