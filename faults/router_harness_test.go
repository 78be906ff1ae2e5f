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

// Kinds that addKinds adds to the records. Those with the short patience are for tests of when an
// answer arrives, those with the long patience for tests of what it contains.
const (
	kindShort           = "brief-once"
	kindShortIdempotent = "brief-again"
	kindLong            = "calm-once"
	kindLongIdempotent  = "calm-again"
	// shortPatience is the patience of kindShort and kindShortIdempotent. The patience of
	// kindLong and kindLongIdempotent is one minute, which suffices even if the process
	// gets little CPU time.
	shortPatience = 2 * time.Second
)

// proxyFleet is a deployment whose routers connect to the agents through proxies.
type proxyFleet struct {
	*demo.Fleet
	mu      sync.Mutex
	proxies map[fleet.EndpointID]*fakes.Proxy
}

// startProxyFleet starts a deployment with a proxy before each agent and adds the kinds of
// addKinds to the records.
func startProxyFleet(t *testing.T, opt demo.Options) *proxyFleet {
	t.Helper()
	f := &proxyFleet{proxies: make(map[fleet.EndpointID]*fakes.Proxy)}
	opt.ProxyAgent = func(id fleet.EndpointID, addr netip.AddrPort) (netip.AddrPort, error) {
		proxy := fakes.NewProxy(addr)
		t.Cleanup(proxy.Close)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.proxies[id] = proxy
		err := proxy.Start(netip.MustParseAddrPort("127.0.0.1:0"))
		return proxy.Addr(), err
	}
	f.Fleet = startFleet(t, opt)
	addKinds(t, f.Fleet)
	return f
}

// silenceOpenConns applies faults that drop data to the open connections to an endpoint. New connections
// work.
func (f *proxyFleet) silenceOpenConns(t *testing.T, id fleet.EndpointID, faults fakes.ProxyFaults) {
	t.Helper()
	require.NoError(t, f.proxies[id].SetFaults(faults))
	require.NoError(t, f.proxies[id].SetFaults(fakes.ProxyFaults{}))
}

// addKinds writes the records of kindShort, kindLong and the other kinds of these tests,
// and waits until all routers accept them.
func addKinds(t *testing.T, f *demo.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	raws, err := record.Parse("test", []byte(`[
  {"schema": 2, "record": "kind", "name": "brief-once", "urgency": 5, "patience": "2s", "idempotent": false},
  {"schema": 2, "record": "kind", "name": "brief-again", "urgency": 5, "patience": "2s", "idempotent": true},
  {"schema": 2, "record": "kind", "name": "calm-once", "urgency": 5, "patience": "1m", "idempotent": false},
  {"schema": 2, "record": "kind", "name": "calm-again", "urgency": 5, "patience": "1m", "idempotent": true}]`))
	require.NoError(t, err)
	store := accept.NewRecordStore(f.Client)
	plan, err := store.Prepare(ctx, raws)
	require.NoError(t, err)
	_, err = store.Write(ctx, plan)
	require.NoError(t, err)
	for router := range f.Routers {
		require.Eventually(t, func() bool {
			a := send(ctx, f, call{id: "probe", routerIndex: router, service: "booking", kind: kindShortIdempotent})
			return a.status == http.StatusOK
		}, startTimeout, pollInterval)
	}
}

// awaitRunning waits until an engine has started to execute the request whose caller sent this ID.
func awaitRunning(t *testing.T, f *demo.Fleet, id string) {
	t.Helper()
	require.Eventually(t, func() bool { return countExecutions(f, id) > 0 }, startTimeout, pollInterval)
}

// engineAnswer returns the text of the answer to a call that is sent directly to an engine.
func engineAnswer(ctx context.Context, t *testing.T, e *demo.Endpoint, c call) string {
	t.Helper()
	body, err := json.Marshal(completionBody{Model: c.model, Prompt: c.prompt, MaxTokens: c.tokens, Stream: true})
	require.NoError(t, err)
	s, err := engine.New(e.Engine.Addr()).Generate(ctx, engine.Request{
		ID: "direct", Path: engine.PathCompletions, ContentType: "application/json", Body: body,
		Target: fleet.Target{Model: c.model}, Stream: true,
	})
	require.NoError(t, err)
	defer s.Close()
	var stream strings.Builder
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return answerText(t, stream.String())
		}
		require.NoError(t, err)
		stream.Write(chunk.Payload)
	}
}

// answerText returns the text of an answer, from its body, which may be a stream.
func answerText(t *testing.T, body string) string {
	t.Helper()
	type event struct {
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
		var e event
		require.NoError(t, json.Unmarshal([]byte(raw), &e))
		for _, c := range e.Choices {
			text.WriteString(c.Text)
		}
	}
	return text.String()
}
