package record_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// TestDefaultKindOutlivesOldWriter checks that writing the deployment in schema 1,
// which has no default kind, keeps the default kind that was written in schema 2.
func TestDefaultKindOutlivesOldWriter(t *testing.T) {
	state := acceptText(t, nil, 10, `[
	  {"schema": 2, "record": "kind", "name": "question", "urgency": 1, "patience": "30s", "idempotent": true},
	  {"schema": 2, "record": "deployment", "name": "d", "tail-weight": 0.7, "loads-per-second": 3, "loads-at-once": 4, "default-kind": "question"}]`)
	require.Equal(t, fleet.KindID("question"), state.Config().Deployment.DefaultKind)
	state = acceptText(t, state, 20, `{"schema": 1, "record": "deployment", "name": "d", "prefer": "tail", "loads-per-second": 2, "loads-at-once": 4}`)
	require.Equal(t, record.Deployment{
		TailWeight: 0.7, LoadsPerSecond: 2, LoadsAtOnce: 4, DefaultKind: "question",
	}, state.Config().Deployment)
}

// TestDefaultKindMustExist checks that a deployment whose default kind does not
// exist is rejected.
func TestDefaultKindMustExist(t *testing.T) {
	raws, err := record.Parse("d", []byte(`{"schema": 2, "record": "deployment", "name": "d", "tail-weight": 0.7, "loads-per-second": 3, "loads-at-once": 4, "default-kind": "none"}`))
	require.NoError(t, err)
	_, statuses := record.AcceptAll(nil, record.WithNewestRevision(raws))
	require.Len(t, statuses, 1)
	require.Equal(t, record.VerdictRejected, statuses[0].Verdict)
	require.Equal(t, "/default-kind", statuses[0].Problems[0].Field)
}

// acceptText accepts the records of the text, which have consecutive revisions from
// first on, and fails the test if one is rejected.
func acceptText(t *testing.T, state *record.State, first fleet.Revision, text string) *record.State {
	raws, err := record.Parse("test", []byte(text))
	require.NoError(t, err)
	for i := range raws {
		raws[i].Revision = first + fleet.Revision(i)
	}
	next, statuses := record.AcceptAll(state, raws)
	for _, s := range statuses {
		require.Equal(t, record.VerdictAccepted, s.Verdict, "%v", s.Problems)
	}
	return next
}
