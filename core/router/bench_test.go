package router_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/record"
	"chervilreach/core/router"
)

// fleetSize is the size of a generated fleet, whose parts its methods return.
// Replicas is the number of endpoints assigned to each model.
type fleetSize struct {
	routers, endpoints, models, adapters, domains, replicas int
}

// sizes returns the present size of the deployment and the target size.
func sizes() map[string]fleetSize {
	return map[string]fleetSize{
		"today":  {routers: 2, endpoints: 15, models: 65, adapters: 75, domains: 3, replicas: 3},
		"target": {routers: 330, endpoints: 6000, models: 240, adapters: 1300, domains: 12, replicas: 25},
	}
}

// Limits on the work and memory of a router.
const (
	// maxCallAllocs bounds the allocations of one call, from arrival to end.
	maxCallAllocs = 40
	// maxStateBytes is the memory that a node may use for its control state.
	maxStateBytes = 128 << 20
)

var benchEpoch = time.Unix(1_800_000_000, 0)

// config returns a configuration with the models and adapters of the fleet.
func (size fleetSize) config() *record.Config {
	config := &record.Config{
		Revision: 1,
		Members:  map[fleet.MemberID]record.Member{"m": {ID: "m", Rights: []record.Right{{Model: "*"}}}},
		Models:   make(map[fleet.ModelID]record.Model, size.models),
	}
	for i := range size.models {
		m := record.Model{ID: size.model(i), Weights: 10 * fleet.GiB, WarmLimit: size.replicas, Adapters: map[fleet.AdapterID]fleet.Bytes{}}
		for a := i; a < size.adapters; a += size.models {
			m.Adapters[fleet.AdapterID("a"+strconv.Itoa(a))] = 100 * fleet.MiB
		}
		config.Models[m.ID] = m
	}
	return config
}

// model returns the ID of the i-th model.
func (size fleetSize) model(i int) fleet.ModelID {
	return fleet.MakeModelID("model-"+strconv.Itoa(i), "1")
}

// endpoint returns the ID of the i-th endpoint.
func (size fleetSize) endpoint(i int) fleet.EndpointID {
	return fleet.EndpointID("endpoint-" + strconv.Itoa(i))
}

// hosts returns the platform's host list of the fleet.
func (size fleetSize) hosts() fleet.HostList {
	list := fleet.HostList{AsOf: benchEpoch}
	for i := range size.routers {
		list.Hosts = append(list.Hosts, fleet.Host{
			ID: fleet.HostID("entry-" + strconv.Itoa(i)), Role: fleet.HostRoleEntry, State: fleet.HostLive,
		})
	}
	for i := range size.endpoints {
		list.Hosts = append(list.Hosts, fleet.Host{
			ID: fleet.HostID(size.endpoint(i)), Role: fleet.HostRoleEndpoint, Endpoint: size.endpoint(i), State: fleet.HostLive,
			FailureDomain: fleet.FailureDomain(strconv.Itoa(i % size.domains)),
			WireAddr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400),
		})
	}
	return list
}

// newState returns a router that knows all hosts, placements and reports of the
// fleet.
func (size fleetSize) newState() *router.State {
	s := router.New(router.Options{Process: "entry-0", HostLag: time.Minute, LoadTime: 7 * time.Second, MaxRunning: 32})
	s.Apply(benchEpoch, router.HostsListed{List: size.hosts()})
	s.Apply(benchEpoch, router.ConfigAccepted{Config: size.config()})
	loads := make([]router.Load, size.endpoints)
	for i := range size.models {
		p := place.Placement{Model: size.model(i), Generation: 1, WriteID: "w" + strconv.Itoa(i)}
		for r := range size.replicas {
			at := (i*size.replicas + r) % size.endpoints
			p.Entries = append(p.Entries, place.Entry{
				Endpoint: size.endpoint(at), Host: fleet.HostID(size.endpoint(at)), State: place.StateAssigned,
				FailureDomain: fleet.FailureDomain(strconv.Itoa(at % size.domains)), Fence: fleet.Fence{Generation: 1},
			})
			loads[at].Models = append(loads[at].Models, router.ModelLoad{Model: size.model(i), Stage: "warm"})
		}
		s.Apply(benchEpoch, router.PlacementRead{Model: size.model(i), Placement: p, Revision: fleet.Revision(i + 1)})
	}
	s.Apply(benchEpoch, router.PlacementsSynced{})
	for i, l := range loads {
		l.Instance, l.Incarnation, l.Sequence, l.MemoryTotal = 1, 1, 1, 160*fleet.GiB
		s.Apply(benchEpoch, router.LoadReported{Endpoint: size.endpoint(i), Load: l})
	}
	return s
}

// serveCall runs the n-th call from its arrival to its end, without faults.
func (size fleetSize) serveCall(s *router.State, n int) {
	now := benchEpoch.Add(time.Second)
	id := fleet.RequestID(strconv.Itoa(n))
	effects := s.Apply(now, router.CallArrived{Call: router.Call{
		ID: id, Member: "m", Target: fleet.Target{Model: size.model(n % size.models)}, Idempotent: true,
		Deadline: now.Add(time.Minute), PrefixHash: uint64(n),
	}})
	for _, eff := range effects {
		if offer, ok := eff.(router.SendOffer); ok {
			s.Apply(now, router.OfferSent{ID: id, ExchangeID: offer.ExchangeID, Instance: 1})
			s.Apply(now, router.OfferAcked{ID: id, ExchangeID: offer.ExchangeID})
			s.Apply(now, router.AnswerBegan{ID: id, ExchangeID: offer.ExchangeID})
			s.Apply(now, router.AnswerEnded{ID: id, ExchangeID: offer.ExchangeID})
			return
		}
	}
	panic(fmt.Sprintf("no offer among %v", effects))
}

// BenchmarkCall measures the reducer's work for one call from arrival to end.
func BenchmarkCall(b *testing.B) {
	for name, size := range sizes() {
		b.Run(name, func(b *testing.B) {
			s := size.newState()
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				size.serveCall(s, n)
				n++
			}
		})
	}
}

// BenchmarkRound measures one proposal round over the placements that a router owns.
func BenchmarkRound(b *testing.B) {
	for name, size := range sizes() {
		b.Run(name, func(b *testing.B) {
			s := size.newState()
			now := benchEpoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Second)
				s.Apply(now, router.CallerDisconnected{ID: "none"})
			}
		})
	}
}

// BenchmarkState reports the heap size of a router's state.
func BenchmarkState(b *testing.B) {
	for name, size := range sizes() {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(measureStateBytes(size)), "state-bytes")
			}
		})
	}
}

// measureStateBytes returns the growth of the heap by the state of a router that
// knows the fleet.
func measureStateBytes(size fleetSize) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := size.newState()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// TestStateFitsTarget checks that the state of a router stays within its memory limit at
// the target size of the fleet.
func TestStateFitsTarget(t *testing.T) {
	require.Less(t, measureStateBytes(sizes()["target"]), uint64(maxStateBytes))
}

// TestCallAllocations checks that the allocations of a call stay within one limit, which is
// the same for every fleet size.
func TestCallAllocations(t *testing.T) {
	for name, size := range sizes() {
		t.Run(name, func(t *testing.T) {
			s := size.newState()
			n := 0
			got := testing.AllocsPerRun(100, func() {
				size.serveCall(s, n)
				n++
			})
			require.LessOrEqual(t, got, float64(maxCallAllocs))
		})
	}
}
