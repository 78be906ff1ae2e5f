// Package faults_test injects faults of the platform into whole deployments, which run in one
// process or as separate processes, and checks invariants from the logs of the stand-ins and the
// answers to the callers.
//
// The patience of a call is how long its caller waits for the first byte of a streamed answer, or
// for another answer to be complete. Each kind of request has a patience in its record.
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

// startTimeout bounds the start of a deployment until it is ready, and most other waits.
const startTimeout = 30 * time.Second

// pollInterval is the interval at which a test checks a condition that it waits for.
const pollInterval = 5 * time.Millisecond

// demoOptions are the options of a deployment in one process.
type demoOptions = demo.Options

// startFleet starts a deployment in one process and waits until it is ready. Options that are not
// set get the defaults of these tests. The deployment is closed at the end of the test.
func startFleet(t *testing.T, opt demo.Options) *demo.Fleet {
	t.Helper()
	if opt.Example == "" {
		opt.Example = sample.Association
	}
	opt.RouterCount = max(opt.RouterCount, 2)
	opt.EnginesPerDomain = max(opt.EnginesPerDomain, 1)
	if opt.TimeScale == 0 {
		opt.TimeScale = 0.05
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	f, err := demo.Start(context.Background(), opt)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	require.NoError(t, f.AwaitReady(ctx))
	return f
}

// call is a request of a caller. It is for a plain service if service is set, otherwise for a model.
type call struct {
	id             string
	routerIndex    int
	model          fleet.ModelID
	service        fleet.ServiceID
	kind           string
	idempotencyKey string
	stream         bool
	tokens         int
	prompt         string
	// patience shortens the patience of the kind; 0 leaves it unchanged.
	patience time.Duration
	// onFirstByte is called after the first byte of the answer, if it is not nil.
	onFirstByte func()
}

// answer is the response that a caller received, with the error of sending the call or of reading the
// response, if any.
type answer struct {
	status int
	code   fleet.Code
	notRun fleet.NotRun
	body   string
	// complete is set for an answer with status 200 that was not truncated; a stream ends with [DONE].
	complete bool
	duration time.Duration
	// stallDuration is the part of duration for which this process was not scheduled.
	stallDuration time.Duration
	err           error
}

// requireWithin requires that the answer took at most bound. The stalls of this process do not count,
// as callers, routers and agents all run in it.
func (a answer) requireWithin(t *testing.T, bound time.Duration, name string) {
	t.Helper()
	require.LessOrEqual(t, a.duration-a.stallDuration, bound, "%s: took %v, stalled %v", name, a.duration, a.stallDuration)
}

// completionBody is the body of a request for a model.
type completionBody struct {
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// problemBody contains the members of a problem+json body that tests check.
type problemBody struct {
	Code   fleet.Code   `json:"code"`
	NotRun fleet.NotRun `json:"not-run"`
}

// send sends a call to its router over HTTP and reads the answer to its end.
func send(ctx context.Context, f *demo.Fleet, c call) answer {
	began, stalled := time.Now(), processStalls().total()
	req, err := c.request(ctx, f)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err, duration: time.Since(began), stallDuration: processStalls().total() - stalled}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode}
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	if err == nil && c.onFirstByte != nil {
		c.onFirstByte()
	}
	rest, err := io.ReadAll(resp.Body)
	a.body, a.err = string(first[:n])+string(rest), err
	a.duration, a.stallDuration = time.Since(began), processStalls().total()-stalled
	if a.status != http.StatusOK {
		var r problemBody
		_ = json.Unmarshal([]byte(a.body), &r)
		a.code, a.notRun = r.Code, r.NotRun
		return a
	}
	a.complete = err == nil && (!c.stream || strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]"))
	return a
}

// request returns the HTTP request of the call.
func (c call) request(ctx context.Context, f *demo.Fleet) (*http.Request, error) {
	path := "/v1/completions"
	raw, err := json.Marshal(completionBody{Model: c.model, Prompt: c.prompt, MaxTokens: max(c.tokens, 1), Stream: c.stream})
	if c.service != "" {
		path, raw = "/services/"+string(c.service)+"/confirm", []byte(`{"booking": 7}`)
	}
	if err != nil {
		return nil, err
	}
	url := "http://" + f.RouterAddrs[c.routerIndex].String() + path
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
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	return req, nil
}

// countExecutions returns how often the request whose caller sent this
// request ID was executed, over all engines. Executions that were imported
// from another engine do not count.
func countExecutions(f *demo.Fleet, id string) int {
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

// endpointWithModel returns an endpoint whose engine holds the model, or nil if there is none.
func endpointWithModel(f *demo.Fleet, model fleet.ModelID) *demo.Endpoint {
	for _, e := range f.Endpoints {
		for _, l := range e.Engine.Loads() {
			if l.Model == model && !l.WarmAt.IsZero() && l.Ended.IsZero() {
				return e
			}
		}
	}
	return nil
}

// warmUp loads a model by sending a first request and returns the endpoint that holds it.
func warmUp(ctx context.Context, t *testing.T, f *demo.Fleet, model fleet.ModelID) *demo.Endpoint {
	t.Helper()
	a := send(ctx, f, call{id: "warm-up", model: model, prompt: "warm up"})
	require.Equal(t, http.StatusOK, a.status, a.body)
	e := endpointWithModel(f, model)
	require.NotNil(t, e)
	return e
}

// checkInvariants requires that no engine exceeded its memory and that no model had more replicas at
// one time than its record allows.
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
