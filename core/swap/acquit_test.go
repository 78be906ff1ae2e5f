package swap

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/poison"
	"chervilreach/core/stock"
)

// crash reports the crash of an endpoint 100 ms after a request with the part was sent to it, and
// runs for a second.
func (sim *simulation) crash(instance string, part poison.Part) {
	sentAt := sim.now
	sim.run(100 * time.Millisecond)
	sim.apply(CrashesReported{Crashes: []poison.Crash{{
		Instance: instance, At: sim.now, Suspects: []poison.Suspect{{Part: part, SentAt: sentAt, Answering: true}},
	}}})
	sim.run(time.Second)
}

// convicted returns the parts that the last report has as convicted.
func (sim *simulation) convicted() []poison.Part {
	var parts []poison.Part
	for _, v := range sim.lastReport.Verdicts {
		if v.InForce(sim.now) {
			parts = append(parts, v.Part)
		}
	}
	return parts
}

func TestAcquittedPartIsConvictedOnlyByNewCrashes(t *testing.T) {
	const part = poison.Part(7)
	sim := newSimulation(t, "m0")
	for i := range 3 {
		require.Empty(t, sim.convicted())
		sim.crash(fmt.Sprintf("e%d", i), part)
	}
	require.Equal(t, []poison.Part{part}, sim.convicted())
	crashedAt := sim.now
	sim.apply(PartAcquitted{Part: part})
	require.Empty(t, sim.convicted())
	require.True(t, sim.lastReport.Verdicts[0].Lifted, "routers are told")

	sim.apply(CrashesReported{Crashes: []poison.Crash{{
		Instance: "late", At: crashedAt, Suspects: []poison.Suspect{{Part: part, SentAt: crashedAt.Add(-time.Second)}},
	}}})
	for i := range 3 {
		assert.Empty(t, sim.convicted(), "%d crashes since the acquittal", i)
		sim.crash(fmt.Sprintf("new-%d", i), part)
	}
	assert.Equal(t, []poison.Part{part}, sim.convicted())
}

func TestAcquittalOfUnknownPartChangesNothing(t *testing.T) {
	sim := newSimulation(t, "m0")
	sim.apply(PartAcquitted{Part: 7})
	assert.Empty(t, sim.lastReport.Verdicts)
	sim.run(time.Second)
	assert.Equal(t, []stock.LoadedModel{{Model: "m0"}}, sim.lastReport.Models)
}
