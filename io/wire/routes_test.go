package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/delta"
)

func TestChangesRoundTrip(t *testing.T) {
	older, newer := []byte(strings.Repeat("{a},", 1000)), []byte(strings.Repeat("{a},", 999)+"{b},")
	list := []delta.Delta{delta.Diff(1, 2, older, newer)}
	for name, c := range map[string]struct {
		list     []delta.Delta
		document []byte
	}{
		"deltas":   {list, nil},
		"document": {nil, newer},
		"neither":  {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeChanges(c.list, c.document)
			require.NoError(t, err)
			gotList, gotDocument, err := DecodeChanges(data)
			require.NoError(t, err)
			require.Len(t, gotList, len(c.list))
			assert.Equal(t, string(c.document), string(gotDocument))
			for _, d := range gotList {
				got, err := d.Apply(older)
				require.NoError(t, err)
				assert.Equal(t, string(newer), string(got))
			}
		})
	}
}

// Many routes at once must not fill a slow link: 3,000 routes of 230 bytes take less than 100 kB.
func TestChangesAreCompressed(t *testing.T) {
	var added strings.Builder
	for n := range 3000 {
		fmt.Fprintf(&added, `{"name":"r-%x","host":"dago38.example","prefix":"/%x/","routeKind":"safe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":"nuso21","maxAttempts":2,"affinity":false,"canResume":false,"gapAimMs":0,"padding":"............"},`, n*7919%65536, n*104729%1048576)
	}
	data, err := EncodeChanges([]delta.Delta{delta.Diff(1, 2, []byte("{}"), []byte("{}"+added.String()))}, nil)
	require.NoError(t, err)
	assert.Less(t, len(data), 100_000, "of %d", added.Len())
}

func TestMalformedChanges(t *testing.T) {
	var huge bytes.Buffer
	w, err := flate.NewWriter(&huge, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, maxFrameBytes+10))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	good, err := EncodeChanges(nil, []byte("document"))
	require.NoError(t, err)
	for name, data := range map[string][]byte{
		"no data": nil, "no DEFLATE": []byte("\xff\xff"), "cut off": good[:len(good)-3], "too large": huge.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := DecodeChanges(data)
			require.ErrorIs(t, err, ErrBadChanges)
		})
	}
}
