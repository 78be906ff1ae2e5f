package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against crashes on a prompt part that no judge hears of, or seconds late, if neither a refused connection
// nor an agent tells of them (incident of 2026-12-06).
func TestDeadlyPartIsRefusedIfOnlyTheListTellsOfCrashes(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	bin := build(t)
	for name, c := range map[string]struct {
		seed        uint64
		entryKept   time.Duration
		portsRefuse bool
	}{
		"entries removed at once":     {seed: 57000},
		"entries kept for heartbeats": {seed: 57100, entryKept: 3600 * time.Millisecond},
		"entries kept, ports refuse":  {seed: 57200, entryKept: 3600 * time.Millisecond, portsRefuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			report, err := Run(t.Context(), Options{
				Bin: bin, Dir: t.TempDir(), Seed: c.seed, FaultDuration: 14 * time.Second, RouterCount: 3, ModelReplicaCount: 8,
				CallerCount: 12, OnlyPrompts: true, EntryKept: c.entryKept, PortsRefuse: c.portsRefuse,
			})
			require.NoError(t, err)
			assert.Empty(t, report.Violations, "crashes: %v, sound streams: %+v", report.PromptCrashCounts, report.SoundCounts)
			assert.NotEmpty(t, report.PromptCrashCounts)
		})
	}
}
