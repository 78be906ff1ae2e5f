package record_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// drawText draws the text of a record of either schema version, with its key. The
// record may be invalid or conflict with others; there are so few names and values
// that conflicts are frequent.
func drawText(t *rapid.T) (record.Key, string) {
	pick := func(label string, options ...string) string { return rapid.SampledFrom(options).Draw(t, label) }
	n := rapid.IntRange(-1, 3).Draw(t, "n")
	name := pick("name", "a", "b")
	key := record.Key{Type: record.Type(pick("type", "kind", "model", "member", "service")), Name: name}
	hash := strings.Repeat(pick("hash", "0", "1"), 64)
	texts := map[record.Type][]string{
		record.TypeKind: {
			fmt.Sprintf(`{"schema": 1, "record": "kind", "name": %q, "urgent": true, "patience-ms": %d, "idempotent": true}`, name, n*1000),
			fmt.Sprintf(`{"schema": 2, "record": "kind", "name": %q, "urgency": %d, "patience": "1s", "idempotent": true}`, name, n),
		},
		record.TypeModel: {
			fmt.Sprintf(`{"schema": 1, "record": "model", "name": %q, "version": "1", "copies": %d, "size-mib": 1, "adapters": ["x"], "adapter-mib": 1}`, name, n),
			fmt.Sprintf(`{"schema": 2, "record": "model", "name": %q, "default-kind": %q, "versions": [{"version": %q, "weights": 9, "warm-limit": 2, "warm-floor": %d}]}`, name, pick("kind", "", "a"), pick("version", "1", "2"), n),
		},
		record.TypeMember: {
			fmt.Sprintf(`{"schema": 1, "record": "member", "name": %q, "key-hash": %q, "models": [%q]}`, name, hash, pick("model", "a", "b", "*")),
			fmt.Sprintf(`{"schema": 2, "record": "member", "name": %q, "key-hashes": [%q], "rights": [{"service": "a"}], "running": %d}`, name, hash, n),
		},
		record.TypeService: {
			fmt.Sprintf(`{"schema": %d, "record": "service", "name": %q, "kind": "b", "endpoints": ["e"]}`, max(n, 1), name),
		},
	}[key.Type]
	texts = append(texts, fmt.Sprintf(`{"schema": 2, "record": %q, "name": %q, "deleted": true}`, key.Type, name), "{")
	return key, pick("text", texts...)
}

// drawHistory draws the records that operators write, in the order of their
// revisions.
func drawHistory(t *rapid.T) []record.Raw {
	var raws []record.Raw
	for i := range rapid.IntRange(1, 40).Draw(t, "writes") {
		key, text := drawText(t)
		raws = append(raws, record.ParseStored(key, []byte(text), fleet.Revision(10+i)))
	}
	return raws
}

// TestVerdictIsTheSameInAnyOrder checks that the result of Accept does not depend on
// the order of the raw records or on repetitions of some.
func TestVerdictIsTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		var base *record.State
		if n := rapid.IntRange(0, len(history)).Draw(t, "accepted before"); n > 0 {
			base, _ = record.AcceptAll(nil, history[:n])
		}
		want, wantStatuses := record.Accept(base, history)
		for range 3 {
			seen := rapid.Permutation(history).Draw(t, "order of events")
			repeated := rapid.SliceOfN(rapid.SampledFrom(history), 0, 5).Draw(t, "repeated events")
			got, statuses := record.Accept(base, append(seen, repeated...))
			require.Equal(t, want.Digest(), got.Digest())
			require.Equal(t, want.Revision(), got.Revision())
			require.Equal(t, wantStatuses, statuses)
		}
	})
}

// TestAcceptedNeverGoesBack calls Accept in turn with views of the raw records that
// may be stale, as several proposers do. No accepted object may be replaced by an
// older raw record, and a rejected record may not change the accepted one.
func TestAcceptedNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		var state *record.State
		states := []*record.State{nil}
		for range rapid.IntRange(1, 12).Draw(t, "proposals") {
			view := history[:rapid.IntRange(0, len(history)).Draw(t, "view")]
			next, statuses := record.Accept(state, view)
			for _, s := range statuses {
				if s.Verdict == record.VerdictRejected {
					inForce, _ := next.Object(s.Key)
					before, _ := state.Object(s.Key)
					require.Equal(t, before.Value, inForce.Value, "a rejected record changed the accepted one")
					require.NotEmpty(t, s.Problems)
				}
			}
			for _, before := range state.Objects() {
				after, ok := next.Object(before.Key)
				require.True(t, ok)
				require.GreaterOrEqual(t, after.RawRevision, before.RawRevision, "%s was replaced by an older raw record", before.Key)
			}
			if next != state {
				require.Equal(t, state.Revision()+1, next.Revision())
				states = append(states, next)
			}
			state = next
		}
		checkDeltas(t, states)
	})
}

// checkDeltas applies deltas between any two of the states, in any order, as peers
// at different revisions send and receive them.
func checkDeltas(t *rapid.T, states []*record.State) {
	var have *record.State
	for range 10 {
		to := rapid.SampledFrom(states).Draw(t, "sender")
		from := rapid.SampledFrom(states).Draw(t, "asked from")
		text, err := to.DeltaSince(from.Revision()).Encode()
		require.NoError(t, err)
		d, err := record.DecodeDelta(text)
		require.NoError(t, err)
		next, err := have.Apply(d)
		switch {
		case to.Revision() <= have.Revision():
			require.NoError(t, err)
			require.Same(t, have, next, "an older revision was applied")
		case from.Revision() > have.Revision():
			require.ErrorIs(t, err, record.ErrDeltaGap)
		default:
			require.NoError(t, err)
			require.Equal(t, to.Revision(), next.Revision())
			require.Equal(t, to.Digest(), next.Digest())
			require.Equal(t, to.Config(), next.Config())
		}
		have = next
	}
}

// targetScaleTexts returns the texts of the records of a deployment of the size
// that the system is designed for: 240 models with 1,300 adapters in total, and 200
// members with rights to 12 models each.
func targetScaleTexts() []string {
	const models, adapters, members, rights = 240, 1300, 200, 12
	var texts []string
	for i := range models {
		var list []string
		for j := range (i+1)*adapters/models - i*adapters/models {
			list = append(list, fmt.Sprintf(`"member-%d-adapter-%d": "120MiB"`, i, j))
		}
		texts = append(texts, fmt.Sprintf(`{"schema": 2, "record": "model", "name": "some-drafting-model-%d", "versions": [
			{"version": "1", "weights": "14GiB", "kv-cache": "1GiB", "warm-limit": 4, "adapters": {%s}, "cached-on": ["host-%d", "host-%d"]}]}`,
			i, strings.Join(list, ", "), i, i+1))
	}
	for i := range members {
		var list []string
		for j := range rights {
			list = append(list, fmt.Sprintf(`{"model": "some-drafting-model-%d", "versions": ["1"]}`, (i*7+j)%models))
		}
		texts = append(texts, fmt.Sprintf(`{"schema": 2, "record": "member", "name": "member-%d", "key-hashes": ["%064x"], "rights": [%s]}`,
			i, i, strings.Join(list, ", ")))
	}
	return texts
}

// TestEncodedSizeAtTargetScale limits the size of the deltas that processes send
// each other: the whole configuration, and the change of one record.
func TestEncodedSizeAtTargetScale(t *testing.T) {
	texts := targetScaleTexts()
	state, _ := accept(t, "["+strings.Join(texts, ",")+"]")
	require.Len(t, state.Config().Models, 240)
	require.Len(t, state.Config().Members, 200)
	full, err := state.DeltaSince(0).Encode()
	require.NoError(t, err)
	require.Less(t, len(full), 1<<20, "bytes of the whole configuration")

	next, _ := record.AcceptAll(state, []record.Raw{changedModel(texts, 99)})
	delta, err := next.DeltaSince(state.Revision()).Encode()
	require.NoError(t, err)
	require.Less(t, len(delta), 2<<10, "bytes of a change of one record")
	t.Logf("whole configuration %d bytes, change of one record %d bytes", len(full), len(delta))
}

// changedModel returns a raw record of the given revision that changes one model
// of targetScaleTexts.
func changedModel(texts []string, revision fleet.Revision) record.Raw {
	return record.ParseStored(record.Key{Type: record.TypeModel, Name: "some-drafting-model-7"},
		[]byte(strings.Replace(texts[7], `"warm-limit": 4`, `"warm-limit": 5`, 1)), revision)
}

// BenchmarkTarget measures accepting and applying records at the target scale.
func BenchmarkTarget(b *testing.B) {
	texts := targetScaleTexts()
	raws, err := record.Parse("f", []byte("["+strings.Join(texts, ",")+"]"))
	require.NoError(b, err)
	state, _ := record.AcceptAll(nil, raws)
	changed := changedModel(texts, 99)
	next, _ := record.AcceptAll(state, []record.Raw{changed})
	delta := next.DeltaSince(state.Revision())
	b.Run("accept-all", func(b *testing.B) {
		for b.Loop() {
			record.AcceptAll(nil, raws)
		}
	})
	b.Run("accept-change", func(b *testing.B) {
		for b.Loop() {
			record.Accept(state, []record.Raw{changed})
		}
	})
	b.Run("apply-change", func(b *testing.B) { // the work of each process for a change
		for b.Loop() {
			applied, err := state.Apply(delta)
			require.NoError(b, err)
			applied.Config()
		}
	})
}

// FuzzDelta checks that no delta from a peer causes a panic, and that a delta is
// applied only if the resulting state has the digest that it gives.
func FuzzDelta(f *testing.F) {
	state, _ := accept(f, kindText)
	good, err := state.DeltaSince(0).Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"revision": 9, "objects": [{"record": "model", "name": "a", "value": {"versions": [null]}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := record.DecodeDelta(text)
		if err != nil {
			return
		}
		next, err := state.Apply(d)
		if err != nil {
			require.Same(t, state, next)
			return
		}
		require.True(t, next == state || next.Digest() == d.Digest)
		next.Config()
	})
}

const kindText = `{"schema": 2, "record": "kind", "name": "k", "urgency": 7, "patience": "2s", "idempotent": true}`
