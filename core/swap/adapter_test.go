package swap

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/stock"
)

// newAdapterWorld returns a world whose two places for adapters are taken, by a1
// first, each with so many requests that run.
func newAdapterWorld(t *testing.T, running map[string]int) (*world, stock.Demand) {
	t.Helper()
	w := newWorld(t, "m0")
	w.e.held[0].Adapters = []string{"a1", "a2"}
	w.e.adapters.busy = make(map[string]bool)
	d := stock.Demand{Uses: []stock.Use{{Model: "m0", Running: 1, Rate: 5}}}
	for _, a := range []string{"a1", "a2"} {
		if running[a] > 0 {
			w.e.adapters.busy[a] = true
			d.Uses = append(d.Uses, stock.Use{Model: "m0", Adapter: a, Running: running[a]})
		}
	}
	w.demand(1, d)
	w.run(time.Second)
	return w, d
}

func adapterWant(w *world, name string) stock.Want {
	want := w.want("m0")
	want.Item.Adapter = name
	return want
}

// The adapter without requests makes room, however long it has been there: on a
// played day the one that was loaded first, and ran requests all the time, was
// ordered out 130 times while eight others waited.
func TestAdapterWithoutRequestsMakesRoom(t *testing.T) {
	w, d := newAdapterWorld(t, map[string]int{"a1": 3})
	d.Wants = []stock.Want{adapterWant(w, "a3")}
	w.demand(1, d)
	w.run(300 * time.Millisecond)
	assert.Equal(t, []string{"a1", "a3"}, w.e.held[0].Adapters)
	require.Len(t, w.orders, 2)
}

// Where all adapters have requests, routers are to ask elsewhere; in the end the
// one with the fewest is ordered out, once, and gets no more requests.
func TestAdapterWithRequestsIsOrderedOutOnce(t *testing.T) {
	w, d := newAdapterWorld(t, map[string]int{"a1": 3, "a2": 1})
	d.Wants = []stock.Want{adapterWant(w, "a3")}
	w.demand(1, d)
	w.run(busyPatience / 2)
	assert.Empty(t, w.orders)
	assert.Empty(t, w.reported.Loads, "routers must ask elsewhere")
	w.run(busyPatience + time.Second)
	require.Len(t, w.orders, 1)
	assert.Equal(t, "a2", w.orders[0].Item.Adapter)
	assert.False(t, w.reported.Holds(adapterWant(w, "a2").Item))
	assert.True(t, w.reported.Holds(adapterWant(w, "a1").Item))

	w.e.held[0].Adapters = lo.Without(w.e.held[0].Adapters, "a2")
	d.Uses = d.Uses[:2]
	w.demand(1, d)
	w.run(300 * time.Millisecond)
	assert.Equal(t, []string{"a1", "a3"}, w.e.held[0].Adapters)
	require.Len(t, w.orders, 2)
}

// An adapter that waits for room doesn't hold up the load of a model.
func TestAdapterThatWaitsHoldsNothingUp(t *testing.T) {
	w, d := newAdapterWorld(t, map[string]int{"a1": 3, "a2": 1})
	d.Wants = []stock.Want{adapterWant(w, "a3"), w.want("m1")}
	w.demand(1, d)
	w.run(busyPatience + 4*time.Second)
	assert.Contains(t, w.holds(), "m1")
}

// An endpoint carries out one order at a time: an agent that starts while a model
// is loaded from the weight store orders no adapter, and promises none.
func TestAdapterWaitsForAModelThatIsLoaded(t *testing.T) {
	w, d := newAdapterWorld(t, nil)
	w.e.held[0].Adapters = nil
	w.e.busy = &Order{Operation: Load, Item: stock.Item{Model: "m1"}}
	w.e.doneAt = w.now.Add(9 * time.Second)
	w.run(time.Second)
	d.Wants = []stock.Want{adapterWant(w, "a3")}
	w.demand(1, d)
	w.run(5 * time.Second)
	assert.Zero(t, w.e.orders)
	assert.Empty(t, w.reported.Loads)
	w.run(4 * time.Second)
	assert.Equal(t, []string{"a3"}, w.e.held[0].Adapters)
}
