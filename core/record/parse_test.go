package record_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

func ExampleParse() {
	_, err := record.Parse("kinds.jsonc", []byte(`{
  // Patience is a length of time.
  "schema": 2, "record": "kind", "name": "notice", "idempotent": false,
  "patience": 30
}`))
	fmt.Println(err)
	// Output:
	// kinds.jsonc:4:15: kind notice: field patience is 30; expected a time such as "30s" or "1m30s"
}

// TestParseNamesPlaceAndCause checks that an error gives the line and column, the
// record, the field, the cause and what is expected.
func TestParseNamesPlaceAndCause(t *testing.T) {
	tests := map[string]struct {
		text string
		err  error
		want string
	}{
		"syntax": {
			text: "[\n  {\"schema\": 2,,}]", err: record.ErrInvalid,
			want: "f:2:16: ",
		},
		"newer schema": {
			text: `{"schema": 3, "record": "kind", "name": "a", "new": 1}`, err: record.ErrUnknownSchema,
			want: "f:1:12: kind a: field schema is a newer version than this program knows; expected 1 or 2, or a newer program",
		},
		"unknown field": {
			text: "{\"schema\": 1, \"record\": \"kind\", \"name\": \"a\", \"urgent\": true, \"idempotent\": true,\n \"patience-ms\": 9, \"patience\": \"9s\"}", err: record.ErrUnknownField,
			want: "f:2:32: kind a: field patience is unknown; expected one of schema, record, name, deleted, urgent, patience-ms, idempotent",
		},
		"field in another case": {
			text: `{"schema": 2, "record": "kind", "name": "a", "Patience": "1s", "idempotent": true}`, err: record.ErrUnknownField,
			want: "field Patience is unknown",
		},
		"missing field": {
			text: `{"schema": 2, "record": "kind", "name": "a", "patience": "1s"}`, err: record.ErrInvalid,
			want: "f:1:1: kind a: field idempotent is missing; expected true or false",
		},
		"null": {
			text: `{"schema": 2, "record": "kind", "name": "a", "patience": "1s", "idempotent": null}`, err: record.ErrInvalid,
			want: "field idempotent is null; expected true or false",
		},
		"duplicate field": {
			text: `{"schema": 2, "record": "kind", "name": "a", "name": "b", "patience": "1s", "idempotent": true}`, err: record.ErrInvalid,
			want: "field name stands twice",
		},
		"warm-floor above warm-limit": {
			text: "{\"schema\": 2, \"record\": \"model\", \"name\": \"a\", \"versions\": [{\"version\": \"1\",\n\"weights\": \"1GiB\", \"warm-limit\": 1, \"warm-floor\": 2}]}", err: record.ErrInvalid,
			want: "f:2:51: model a: field versions/0/warm-floor is 2; expected 0 to the warm-limit, which is 1",
		},
		"schema 1 field has its schema 1 name": {
			text: `{"schema": 1, "record": "model", "name": "a", "version": "1", "copies": -1, "size-mib": 1}`, err: record.ErrInvalid,
			want: "f:1:73: model a: field copies is -1; expected 0 to 100000",
		},
		"invalid size": {
			text: `{"schema": 2, "record": "model", "name": "a", "versions": [{"version": "1", "weights": "1 GB", "warm-limit": 1}]}`, err: record.ErrInvalid,
			want: `field versions/0/weights is "1 GB"; expected a size such as "14GiB" or "120MiB", or bytes`,
		},
		"invalid key hash": {
			text: `{"schema": 1, "record": "member", "name": "a", "key-hash": "secret", "models": []}`, err: record.ErrInvalid,
			want: "f:1:60: member a: field key-hash is \"secret\"; expected the SHA-256 sum",
		},
		"invalid name": {
			text: `{"schema": 2, "record": "member", "name": "A/b", "key-hashes": [], "rights": []}`, err: record.ErrInvalid,
			want: `field name is "A/b"; expected 1 to 63 of a-z`,
		},
		"duplicate record in a file": {
			text: `[{"schema": 2, "record": "member", "name": "a", "deleted": true}, {"schema": 2, "record": "member", "name": "a", "deleted": true}]`, err: record.ErrConflict,
			want: "member a: stands twice in this file",
		},
		"unknown record type": {
			text: `{"schema": 2, "record": "hosts", "name": "a"}`, err: record.ErrInvalid,
			want: "field record is unknown; expected one of member, model, kind, service, deployment",
		},
		"not an object": {text: `[7]`, err: record.ErrInvalid, want: "f:1:2: is not an object"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := record.Parse("f", []byte(test.text))
			require.ErrorIs(t, err, test.err)
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestDeeplyNestedRecordIsRefused(t *testing.T) {
	text := bytes.Repeat([]byte("["), record.MaxFileBytes) // without a limit, parsing it overflows the stack
	_, err := record.Parse("f", text)
	require.ErrorIs(t, err, record.ErrInvalid)
	raw := record.ParseStored(record.Key{Type: record.TypeKind, Name: "a"}, text[:record.MaxRecordBytes], 1)
	require.ErrorIs(t, raw.Err(), record.ErrInvalid)
}

// FuzzParse checks that no text causes a panic, and that each problem has a cause
// and a line within the text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"schema": 1, "record": "kind", "name": "a", "urgent": true, "patience-ms": 1, "idempotent": true}`))
	f.Add([]byte(`{"schema": 2, "record": "model", "name": "a", "versions": [{"version": "1", "weights": 1, "warm-limit": 1}]} // end`))
	f.Add([]byte(`[{"schema":2,"record":"member","name":"a","key-hashes":[],"rights":[{"model":"*"}]}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		raws, _ := record.Parse("f", text)
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, r := range raws {
			for _, p := range r.Problems {
				e := r.ProblemError(p)
				require.LessOrEqual(t, e.Line, lines)
				require.NotEmpty(t, e.Cause)
			}
		}
		record.AcceptAll(nil, raws)
	})
}

// accept parses and accepts the texts one after the other. All records of the nth
// text have the revision n. It returns the final state and the statuses of the last
// text.
func accept(t testing.TB, texts ...string) (*record.State, []record.Status) {
	t.Helper()
	var state *record.State
	var statuses []record.Status
	for i, text := range texts {
		raws, _ := record.Parse("f", []byte(text))
		for j := range raws {
			raws[j].Revision = fleet.Revision(i + 1)
		}
		state, statuses = record.AcceptAll(state, raws)
	}
	return state, statuses
}

// TestOldWriterKeepsNewFields checks that a record in schema 1 keeps the fields of the
// accepted record that exist only in schema 2, and that the combination is checked.
func TestOldWriterKeepsNewFields(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	state, statuses := accept(t,
		`[{"schema": 2, "record": "kind", "name": "k", "urgency": 7, "patience": "2s", "idempotent": true},
		  {"schema": 2, "record": "service", "name": "s", "kind": "k", "endpoints": ["e"]},
		  {"schema": 2, "record": "model", "name": "m", "default-kind": "k", "versions": [
		    {"version": "1", "weights": "1GiB", "kv-cache": "1GiB", "adapters": {"a": "3MiB", "b": "4MiB"}, "cached-on": ["h"], "warm-limit": 4, "warm-floor": 1, "fenced": true},
		    {"version": "2", "weights": "2GiB", "warm-limit": 1}]},
		  {"schema": 2, "record": "member", "name": "x", "key-hashes": ["`+hash+`"], "rights": [{"model": "m", "versions": ["2"]}, {"service": "s"}], "running": 3}]`,
		`[{"schema": 1, "record": "kind", "name": "k", "urgent": true, "patience-ms": 3000, "idempotent": true},
		  {"schema": 1, "record": "model", "name": "m", "version": "1", "copies": 2, "size-mib": 2048, "adapters": ["b", "c"], "adapter-mib": 9},
		  {"schema": 1, "record": "member", "name": "x", "key-hash": "`+hash+`", "models": ["m", "*"]}]`)
	for _, s := range statuses {
		require.Equal(t, record.VerdictAccepted, s.Verdict, "%v", s)
	}
	config := state.Config()
	require.Equal(t, record.Kind{ID: "k", Urgency: 7, Patience: 3 * time.Second, Idempotent: true}, config.Kinds["k"])
	require.Equal(t, record.Model{
		ID: "m@1", Weights: 2 * fleet.GiB, KVCache: fleet.GiB, CachedOn: []fleet.HostID{"h"}, WarmLimit: 2, WarmFloor: 1, ChecksFence: true,
		Adapters: map[fleet.AdapterID]fleet.Bytes{"b": 4 * fleet.MiB, "c": 9 * fleet.MiB}, DefaultKind: "k",
	}, config.Models["m@1"])
	require.Equal(t, 1, config.Models["m@2"].WarmLimit)
	require.Equal(t, record.Member{
		ID: "x", KeyHashes: []string{hash}, MaxRunning: 3,
		Rights: []record.Right{{Model: "m", Versions: []string{"2"}}, {Model: "*"}, {Service: "s"}},
	}, config.Members["x"])

	_, statuses = accept(t,
		`{"schema": 2, "record": "model", "name": "m", "versions": [{"version": "1", "weights": 1, "warm-limit": 4, "warm-floor": 2}]}`,
		`{"schema": 1, "record": "model", "name": "m", "version": "1", "copies": 1, "size-mib": 1}`)
	require.Equal(t, record.VerdictRejected, statuses[0].Verdict, "the kept warm-floor is above the new warm-limit")
	require.Equal(t, "/copies", statuses[0].Problems[0].Field)
}

// TestConflictsKeepTheAcceptedRecord checks that a record that conflicts with the
// accepted ones is rejected with a position and leaves the state unchanged.
func TestConflictsKeepTheAcceptedRecord(t *testing.T) {
	hash := strings.Repeat("0", 64)
	model := `{"schema": 2, "record": "model", "name": "m", "versions": [{"version": "1", "weights": 1, "warm-limit": 1}]}`
	member := `{"schema": 2, "record": "member", "name": "x", "key-hashes": ["` + hash + `"], "rights": [{"model": "m", "versions": ["1"]}]}`
	tests := map[string]struct{ second, want string }{
		"unknown model":         {`{"schema": 2, "record": "member", "name": "x", "key-hashes": [], "rights": [{"model": "no"}]}`, `names unknown model "no"`},
		"unknown adapter":       {`{"schema": 2, "record": "member", "name": "x", "key-hashes": [], "rights": [{"model": "m", "adapters": ["no"]}]}`, `names unknown adapter "no"`},
		"key of another member": {`{"schema": 2, "record": "member", "name": "a", "key-hashes": ["` + hash + `"], "rights": []}`, "contradicts member x"},
		"model in use":          {`{"schema": 2, "record": "model", "name": "m", "deleted": true}`, `contradicts member x, whose field rights/0/model names unknown model "m"`},
		"version in use":        {`{"schema": 2, "record": "model", "name": "m", "versions": [{"version": "2", "weights": 1, "warm-limit": 1}]}`, "contradicts member x"},
		"kind of a service":     {`{"schema": 2, "record": "service", "name": "s", "kind": "k", "endpoints": ["e"]}`, `names unknown kind "k"`},
		"newer schema":          {`{"schema": 9, "record": "model", "name": "m", "colour": 1}`, "newer version"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before, _ := accept(t, "["+member+","+model+"]")
			after, statuses := accept(t, "["+member+","+model+"]", test.second)
			require.Equal(t, before.Digest(), after.Digest())
			require.Equal(t, before.Revision(), after.Revision())
			require.Equal(t, record.VerdictRejected, statuses[0].Verdict)
			require.Contains(t, statuses[0].Problems[0].String(), test.want)
			require.Positive(t, statuses[0].Problems[0].Line)
		})
	}
}

// TestNewerRecordIsNotReplaced checks that this program neither merges nor accepts
// changes of a record in a newer schema version, stored or accepted, but still uses
// the fields of an accepted one that it knows.
func TestNewerRecordIsNotReplaced(t *testing.T) {
	key := record.Key{Type: record.TypeKind, Name: "k"}
	before := record.ParseStored(key, []byte(`{"schema": 3, "record": "kind", "name": "k", "new": 1}`), 7)
	raws, err := record.Parse("f", []byte(`{"schema": 2, "record": "kind", "name": "k", "patience": "1s", "idempotent": true}`))
	require.NoError(t, err)
	_, problems := record.Merge(raws[0], before, nil)
	require.Len(t, problems, 1)
	require.ErrorIs(t, raws[0].ProblemError(problems[0]), record.ErrUnknownSchema)

	object := record.Object{Key: key, RawRevision: 7, WrittenSchema: 3, AcceptedRevision: 1, Value: []byte(`{"schema":3,"record":"kind","name":"k","patience":"2s","idempotent":true,"new":1}`)}
	d := record.Delta{Revision: 1, Objects: []record.Object{object}}
	var empty *record.State
	_, err = empty.Apply(d)
	require.ErrorIs(t, err, record.ErrDigestMismatch)
	_, d.Digest, _ = strings.Cut(err.Error(), "is ") // the error ends with the computed digest
	state, err := empty.Apply(d)
	require.NoError(t, err, "a record accepted by a newer program takes effect, as far as this program understands it")
	require.Equal(t, 2*time.Second, state.Config().Kinds["k"].Patience)
	_, problems = record.Merge(raws[0], record.Raw{}, state)
	require.Len(t, problems, 1)
	raws[0].Revision = 9
	next, statuses := record.AcceptAll(state, raws)
	require.Same(t, state, next, "only a newer program may accept changes")
	require.Empty(t, statuses)
}
