package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// TestPartOfTheListIsNoReasonToLoad: a long list comes in parts. A model that none
// of the first ones tells of is neither loaded nor refused until the list is whole,
// or its rest has had the time to come.
func TestPartOfTheListIsNoReasonToLoad(t *testing.T) {
	t.Parallel()
	holder := testMember("holder", llm)
	holder.Stock = stock.Report{Instance: "holder", Models: []stock.Held{{Model: "a"}}}
	tests := map[string]struct {
		rest func(w *testRouter)
		// sent and asked are the endpoints that get the request and a demand for a
		// load after the rest.
		sent, asked string
	}{
		"held further on": {
			rest: func(w *testRouter) {
				w.setMembers(testMember("early", llm), holder)
				w.report("holder", withModels("a"))
			},
			sent: "holder",
		},
		"held by nobody": {
			rest:  func(w *testRouter) { w.setMembers(testMember("early", llm)) },
			asked: "early",
		},
		"rest does not come": {
			rest:  func(w *testRouter) { w.advance(listTimeout) },
			asked: "early",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestRouter(t)
			w.apply(MembersListed{List: []Member{testMember("early", llm)}, More: true})
			w.report("early", withModels("b"))
			w.arrive(streamRoute(), modelA)
			require.Empty(t, effectsOf[Refuse](w))
			w.advance(listTimeout / 2)
			w.apply(MembersListed{List: []Member{testMember("early", llm), testMember("late", llm)}, More: true})
			require.Empty(t, w.s.pendingLoads, "no load is asked for")
			w.advance(listTimeout/2 - 1)
			require.Empty(t, w.s.pendingLoads, "no load is asked for")
			tt.rest(w)
			if tt.sent != "" {
				assert.Equal(t, tt.sent, onlyEffect[Send](w).Instance)
				return
			}
			assert.Equal(t, tt.asked, w.s.pendingLoads[loadKey{llm, modelA}].instance)
		})
	}
}
