package faults_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/demo"
	"chervilreach/fakes"
	"chervilreach/io/accept"
	"chervilreach/io/engine"
)

// Kinds that addKinds adds to the records: the brief ones for tests of when an
// answer comes, the calm ones for tests of what it is.
const (
	kindOnce      = "brief-once"
	kindAgain     = "brief-again"
	kindCalmOnce  = "calm-once"
	kindCalmAgain = "calm-again"
	// briefPatience is the patience of the brief ones; the calm ones have a
	// minute, which a process that gets little processor time keeps too.
	briefPatience = 2 * time.Second
)

// cutFleet is a deployment whose routers reach the agents through relays.
type cutFleet struct {
	*demo.Fleet
	mu   sync.Mutex
	cuts map[fleet.EndpointID]*fakes.Proxy
}

func startCutFleet(t *testing.T, opt demo.Options) *cutFleet {
	t.Helper()
	f := &cutFleet{cuts: make(map[fleet.EndpointID]*fakes.Proxy)}
	opt.ProxyAgent = func(id fleet.EndpointID, addr netip.AddrPort) (netip.AddrPort, error) {
		cut := fakes.NewProxy(addr)
		t.Cleanup(cut.Close)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cuts[id] = cut
		err := cut.Start(netip.MustParseAddrPort("127.0.0.1:0"))
		return cut.Addr(), err
	}
	f.Fleet = startFleet(t, opt)
	addKinds(t, f.Fleet)
	return f
}

// silence silences the connections to an endpoint that are open now.
func (f *cutFleet) silence(t *testing.T, id fleet.EndpointID, faults fakes.ProxyFaults) {
	t.Helper()
	require.NoError(t, f.cuts[id].SetFaults(faults))
	require.NoError(t, f.cuts[id].SetFaults(fakes.ProxyFaults{}))
}

// addKinds writes the kinds above and waits until all routers take them.
func addKinds(t *testing.T, f *demo.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	raws, err := record.Parse("test", []byte(`[
  {"schema": 2, "record": "kind", "name": "brief-once", "urgency": 5, "patience": "2s", "idempotent": false},
  {"schema": 2, "record": "kind", "name": "brief-again", "urgency": 5, "patience": "2s", "idempotent": true},
  {"schema": 2, "record": "kind", "name": "calm-once", "urgency": 5, "patience": "1m", "idempotent": false},
  {"schema": 2, "record": "kind", "name": "calm-again", "urgency": 5, "patience": "1m", "idempotent": true}]`))
	require.NoError(t, err)
	store := accept.NewStore(f.Client)
	plan, err := store.Prepare(ctx, raws)
	require.NoError(t, err)
	_, err = store.Write(ctx, plan)
	require.NoError(t, err)
	for router := range f.Routers {
		require.Eventually(t, func() bool {
			a := send(ctx, f, call{id: "probe", router: router, service: "booking", kind: kindAgain})
			return a.status == http.StatusOK
		}, startBound, pollPeriod)
	}
}

// running waits until an engine runs the request of a caller.
func running(t *testing.T, f *demo.Fleet, id string) {
	t.Helper()
	require.Eventually(t, func() bool { return runsOf(f, id) > 0 }, startBound, pollPeriod)
}

// direct returns the text that the engine itself answers to a prompt.
func direct(ctx context.Context, t *testing.T, e *demo.Endpoint, c call) string {
	t.Helper()
	body, err := json.Marshal(completion{Model: c.model, Prompt: c.prompt, MaxTokens: c.tokens, Stream: true})
	require.NoError(t, err)
	s, err := engine.New(e.Engine.Addr()).Generate(ctx, engine.Request{
		ID: "direct", Path: engine.PathCompletions, ContentType: "application/json", Body: body,
		Target: fleet.Target{Model: c.model}, Stream: true,
	})
	require.NoError(t, err)
	defer s.Close()
	var all strings.Builder
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return textOf(t, all.String())
		}
		require.NoError(t, err)
		all.Write(chunk.Payload)
	}
}

// textOf returns the text of a streamed or a whole answer.
func textOf(t *testing.T, body string) string {
	t.Helper()
	type part struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	var text strings.Builder
	for line := range strings.Lines(body) {
		raw, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			raw = strings.TrimSpace(line)
		}
		if !strings.HasPrefix(raw, "{") {
			continue
		}
		var p part
		require.NoError(t, json.Unmarshal([]byte(raw), &p))
		for _, c := range p.Choices {
			text.WriteString(c.Text)
		}
	}
	return text.String()
}
