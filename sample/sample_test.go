package sample_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/sample"
)

// TestExamplesAreFullyAccepted checks that every record of the examples is accepted,
// and that the models, adapters and members have the expected number.
func TestExamplesAreFullyAccepted(t *testing.T) {
	tests := map[string]struct {
		models, adapters, members int
		// nonIdempotent is a kind whose requests must not be executed twice.
		nonIdempotent fleet.KindID
	}{
		sample.Association: {models: 65, adapters: 75, members: 4, nonIdempotent: "notice"},
		sample.Karaburun:   {models: 50, adapters: 40, members: 4, nonIdempotent: "closure"},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			file, text, err := sample.Read(name)
			require.NoError(t, err)
			raws, err := record.Parse(file, text)
			require.NoError(t, err)
			state, statuses := record.AcceptAll(nil, raws)
			for _, s := range statuses {
				require.Equal(t, record.VerdictAccepted, s.Verdict, "%v", s)
			}
			config := state.Config()
			adapters := 0
			for _, m := range config.Models {
				adapters += len(m.Adapters)
			}
			require.Len(t, config.Models, want.models)
			require.Equal(t, want.adapters, adapters)
			require.Len(t, config.Members, want.members)
			require.Positive(t, config.Deployment.LoadsPerSecond)
			require.Contains(t, config.Kinds, want.nonIdempotent)
			require.False(t, config.Kinds[want.nonIdempotent].Idempotent)
		})
	}
}
