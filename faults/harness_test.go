// Package faults_test causes the faults of the platform on the whole runtime in
// one process and checks what must hold from the stand-ins' logs.
package faults_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilreach/core/fleet"
	"chervilreach/demo"
	"chervilreach/fakes"
	"chervilreach/sample"
)

// startBound is how long a deployment may take to get ready.
const startBound = 30 * time.Second

// pollPeriod is how often a test looks for what it waits for.
const pollPeriod = 5 * time.Millisecond

// demoOptions choose what a deployment runs.
type demoOptions = demo.Options

func startFleet(t *testing.T, opt demo.Options) *demo.Fleet {
	t.Helper()
	if opt.Example == "" {
		opt.Example = sample.Association
	}
	opt.Routers = max(opt.Routers, 2)
	opt.EnginesPerDomain = max(opt.EnginesPerDomain, 1)
	if opt.TimeScale == 0 {
		opt.TimeScale = 0.05
	}
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	f, err := demo.Start(context.Background(), opt)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	require.NoError(t, f.AwaitReady(ctx))
	return f
}

// call is one request of a caller.
type call struct {
	id      string
	router  int
	model   fleet.ModelID
	service fleet.ServiceID
	kind    string
	key     string
	stream  bool
	tokens  int
	prompt  string
	// patience shortens that of the kind; 0 leaves it.
	patience time.Duration
	// onByte is called after the first byte of the answer.
	onByte func()
}

// answer is what a caller gets.
type answer struct {
	status int
	code   fleet.Code
	notRun fleet.NotRun
	body   string
	// whole says that the answer came to its own end.
	whole bool
	took  time.Duration
	// stalled is how much of that this process did not get to run for.
	stalled time.Duration
	err     error
}

// within requires that an answer came within a bound, stalls of this process
// apart: callers, routers and agents all run in it.
func (a answer) within(t *testing.T, bound time.Duration, about string) {
	t.Helper()
	require.LessOrEqual(t, a.took-a.stalled, bound, "%s: took %v, stalled %v", about, a.took, a.stalled)
}

type completion struct {
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type refusal struct {
	Code   fleet.Code   `json:"code"`
	NotRun fleet.NotRun `json:"not-run"`
}

// send sends a call as a caller does and reads its answer to the end.
func send(ctx context.Context, f *demo.Fleet, c call) answer {
	began, stalled := time.Now(), processStalls().total()
	req, err := c.request(ctx, f)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began), stalled: processStalls().total() - stalled}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode}
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	if err == nil && c.onByte != nil {
		c.onByte()
	}
	rest, err := io.ReadAll(resp.Body)
	a.body, a.err = string(first[:n])+string(rest), err
	a.took, a.stalled = time.Since(began), processStalls().total()-stalled
	if a.status != http.StatusOK {
		var r refusal
		_ = json.Unmarshal([]byte(a.body), &r)
		a.code, a.notRun = r.Code, r.NotRun
		return a
	}
	a.whole = err == nil && (!c.stream || strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]"))
	return a
}

func (c call) request(ctx context.Context, f *demo.Fleet) (*http.Request, error) {
	path := "/v1/completions"
	raw, err := json.Marshal(completion{Model: c.model, Prompt: c.prompt, MaxTokens: max(c.tokens, 1), Stream: c.stream})
	if c.service != "" {
		path, raw = "/services/"+string(c.service)+"/confirm", []byte(`{"booking": 7}`)
	}
	if err != nil {
		return nil, err
	}
	url := "http://" + f.RouterAddrs[c.router].String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+demo.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", c.id)
	if c.kind != "" {
		req.Header.Set("X-Request-Kind", c.kind)
	}
	if c.patience > 0 {
		req.Header.Set("X-Patience-Ms", strconv.FormatInt(c.patience.Milliseconds(), 10))
	}
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	return req, nil
}

// runsOf counts over all engines how often the request of a caller was run.
func runsOf(f *demo.Fleet, id string) int {
	n := 0
	for _, e := range f.Endpoints {
		for _, x := range e.Engine.Executions() {
			if strings.Contains(string(x.Request), "/"+id+"/") && !x.Imported {
				n++
			}
		}
	}
	return n
}

// holder returns the endpoint whose engine holds a model; nil when none does.
func holder(f *demo.Fleet, model fleet.ModelID) *demo.Endpoint {
	for _, e := range f.Endpoints {
		for _, l := range e.Engine.Loads() {
			if l.Model == model && !l.Warm.IsZero() && l.Ended.IsZero() {
				return e
			}
		}
	}
	return nil
}

// warm loads a model by a first request and returns the endpoint that holds it.
func warm(ctx context.Context, t *testing.T, f *demo.Fleet, model fleet.ModelID) *demo.Endpoint {
	t.Helper()
	a := send(ctx, f, call{id: "warm-up", model: model, prompt: "warm up"})
	require.Equal(t, http.StatusOK, a.status, a.body)
	e := holder(f, model)
	require.NotNil(t, e)
	return e
}

// checkInvariants checks what must hold whatever happened.
func checkInvariants(t *testing.T, f *demo.Fleet) {
	t.Helper()
	engines := make([]*fakes.Engine, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		engines = append(engines, e.Engine)
		require.Zero(t, e.Engine.OvercommitCount(), "memory overcommitted at %s", e.Host.ID)
	}
	for id, m := range f.Config.Models {
		require.LessOrEqual(t, fakes.MaxReplicas(id, engines...), m.WarmLimit, "replicas of %s", id)
	}
}
