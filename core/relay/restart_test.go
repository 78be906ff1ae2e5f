package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// TestStartedRouterLoadsNoModelThatIsListed: agents connect one after the other to
// a router that has just started. One that is there before those of the holders is
// not asked for a model that they hold.
func TestStartedRouterLoadsNoModelThatIsListed(t *testing.T) {
	t.Parallel()
	for name, item := range map[string]stock.Item{
		"model":            modelA,
		"adapter":          adapterOfA,
		"adapter not held": {Model: "a", Adapter: "a2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			holds := []stock.Held{{Model: "a", Adapters: []string{"a1"}}}
			holder := member("holder", llm)
			holder.Stock = stock.Report{Instance: "holder", Models: holds}
			w := newWorld(t, holder, member("early", llm))
			w.report("early", holding("b"))
			w.arrive(streamRoute(), item)
			for _, ask := range effectsOf[Ask](w) {
				assert.Empty(t, ask.Demand.Wants, "asked of %s", ask.Instance)
			}
			require.Empty(t, effectsOf[Refuse](w))
			w.report("holder", func(r *stock.Report) { r.Models = holds })
			if holder.Stock.Holds(item) {
				assert.Equal(t, "holder", only[Send](w).Instance)
				return
			}
			assert.Equal(t, "holder", only[Ask](w).Instance, "the adapter alone is loaded")
		})
	}
}

// TestListedModelIsLoadedOnceItsHolderIsSilent: the wait for a holder's agent ends,
// so that an entry which outlasts its endpoint delays a load no longer.
func TestListedModelIsLoadedOnceItsHolderIsSilent(t *testing.T) {
	t.Parallel()
	gone := member("gone", llm)
	gone.Stock = stock.Report{Instance: "gone", Models: []stock.Held{{Model: "a"}}}
	w := newWorld(t, gone, member("live", llm))
	w.report("live", holding("b"))
	w.arrive(streamRoute(), adapterOfA)
	require.Empty(t, effectsOf[Wait](w)[0].Instance)
	w.pass(confirmTime)
	assert.Equal(t, "live", only[Wait](w).Instance)
}

// TestPartOfTheListIsNoReasonToLoad: a long list comes in parts. A model that none
// of the first ones tells of is neither loaded nor refused until the list is whole,
// or its rest has had the time to come.
func TestPartOfTheListIsNoReasonToLoad(t *testing.T) {
	t.Parallel()
	holder := member("holder", llm)
	holder.Stock = stock.Report{Instance: "holder", Models: []stock.Held{{Model: "a"}}}
	tests := map[string]struct {
		rest func(w *world)
		// sent and asked are the endpoints that get the request and a demand for a
		// load after the rest.
		sent, asked string
	}{
		"held further on": {
			rest: func(w *world) {
				w.setMembers(member("early", llm), holder)
				w.report("holder", holding("a"))
			},
			sent: "holder",
		},
		"held by nobody": {
			rest:  func(w *world) { w.setMembers(member("early", llm)) },
			asked: "early",
		},
		"rest does not come": {
			rest:  func(w *world) { w.pass(listTime) },
			asked: "early",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			w.apply(Members{List: []Member{member("early", llm)}, More: true})
			w.report("early", holding("b"))
			w.arrive(streamRoute(), modelA)
			require.Empty(t, effectsOf[Refuse](w))
			w.pass(listTime / 2)
			w.apply(Members{List: []Member{member("early", llm), member("late", llm)}, More: true})
			require.Empty(t, w.s.wants, "no load is asked for")
			w.pass(listTime/2 - 1)
			require.Empty(t, w.s.wants, "no load is asked for")
			tt.rest(w)
			if tt.sent != "" {
				assert.Equal(t, tt.sent, only[Send](w).Instance)
				return
			}
			assert.Equal(t, tt.asked, w.s.wants[wantKey{llm, modelA}].instance)
		})
	}
}
