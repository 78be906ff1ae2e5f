package router_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/router"
)

// bookings is a plain service at both endpoints of a fixture.
const bookings fleet.ServiceID = "bookings"

// acceptConfig applies the configuration of the fixture with the service bookings, changed by edit.
func (f *fixture) acceptConfig(revision fleet.Revision, edit func(*record.Config)) {
	cfg := &record.Config{
		Revision: revision,
		Members:  map[fleet.MemberID]record.Member{"x": {ID: "x"}},
		Models:   map[fleet.ModelID]record.Model{"m": {ID: "m", WarmLimit: 2, Weights: fleet.GiB}},
		Services: map[fleet.ServiceID]record.Service{bookings: {ID: bookings, Endpoints: []fleet.EndpointID{"a", "b"}}},
	}
	edit(cfg)
	f.apply(router.ConfigAccepted{Config: cfg})
}

// sameConfig leaves a configuration as it is.
func sameConfig(*record.Config) {}

// callSteps take a call from its arrival to the end of its answer. Each is applied to the current
// offer.
var callSteps = []struct {
	name string
	do   func(f *fixture, o router.SendOffer)
}{
	{"offered", func(*fixture, router.SendOffer) {}},
	{"sent", func(f *fixture, o router.SendOffer) { f.markSent(o) }},
	{"admitted", func(f *fixture, o router.SendOffer) {
		f.apply(router.OfferAcked{ID: "q", ExchangeID: o.ExchangeID, ExpectedFirstChunkAt: f.now})
	}},
	{"answered", func(f *fixture, o router.SendOffer) { f.apply(router.AnswerBegan{ID: "q", ExchangeID: o.ExchangeID}) }},
}

// A call that a router has accepted ends exactly once, and is served if its endpoint goes on, whatever
// the configuration becomes meanwhile.
func TestCallGoesOnBesideAChange(t *testing.T) {
	changes := map[string][]func(*record.Config){
		"same":           {sameConfig},
		"model leaves":   {func(c *record.Config) { c.Models = nil }},
		"service leaves": {func(c *record.Config) { c.Services = nil }},
		"service moves": {func(c *record.Config) {
			c.Services = map[fleet.ServiceID]record.Service{bookings: {ID: bookings, Endpoints: []fleet.EndpointID{"c"}}}
		}},
		"member leaves":   {func(c *record.Config) { c.Members = nil }},
		"member's limit":  {func(c *record.Config) { c.Members = map[fleet.MemberID]record.Member{"x": {ID: "x", MaxRunning: 1}} }},
		"nothing is left": {func(c *record.Config) { *c = record.Config{Revision: c.Revision} }},
		"all returns":     {func(c *record.Config) { *c = record.Config{Revision: c.Revision} }, sameConfig},
		"4,000 models": {func(c *record.Config) {
			for n := range 4000 {
				id := fleet.ModelID(fmt.Sprintf("m%d", n))
				c.Models[id] = record.Model{ID: id, WarmLimit: 1, Weights: fleet.GiB}
			}
		}},
	}
	targets := map[string]fleet.Target{"model": {Model: "m"}, "service": {Service: bookings}}
	// Ways in which the call goes on after the change.
	endings := map[string]func(f *fixture, o router.SendOffer) bool{
		"goes on": func(*fixture, router.SendOffer) bool { return true },
		"breaks": func(f *fixture, o router.SendOffer) bool {
			f.apply(router.StreamBroke{ID: "q", ExchangeID: o.ExchangeID})
			return true
		},
		"endpoint drains": func(f *fixture, o router.SendOffer) bool {
			f.apply(router.OfferRefused{ID: "q", ExchangeID: o.ExchangeID, Refusal: fleet.Refusal{Code: fleet.CodeDraining, NotRun: fleet.NotRunTrue}})
			return false
		},
	}
	for targetName, target := range targets {
		for changeName, edits := range changes {
			for held, step := range callSteps {
				for endingName, end := range endings {
					t.Run(fmt.Sprintf("%s, %s, %s, %s", targetName, step.name, changeName, endingName), func(t *testing.T) {
						f := newFixture(t)
						f.acceptConfig(2, sameConfig)
						f.arrive(func(c *router.Call) { c.Target = target })
						o := onlyEffect[router.SendOffer](f)
						for _, s := range callSteps[:held+1] {
							s.do(f, o)
						}
						for n, edit := range edits {
							f.acceptConfig(fleet.Revision(3+n), edit)
						}
						require.False(t, hasEffect[router.RefuseCall](f.effects))
						mustServe := end(f, o)
						served, ends := f.finishCall(o, held)
						require.Equal(t, 1, ends)
						require.True(t, served || !mustServe)
					})
				}
			}
		}
	}
}

// finishCall takes the call on from the step held of its offer o, or from the beginning of a new
// offer, until it ends. It returns whether the call was served, and how often it ended within a
// long time.
func (f *fixture) finishCall(o router.SendOffer, held int) (served bool, ends int) {
	f.t.Helper()
	for range 20 {
		if hasEffect[router.SendOffer](f.effects) {
			o, held = onlyEffect[router.SendOffer](f), 0
		}
		if hasEffect[router.RefuseCall](f.effects) {
			ends++
		}
		if ends == 0 && !served {
			for _, s := range callSteps[held+1:] {
				s.do(f, o)
			}
			f.apply(router.AnswerEnded{ID: "q", ExchangeID: o.ExchangeID})
			if hasEffect[router.FinishCall](f.effects) {
				served = true
				ends++
			}
		}
		f.advance(callTimeout)
	}
	return served, ends
}
