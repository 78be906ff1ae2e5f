package line_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"
	"chervilreach/io/line"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type sent struct {
	Message int `json:"message"`
}

func (sent) Kind() string { return "sent" }

type received struct {
	Message int `json:"message"`
}

func (received) Kind() string { return "received" }

// node is a process whose clock is wrong by skew.
type node struct {
	clock    *event.Clock
	recorder *line.Recorder
	skew     time.Duration
}

// TestMergeOrder checks that in the merged lines of processes with skewed clocks, which
// exchange messages at random, no message is received before it was sent and the lines
// of each process are in order.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*node, rapid.IntRange(2, 5).Draw(t, "processes"))
		for i := range nodes {
			clock := &event.Clock{}
			nodes[i] = &node{
				clock:    clock,
				recorder: line.New(fleet.ProcessID(fmt.Sprintf("p-%d", i)), clock, line.DefaultLimits()),
				skew:     time.Duration(rapid.IntRange(-60_000, 60_000).Draw(t, "skew")) * time.Millisecond,
			}
		}
		exchange(t, nodes)
		lists := make([][]event.Line, len(nodes))
		for i, n := range nodes {
			var err error
			lists[i], err = n.recorder.Select(n.recorder.Snapshot(start), line.Filter{})
			require.NoError(t, err)
		}
		requireCausal(t, line.Merge(lists...))
	})
}

// exchange sends and delivers messages in a random order.
func exchange(t *rapid.T, nodes []*node) {
	type message struct {
		id    int
		to    *node
		stamp event.Stamp
	}
	var inFlight []message
	now := start
	pick := rapid.SampledFrom(nodes)
	for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "step")) * time.Millisecond)
		if len(inFlight) > 0 && rapid.Bool().Draw(t, "deliver") {
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
			m := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			m.to.clock.Observe(m.stamp)
			m.to.recorder.Event(now.Add(m.to.skew), received{Message: m.id})
			continue
		}
		from := pick.Draw(t, "from")
		from.recorder.Effect(now.Add(from.skew), sent{Message: id})
		inFlight = append(inFlight, message{id: id, to: pick.Draw(t, "to"), stamp: from.clock.Next(now.Add(from.skew))})
	}
}

// requireCausal checks that no message is received before it was sent and that the stamps
// of each process increase.
func requireCausal(t *rapid.T, lines []event.Line) {
	seen := make(map[int]bool)
	last := make(map[string]event.Stamp)
	for _, l := range lines {
		require.Greater(t, l.Stamp, last[l.Process])
		last[l.Process] = l.Stamp
		var m sent
		require.NoError(t, json.Unmarshal(l.Body, &m))
		if l.Kind == "received" {
			require.True(t, seen[m.Message], "message %d received before it was sent", m.Message)
		}
		seen[m.Message] = seen[m.Message] || l.Kind == "sent"
	}
}

// TestRead reads valid lines, which are the same after Write and another Read, and checks the
// errors for invalid ones.
func TestRead(t *testing.T) {
	const good = `{"stamp":65536,"at":"2026-01-01T00:00:00Z","process":"p","kind":"tick","body":{}}`
	tests := map[string]struct {
		text string
		want string
	}{
		"good":          {text: good + "\n" + good},
		"not JSON":      {text: good + "\n{", want: "line 2: malformed line"},
		"unknown field": {text: strings.Replace(good, "kind", "sort", 1), want: `unknown field "sort"`},
		"no stamp":      {text: strings.Replace(good, "65536", "0", 1), want: `line 1: malformed line of a time line: no field "stamp"`},
		"no body":       {text: strings.Replace(good, `,"body":{}`, "", 1), want: `no field "body"`},
		"two values":    {text: good + good, want: "more than one value"},
		"too long":      {text: strings.Repeat(" ", line.MaxLineBytes+1), want: "line 1: bufio.Scanner: token too long"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := line.Read(strings.NewReader(tt.text))
			if tt.want != "" {
				require.ErrorContains(t, err, tt.want)
				return
			}
			require.NoError(t, err)
			var out bytes.Buffer
			require.NoError(t, line.Write(&out, lines))
			again, err := line.Read(&out)
			require.NoError(t, err)
			require.Equal(t, lines, again)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"stamp":65536,"at":"2026-01-01T00:00:00Z","process":"p","kind":"tick","body":{"a":[{"id":"x"},null]}}`))
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines, err := line.Read(bytes.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			line.Details(l)
		}
		var out bytes.Buffer
		require.NoError(t, line.Write(&out, lines))
		again, err := line.Read(&out)
		require.NoError(t, err)
		require.Len(t, again, len(lines))
	})
}

// mixed contains IDs in fields of all kinds.
type mixed struct {
	Request   fleet.RequestID
	N         int
	Target    *fleet.Target
	Endpoints []fleet.EndpointID
	Other     any
	Hosts     map[fleet.EndpointID][]byte
}

func (mixed) Kind() string { return "mixed" }

// TestFilter checks whether each filter matches an entry with IDs in fields of all kinds.
func TestFilter(t *testing.T) {
	r := line.New("p", &event.Clock{}, line.DefaultLimits())
	r.Event(start.Add(5*time.Millisecond), mixed{
		Request:   "r-1",
		Target:    &fleet.Target{Model: "minutes@2"},
		Endpoints: []fleet.EndpointID{"e-1", "e-2"},
		Other:     "m/caller-7/u",
		Hosts:     map[fleet.EndpointID][]byte{"e-9": []byte("e-8")},
	})
	tests := map[string]struct {
		filter line.Filter
		want   bool
	}{
		"all":               {want: true},
		"request":           {filter: line.Filter{Request: "r-1"}, want: true},
		"part of request":   {filter: line.Filter{Request: "caller-7"}, want: true},
		"other request":     {filter: line.Filter{Request: "r-"}},
		"model":             {filter: line.Filter{Model: "minutes@2"}, want: true},
		"model, no version": {filter: line.Filter{Model: "minutes"}, want: true},
		"other version":     {filter: line.Filter{Model: "minutes@1"}},
		"prefix of a name":  {filter: line.Filter{Model: "minute"}},
		"endpoint in list":  {filter: line.Filter{Endpoint: "e-2"}, want: true},
		"endpoint as key":   {filter: line.Filter{Endpoint: "e-9"}, want: true},
		"endpoint in bytes": {filter: line.Filter{Endpoint: "e-8"}},
		"two IDs":           {filter: line.Filter{Request: "r-1", Endpoint: "e-1"}, want: true},
		"one of two IDs":    {filter: line.Filter{Request: "r-1", Endpoint: "e-3"}},
		"since":             {filter: line.Filter{Since: start.Add(5 * time.Millisecond)}, want: true},
		"too early":         {filter: line.Filter{Since: start.Add(6 * time.Millisecond)}},
		"until":             {filter: line.Filter{Until: start.Add(5 * time.Millisecond)}, want: true},
		"too late":          {filter: line.Filter{Until: start.Add(4 * time.Millisecond)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, len(recordedLines(t, r, tt.filter)) == 1)
		})
	}
}

// TestSelect checks IncludeRoutine, MaxLines and MaxBodyBytes of a filter.
func TestSelect(t *testing.T) {
	r := line.New("p", &event.Clock{}, line.DefaultLimits())
	for i := range 10 {
		r.Event(start, event.Tick{})
		r.Event(start, sent{Message: i})
	}
	short := recordedLines(t, r, line.Filter{MaxLines: 1, MaxBodyBytes: 5})
	require.JSONEq(t, `{"cut-bytes":13}`, string(short[0].Body))
	tests := map[string]struct {
		filter line.Filter
		want   int
	}{
		"no routine": {want: 10},
		"all":        {filter: line.Filter{IncludeRoutine: true}, want: 20},
		"newest":     {filter: line.Filter{MaxLines: 3}, want: 3},
		"newest all": {filter: line.Filter{MaxLines: 3, IncludeRoutine: true}, want: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			lines := recordedLines(t, r, tt.filter)
			require.Len(t, lines, tt.want)
			require.JSONEq(t, `{"message":9}`, string(lines[len(lines)-1].Body))
		})
	}
}
