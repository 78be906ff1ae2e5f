package trace_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"chervilreach/core/trace"

	"github.com/stretchr/testify/require"
)

func ExampleGenerate() {
	t, err := trace.Generate("karaburun-ordinary", 1)
	if err != nil {
		panic(err)
	}
	fmt.Println(len(t.Header.Models), len(t.Header.Endpoints), t.Header.Start.Weekday())
	// Output: 50 9 Wednesday
}

func TestGenerateAndRead(t *testing.T) {
	for _, name := range trace.Scenarios() {
		t.Run(name, func(t *testing.T) {
			tr, err := trace.Generate(name, 7)
			require.NoError(t, err)
			var first, second bytes.Buffer
			require.NoError(t, tr.Write(&first))
			again, err := trace.Generate(name, 7)
			require.NoError(t, err)
			require.NoError(t, again.Write(&second))
			require.Equal(t, first.String(), second.String())
			read, err := trace.Read(&first)
			require.NoError(t, err)
			require.Equal(t, tr, read)
			other, err := trace.Generate(name, 8)
			require.NoError(t, err)
			require.NotEqual(t, tr.Arrivals, other.Arrivals)
		})
	}
}

func TestGenerateUnknown(t *testing.T) {
	_, err := trace.Generate("tuesday", 1)
	require.ErrorIs(t, err, trace.ErrUnknownScenario)
}

func TestReadBad(t *testing.T) {
	header := `{"format":"chervilreach-workload-1","models":[{"id":"m@1"}]}` + "\n"
	tests := map[string]struct{ in, want string }{
		"empty":         {in: "", want: "line 1"},
		"other format":  {in: `{"format":"x"}`, want: "line 1: format"},
		"unknown field": {in: header + `{"departure":{}}`, want: `line 2: json: unknown field "departure"`},
		"unknown model": {in: header + `{"arrival":{"model":"x"}}`, want: "line 2: arrival.model"},
		"out of order":  {in: header + `{"arrival":{"model":"m@1","at-ms":5}}` + "\n" + `{"arrival":{"model":"m@1","at-ms":4}}`, want: "line 3: arrival.at-ms"},
		"nothing":       {in: header + `{}`, want: "line 2: none of"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := trace.Read(strings.NewReader(tt.in))
			require.ErrorContains(t, err, tt.want)
		})
	}
}
