package place_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/record"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1000, 0).UTC()

const lag = 10 * time.Second

// endpoint returns a live endpoint with the ID e<n> on the host h<n>.
func endpoint(n int, domain string) place.Endpoint {
	return place.Endpoint{
		ID:            fleet.EndpointID(fmt.Sprintf("e%d", n)),
		Host:          fleet.HostID(fmt.Sprintf("h%d", n)),
		FailureDomain: fleet.FailureDomain(domain),
		State:         fleet.HostLive,
		Memory:        80 * fleet.GiB,
	}
}

// input returns the input of a proposal for a model with the given warm limit on
// three endpoints, two of them in one failure domain.
func input(limit int) place.Input {
	return place.Input{
		HostListReadAt: epoch,
		Model:          record.Model{ID: "notice@1", Weights: 10 * fleet.GiB, KVCache: 2 * fleet.GiB, WarmLimit: limit},
		Endpoints:      []place.Endpoint{endpoint(1, "derby"), endpoint(2, "derby"), endpoint(3, "leicester")},
		WriteID:        "w1",
	}
}

// statesByEndpoint returns the state of each entry by its endpoint.
func statesByEndpoint(p place.Placement) map[fleet.EndpointID]place.State {
	states := make(map[fleet.EndpointID]place.State)
	for _, e := range p.Entries {
		states[e.Endpoint] = e.State
	}
	return states
}

func ExamplePropose() {
	in := input(1)
	in.Endpoints[2].Cached = []fleet.ModelID{"notice@1"}
	next, changed := place.Propose(in, place.Placement{})
	raw, _ := json.Marshal(next)
	fmt.Println(changed, string(raw))
	// Output: true {"model":"notice@1","generation":1,"revision":0,"write-id":"w1","entries":[{"endpoint":"e3","host":"h3","failure-domain":"leicester","fence":{"incarnation":0,"generation":1},"state":"assigned"}]}
}

func ExampleOwner() {
	routers := []fleet.ProcessID{"r1", "r2", "r3"}
	fmt.Println(place.Owner("notice@1", routers) == place.Owner("notice@1", []fleet.ProcessID{"r3", "r1", "r2"}))
	// Output: true
}

// TestProposeNew checks which endpoints the first placement of a model gets.
func TestProposeNew(t *testing.T) {
	tests := map[string]struct {
		limit  int
		change func(in *place.Input)
		want   []fleet.EndpointID
	}{
		"cached host first": {limit: 1, change: func(in *place.Input) { in.Model.CachedOn = []fleet.HostID{"h2"} }, want: []fleet.EndpointID{"e2"}},
		"other domain before cached": {limit: 2, change: func(in *place.Input) {
			in.Model.CachedOn = []fleet.HostID{"h1", "h2"}
			in.Endpoints[0].Committed = 1 << 35
		}, want: []fleet.EndpointID{"e2", "e3"}},
		"least committed": {limit: 1, change: func(in *place.Input) {
			in.Endpoints[0].Committed = 1 << 35
			in.Endpoints[1].Committed = 1 << 34
			in.Endpoints[2].Committed = 1 << 33
		}, want: []fleet.EndpointID{"e3"}},
		"leaving host": {limit: 3, change: func(in *place.Input) {
			in.Endpoints[0].State = fleet.HostLeaving
			in.Endpoints[1].State = fleet.HostLeaving
		}, want: []fleet.EndpointID{"e3"}},
		"too large":      {limit: 3, change: func(in *place.Input) { in.Model.Weights = 100 * fleet.GiB }},
		"memory unknown": {limit: 3, change: func(in *place.Input) { in.Endpoints = in.Endpoints[:1]; in.Endpoints[0].Memory = 0 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			in := input(tt.limit)
			tt.change(&in)
			next, _ := place.Propose(in, place.Placement{})
			var got []fleet.EndpointID
			for _, e := range next.Entries {
				got = append(got, e.Endpoint)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestProposeNext checks how a placement changes after a change of the fleet or the warm limit.
func TestProposeNext(t *testing.T) {
	tests := map[string]struct {
		change func(in *place.Input, p place.Placement)
		want   map[fleet.EndpointID]place.State
	}{
		"unchanged": {change: func(*place.Input, place.Placement) {}, want: map[fleet.EndpointID]place.State{"e1": place.StateAssigned, "e3": place.StateAssigned}},
		"leaving host waits for the unload": {change: func(in *place.Input, _ place.Placement) {
			in.Endpoints[0].State = fleet.HostLeaving
		}, want: map[fleet.EndpointID]place.State{"e1": place.StateReleasing, "e3": place.StateAssigned}},
		"missing host within the lag": {change: func(in *place.Input, _ place.Placement) {
			in.Endpoints = in.Endpoints[1:]
			in.GoneAt = map[fleet.HostID]time.Time{"h1": epoch.Add(1)}
		}, want: map[fleet.EndpointID]place.State{"e1": place.StateReleasing, "e3": place.StateAssigned}},
		"missing host after the lag": {change: func(in *place.Input, _ place.Placement) {
			in.Endpoints = in.Endpoints[1:]
			in.GoneAt = map[fleet.HostID]time.Time{"h1": epoch}
		}, want: map[fleet.EndpointID]place.State{"e2": place.StateAssigned, "e3": place.StateAssigned}},
		"no memory for the model": {change: func(in *place.Input, _ place.Placement) {
			in.Endpoints[0].OutOfMemoryFor = []fleet.ModelID{"notice@1"}
		}, want: map[fleet.EndpointID]place.State{"e1": place.StateReleasing, "e3": place.StateAssigned}},
		"lowered warm limit": {change: func(in *place.Input, _ place.Placement) {
			in.Model.WarmLimit = 1
		}, want: map[fleet.EndpointID]place.State{"e1": place.StateAssigned, "e3": place.StateReleasing}},
		"older configuration": {change: func(in *place.Input, _ place.Placement) {
			in.Revision = -1
			in.Model.WarmLimit = 3
		}, want: map[fleet.EndpointID]place.State{"e1": place.StateAssigned, "e3": place.StateAssigned}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			in := input(2)
			in.Endpoints[1].Committed = 1 << 35
			in.Model.CachedOn = []fleet.HostID{"h1"}
			current, _ := place.Propose(in, place.Placement{})
			tt.change(&in, current)
			next, _ := place.Propose(in, current)
			require.Equal(t, tt.want, statesByEndpoint(next))
		})
	}
}

// TestProposeOldConfirmationKeepsEntry checks that an entry is not removed because of a
// confirmed unload that belongs to an earlier assignment of the endpoint.
func TestProposeOldConfirmationKeepsEntry(t *testing.T) {
	in := input(1)
	current, _ := place.Propose(in, place.Placement{Generation: 6})
	current.Entries[0].State = place.StateReleasing
	e := current.Entries[0]
	in.Released = []place.ConfirmedRelease{{Endpoint: e.Endpoint, Fence: fleet.Fence{Generation: e.Fence.Generation - 1}}}
	next, changed := place.Propose(in, current)
	require.False(t, changed)
	require.Len(t, next.Entries, 1)
	in.Released[0].Fence = e.Fence
	next, changed = place.Propose(in, current)
	require.True(t, changed)
	require.Equal(t, place.StateAssigned, next.Entries[0].State)
	require.Greater(t, next.Entries[0].Fence.Generation, e.Fence.Generation)
}

// TestResolve checks ResolveWrite for each outcome of a write.
func TestResolve(t *testing.T) {
	proposed := place.Placement{Generation: 3, WriteID: "a"}
	tests := map[string]struct {
		read place.Placement
		want place.WriteOutcome
	}{
		"applied":    {read: proposed, want: place.WriteApplied},
		"superseded": {read: place.Placement{Generation: 3, WriteID: "b"}, want: place.WriteSuperseded},
		"pending":    {read: place.Placement{Generation: 2, WriteID: "b"}, want: place.WritePending},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, place.ResolveWrite(proposed, tt.read))
		})
	}
}

// TestRoster checks from when on missing hosts count as gone.
func TestRoster(t *testing.T) {
	hosts := func(ids ...fleet.HostID) (list []fleet.Host) {
		for _, id := range ids {
			list = append(list, fleet.Host{ID: id, State: fleet.HostLive})
		}
		return list
	}
	var r place.Roster
	r.TrackPlacement(epoch, place.Placement{Entries: []place.Entry{{Host: "h9"}}}, lag)
	require.Empty(t, r.GoneTimes(), "no host counts as missing before the first list")
	require.True(t, r.Update(epoch, fleet.HostList{AsOf: epoch, Hosts: hosts("h1", "h2")}, lag))
	r.TrackPlacement(epoch, place.Placement{Entries: []place.Entry{{Host: "h1"}, {Host: "h9"}}}, lag)
	require.True(t, r.Update(epoch.Add(1), fleet.HostList{AsOf: epoch.Add(1), Hosts: hosts("h1")}, lag))
	require.Equal(t, map[fleet.HostID]time.Time{"h2": epoch.Add(lag + 1), "h9": epoch.Add(lag)}, r.GoneTimes())
	require.False(t, r.Update(epoch.Add(2), fleet.HostList{AsOf: epoch, Hosts: hosts("h2")}, lag), "older list")
	require.False(t, r.Update(epoch.Add(2), fleet.HostList{AsOf: epoch.Add(2)}, lag), "empty list")
	require.True(t, r.Update(epoch.Add(3), fleet.HostList{AsOf: epoch.Add(3), Hosts: hosts("h1", "h2")}, lag))
	require.Equal(t, map[fleet.HostID]time.Time{"h9": epoch.Add(lag)}, r.GoneTimes(), "a host that is listed again")
	require.True(t, r.Update(epoch.Add(lag), fleet.HostList{AsOf: epoch.Add(lag), Hosts: hosts("h1")}, lag))
	require.Equal(t, map[fleet.HostID]time.Time{"h2": epoch.Add(2 * lag)}, r.GoneTimes(), "too long without an update")
	r.Prune(nil)
	require.Empty(t, r.GoneTimes())
}
