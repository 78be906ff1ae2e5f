package relayd

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadEvent(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		events []string
		err    error
	}{
		"two":              {"id: 1\ndata: a\n\nid: 2\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\n\n"}, io.EOF},
		"carriage returns": {"id: 1\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, io.EOF},
		"incomplete event": {"id: 1\n\nid: 2\nda", []string{"id: 1\n\n"}, io.EOF},
		"none":             {"", nil, io.EOF},
		"too long":         {strings.Repeat("x", maxEventBytes+1), nil, ErrEventTooLong},
	} {
		for reads, r := range map[string]io.Reader{
			"at once": strings.NewReader(c.stream), "byte by byte": iotest.OneByteReader(strings.NewReader(c.stream)),
		} {
			t.Run(name+", "+reads, func(t *testing.T) {
				reader := bufio.NewReaderSize(r, maxEventBytes)
				var got []string
				var err error
				for {
					var ev []byte
					if ev, err = readEvent(reader); err != nil {
						break
					}
					got = append(got, string(ev))
				}
				assert.Equal(t, c.events, got)
				assert.ErrorIs(t, err, c.err)
			})
		}
	}
}

func TestEventID(t *testing.T) {
	for name, c := range map[string]struct {
		event string
		id    int64
		ok    bool
	}{
		"first line":     {"id: 7\ndata: x\n\n", 7, true},
		"later line":     {"data: x\nid:8\n\n", 8, true},
		"none":           {"data: id: 9\n\n", 0, false},
		"not a number":   {"id: x\n\n", 0, false},
		"with a version": {"x-weights: 2\nid: 10\n\n", 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			id, ok := eventID([]byte(c.event))
			assert.Equal(t, c.ok, ok)
			assert.Equal(t, c.id, id)
		})
	}
}

// The concatenation of the events must be the stream, for any input.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n\n\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(text)), maxEventBytes)
		var all []byte
		for {
			ev, err := readEvent(reader)
			all = append(all, ev...)
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err)
			require.True(t, bytes.HasSuffix(ev, []byte("\n\n")) || bytes.HasSuffix(ev, []byte("\n\r\n")))
		}
		require.Equal(t, string(text), string(all))
	})
}

func BenchmarkEvent(b *testing.B) {
	text := bytes.Repeat([]byte("id: 12\ndata: token token token\n\n"), 1000)
	b.ReportAllocs()
	r := bytes.NewReader(text)
	reader := bufio.NewReaderSize(r, maxEventBytes)
	for b.Loop() {
		ev, err := readEvent(reader)
		if err != nil {
			r.Reset(text)
			reader.Reset(r)
			continue
		}
		eventID(ev)
	}
}

// Forwarding an event must not allocate memory for it.
func TestReadEventDoesNotAllocate(t *testing.T) {
	text := bytes.Repeat([]byte("id: 12\ndata: token token token\n\n"), 2000)
	reader := bufio.NewReaderSize(bytes.NewReader(text), maxEventBytes)
	allocs := testing.AllocsPerRun(1000, func() {
		ev, err := readEvent(reader)
		if err != nil {
			t.Fatal(err)
		}
		eventID(ev)
	})
	assert.LessOrEqual(t, allocs, 1.0)
}
