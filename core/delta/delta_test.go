package delta_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/delta"
)

func ExampleDiff() {
	older := []byte(`{"routes":[{"name":"a"},{"name":"b"},{"name":"c"}]}`)
	newer := []byte(`{"routes":[{"name":"a"},{"name":"x"},{"name":"c"}]}`)
	d := delta.Diff(1, 2, older, newer)
	for _, e := range d.Edits {
		fmt.Printf("copy %d bytes from %d, insert %q\n", e.Length, e.Offset, e.Insert)
	}
	got, err := d.Apply(older)
	fmt.Println(string(got) == string(newer), err)
	// Output:
	// copy 23 bytes from 0, insert ",{\"name\":\"x\"}"
	// copy 15 bytes from 36, insert ""
	// true <nil>
}

func TestDiff(t *testing.T) {
	for name, c := range map[string]struct{ older, newer string }{
		"same":             {`{a}{b}`, `{a}{b}`},
		"both empty":       {"", ""},
		"from nothing":     {"", `{a}`},
		"to nothing":       {`{a}`, ""},
		"added in front":   {`{b}{c}`, `{a}{b}{c}`},
		"added at the end": {`{a}{b}`, `{a}{b}{c}`},
		"removed":          {`{a}{b}{c}`, `{a}{c}`},
		"moved":            {`{a}{b}{c}`, `{c}{a}{b}`},
		"repeated":         {`{a}{b}`, `{a}{a}{a}{b}{b}`},
		"no record":        {`abc`, `abd`},
		"prefix of record": {`{a}{bc}`, `{a}{b`},
	} {
		t.Run(name, func(t *testing.T) {
			d := delta.Diff(1, 2, []byte(c.older), []byte(c.newer))
			got, err := d.Apply([]byte(c.older))
			require.NoError(t, err)
			assert.Equal(t, c.newer, string(got))
		})
	}
}

func TestDeltaOfAnotherDocumentIsRefused(t *testing.T) {
	d := delta.Diff(1, 2, []byte(`{a}{b}{c}`), []byte(`{a}{c}`))
	_, err := d.Apply([]byte(`{a}{x}{y}`))
	require.ErrorIs(t, err, delta.ErrMismatch)
	_, err = d.Apply([]byte(`{a}`))
	require.ErrorIs(t, err, delta.ErrMismatch)
	for name, e := range map[string]delta.Edit{
		"offset beyond the end": {Offset: 10, Length: 1}, "negative offset": {Offset: -1, Length: 1},
		"negative length": {Offset: 1, Length: -1}, "length that overflows": {Offset: 1, Length: int(^uint(0) >> 1)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := delta.Delta{Edits: []delta.Edit{e}}.Apply([]byte(`{a}`))
			require.ErrorIs(t, err, delta.ErrMismatch)
		})
	}
}

// document returns a document of n records, of which the given ones have another text.
func document(n int, changed ...int) []byte {
	var b bytes.Buffer
	for i := range n {
		text := "same"
		if slices.Contains(changed, i) {
			text = fmt.Sprint("changed ", i)
		}
		fmt.Fprintf(&b, `{"number":%d,"text":%q},`, i, text)
	}
	return b.Bytes()
}

// A delta of one changed record is small, however large the document is.
func TestSizeFollowsTheChange(t *testing.T) {
	for _, n := range []int{100, 1400, 5000, 20_000} {
		d := delta.Diff(1, 2, document(n), document(n, n/2))
		assert.Less(t, d.Size(), 100, "%d records", n)
	}
}

// Random edits of a document, one version after the other, reach every process that has any of the
// versions before.
func TestHistoryLeadsToTheLatestVersion(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var h delta.History
		docs := map[int64][]byte{}
		records := []string{"{0}", "{1}", "{2}", "{3}"}
		for version := int64(1); version <= 40; version++ {
			for range rng.IntN(3) {
				at := rng.IntN(len(records) + 1)
				if rng.IntN(2) == 0 && at < len(records) {
					records = slices.Delete(records, at, at+1)
					continue
				}
				records = slices.Insert(records, at, fmt.Sprintf("{%d %s}", rng.IntN(5), strings.Repeat("x", rng.IntN(40))))
			}
			docs[version] = []byte(fmt.Sprint(version) + strings.Join(records, ","))
			h.Add(version, docs[version])
		}
		for from, doc := range docs {
			list, ok := h.Since(from)
			if !ok {
				continue
			}
			for _, d := range list {
				var err error
				doc, err = d.Apply(doc)
				require.NoError(t, err, "seed %d", seed)
			}
			require.Equal(t, string(docs[40]), string(doc), "seed %d from %d", seed, from)
		}
		_, ok := h.Since(40)
		require.False(t, ok)
	}
}
