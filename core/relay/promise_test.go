package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/event"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// finalEffect returns the effect that answers a request, or nil.
func finalEffect(router *testRouter) event.Effect {
	i := slices.IndexFunc(router.effects, func(eff event.Effect) bool {
		switch eff.(type) {
		case Refuse, Fail, DeliverFailure:
			return true
		default:
			return false
		}
	})
	if i < 0 {
		return nil
	}
	return router.effects[i]
}

// Guards against a refusal that speaks of the last attempt only, and against a second attempt at what must not
// run twice, over all results of up to three attempts.
func TestAnswerSpeaksOfAllAttempts(t *testing.T) {
	results := []Result{Unsent, Shed, ModelMissing, Replaced, Broken, Failed, Expired}
	routes := map[string]*route.Route{
		"unsafe": plainRoute(route.Unsafe), "safe": plainRoute(route.Safe),
		"stream": {Name: "sole", Kind: route.Stream, Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 3},
	}
	for name, rt := range routes {
		rt.MaxAttempts = 3
		for n := range len(results) * len(results) * len(results) {
			series := []Result{results[n%7], results[n/7%7], results[n/49]}
			t.Run(fmt.Sprint(name, series), func(t *testing.T) {
				entries := []EndpointEntry{testEntry("e1", plain), testEntry("e2", plain), testEntry("e3", plain), testEntry("e4", plain)}
				router := newTestRouter(t, entries...)
				id := router.arrive(rt, stock.Item{})
				mayHaveRun, last := false, Result("")
				for i, result := range series {
					for range 20 {
						if finalEffect(router) != nil || len(effectsOf[Send](router)) > 0 {
							break
						}
						router.advance(avoidedRetryDelay)
					}
					if finalEffect(router) != nil {
						break
					}
					assert.False(t, mayHaveRun && !rt.Idempotent(), "sent again after %s", last)
					if i == len(series)-1 {
						// Nothing can take the request any more.
						router.listEndpoints()
					}
					router.endAttempt(id, result)
					mayHaveRun, last = mayHaveRun || result.MayHaveRun(), result
				}
				switch eff := finalEffect(router).(type) {
				case Refuse:
					assert.False(t, mayHaveRun, "refused as %s", eff.Reason)
				case Fail:
					assert.True(t, mayHaveRun, "failed as %s", eff.Reason)
				case DeliverFailure:
					assert.Equal(t, Failed, last)
				}
			})
		}
	}
}

// Guards against a refusal of a request whose run the endpoint had listed before it rejected it.
func TestListedRunIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		states []stock.RunState
		want   event.Effect
	}{
		"listed":     {[]stock.RunState{stock.RunListed}, Fail{ID: 1, Reason: NoEndpoint}},
		"not listed": {[]stock.RunState{stock.RunUnlisted}, nil},
	} {
		for _, result := range []Result{Shed, ModelMissing, Replaced} {
			t.Run(name+", "+string(result), func(t *testing.T) {
				router := newSilentStream(t)
				router.answerRun(c.states...)
				router.listEndpoints()
				router.endAttempt(1, result)
				if c.want != nil {
					assert.Equal(t, c.want, finalEffect(router))
					return
				}
				assert.IsType(t, Refuse{}, finalEffect(router))
			})
		}
	}
}

// Guards against an endpoint that counts as sound because its failures are too long to be buffered.
func TestForwardedFailureCountsAgainstEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		failed  bool
		ejected bool
	}{
		"failure": {true, true},
		"answer":  {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			router := newTestRouter(t, testEntry("e1", plain))
			for range 10 {
				id := router.arrive(plainRoute(route.Unsafe), stock.Item{})
				if len(effectsOf[Send](router)) == 0 {
					break
				}
				router.apply(AttemptEnded{ID: id, Result: Done, LastEvent: NoEvent, EndpointFailed: c.failed})
			}
			assert.Equal(t, c.ejected, router.state.endpoint("e1").ejectedUntil.After(router.now))
		})
	}
}
