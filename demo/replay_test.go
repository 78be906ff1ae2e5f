package demo_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/demo"
	"chervilreach/io/admin"
	"chervilreach/io/hosts"
	"chervilreach/io/line"
	"chervilreach/io/node"
	"chervilreach/sample"
)

// TestTimelinesReplay sends a request through a whole deployment, gathers the recorded
// timelines of its processes, and replays each with a new reducer.
func TestTimelinesReplay(t *testing.T) {
	f, err := demo.Start(t.Context(), demo.Options{
		Example: sample.Association, RouterCount: 2, EnginesPerDomain: 1, TimeScale: 0.01,
		IdleTime: time.Second, HostLag: time.Second,
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	require.NoError(t, f.AwaitReady(t.Context()))

	request, err := http.NewRequest(http.MethodPost, "http://"+f.RouterAddrs[0].String()+"/v1/completions",
		strings.NewReader(`{"model":"answer-barriers@1","prompt":"close our street","max_tokens":5}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+demo.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Kind", "question")
	request.Header.Set("X-Request-Id", "recorded")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "%s", answer)

	list, err := hosts.New(f.Hosts.Addr()).List(t.Context())
	require.NoError(t, err)
	client := admin.NewClient()
	gathered := client.GatherTimelines(t.Context(), admin.Targets(list), time.Minute, line.Filter{IncludeRoutine: true})
	require.Empty(t, gathered.Failed())
	replayed := node.Replay(gathered.Lines)
	require.Len(t, replayed, len(list.Hosts))
	for _, r := range replayed {
		require.NoError(t, r.Err, "%s", r.Process)
		require.Positive(t, r.EventCount, "%s", r.Process)
	}

	var kinds []string
	for _, l := range line.Merge(gathered.Lines) {
		if !l.Routine && strings.Contains(string(l.Subject.Request), "/recorded/") {
			kinds = append(kinds, l.Kind)
		}
	}
	require.Subset(t, kinds, []string{"arrived", "send-offer", "offered", "start-stream", "ended"})
	require.Equal(t, "arrived", kinds[0])
}
