package place_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"chervilreach/core/fleet"
	"chervilreach/core/place"
	"chervilreach/core/record"

	"github.com/stretchr/testify/require"
)

const (
	// The expected size of the fleet in two years.
	benchModels   = 240
	benchReplicas = 6000
	benchDomains  = 12
	// maxProposeAllocs is the most allocations allowed in one call of Propose that
	// changes nothing.
	maxProposeAllocs = 12
)

// benchInput returns the input of a proposal for one model of the large fleet.
func benchInput() place.Input {
	in := place.Input{HostListReadAt: epoch, Model: record.Model{ID: "m0@1", Weights: 14 * fleet.GiB, WarmLimit: benchReplicas / benchModels}}
	for i := range benchReplicas {
		in.Endpoints = append(in.Endpoints, endpoint(i, fmt.Sprint(i%benchDomains)))
	}
	slices.SortFunc(in.Endpoints, func(a, b place.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return in
}

func BenchmarkProposeFirst(b *testing.B) {
	in := benchInput()
	b.ReportAllocs()
	for b.Loop() {
		place.Propose(in, place.Placement{})
	}
}

func BenchmarkProposeUnchanged(b *testing.B) {
	in := benchInput()
	current, _ := place.Propose(in, place.Placement{})
	b.ReportAllocs()
	for b.Loop() {
		place.Propose(in, current)
	}
}

// TestProposeAllocations limits the allocations of one call of Propose.
func TestProposeAllocations(t *testing.T) {
	in := benchInput()
	current, _ := place.Propose(in, place.Placement{})
	got := testing.AllocsPerRun(10, func() { place.Propose(in, current) })
	require.LessOrEqual(t, got, float64(maxProposeAllocs))
}
