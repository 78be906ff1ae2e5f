package permit_test

import (
	"fmt"
	"testing"

	"chervilreach/core/permit"

	"github.com/stretchr/testify/require"
)

const (
	// benchRequests is the number of waiting loads when all models are requested at
	// once, in a fleet of the size expected in two years.
	benchRequests = 240
	// maxDecideAllocs is the most allocations allowed in one call of Decide with
	// that many waiting loads.
	maxDecideAllocs = 16
)

// saturatedGranter returns a granter with all permits granted and many requests
// queued.
func saturatedGranter() *permit.Granter {
	g := newGranter()
	for i := range benchRequests {
		g.Enqueue(epoch, newRequest(fmt.Sprintf("%03d", i), i%5, at(3600)))
		g.Decide(epoch)
	}
	return g
}

func BenchmarkDecide(b *testing.B) {
	g := saturatedGranter()
	b.ReportAllocs()
	for b.Loop() {
		g.Decide(epoch)
	}
}

// TestDecideAllocations limits the allocations of one call of Decide.
func TestDecideAllocations(t *testing.T) {
	g := saturatedGranter()
	got := testing.AllocsPerRun(100, func() { g.Decide(epoch) })
	require.LessOrEqual(t, got, float64(maxDecideAllocs))
}
