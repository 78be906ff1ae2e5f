package admin_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chervilreach/core/event"
	"chervilreach/io/admin"
	"chervilreach/io/line"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// source is a fake admin.Source of an agent; Ready returns err.
type source struct {
	err    error
	models []admin.ModelStatus
}

func (s source) Healthy() error { return nil }
func (s source) Ready() error   { return s.err }
func (s source) Status() admin.Status {
	return admin.Status{Process: "p", Revision: 7, Agent: &admin.AgentStatus{Endpoint: "e-1", Models: s.models}}
}

// serve starts a server of an administration address with some metrics and two notes.
func serve(t *testing.T, s source) (*httptest.Server, *line.Recorder) {
	t.Helper()
	registry := metrics.NewRegistry()
	recorder := line.New("p", &event.Clock{}, line.DefaultLimits(), line.WithMetrics(registry))
	recorder.Effect(time.Now(), event.Count{Name: "loads", N: 2})
	recorder.Effect(time.Now(), event.Note{Change: "load", Model: "minutes@1"})
	recorder.Effect(time.Now(), event.Note{Change: "load", Model: "other@1"})
	metrics.GetOrRegisterTimer("load-time", registry).Update(time.Second)
	metrics.GetOrRegisterGauge("queued", registry).Update(3)
	server := httptest.NewServer(admin.Handler(admin.HandlerConfig{Source: s, Recorder: recorder, Metrics: registry}))
	t.Cleanup(server.Close)
	return server, recorder
}

// get requests a URL and returns the response and its body.
func get(t *testing.T, url, accept string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	r.Header.Set("Accept", accept)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// TestHandler checks the status code and part of the response body for each path.
func TestHandler(t *testing.T) {
	draining := source{err: errors.New("draining")}
	tests := map[string]struct {
		source source
		path   string
		accept string
		status int
		want   string
	}{
		"healthy":                {path: "/healthz", status: 200, want: `{"process":"p","ok":true}`},
		"healthy while draining": {source: draining, path: "/healthz", status: 200, want: `"ok":true`},
		"ready":                  {path: "/readyz", status: 200, want: `"ok":true`},
		"not ready":              {source: draining, path: "/readyz", status: 503, want: `"detail":"draining"`},
		"metrics JSON":           {path: "/metrics", status: 200, want: `{"counters":[{"name":"loads","count":2}],"gauges":[{"name":"queued","value":3}]`},
		"metrics text":           {path: "/metrics", accept: "text/plain", status: 200, want: "# TYPE chervilreach_loads counter\nchervilreach_loads 2\n"},
		"distribution":           {path: "/metrics", accept: "text/plain", status: 200, want: "chervilreach_load_time{quantile=\"0.99\"} 1e+09\n"},
		"status":                 {path: "/status", status: 200, want: `"accepted-revision":7`},
		"bad time":               {path: "/timeline?since=yesterday", status: 422, want: "since"},
		"no seconds":             {path: "/record", status: 422, want: "seconds"},
		"too many seconds":       {path: "/record?seconds=100000", status: 422, want: "seconds"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, _ := serve(t, tt.source)
			response, body := get(t, server.URL+tt.path, tt.accept)
			require.Equal(t, tt.status, response.StatusCode)
			require.Contains(t, body, tt.want)
		})
	}
}

// TestStatusSaysWhy checks that missing reasons of models are filled in from notes.
func TestStatusSaysWhy(t *testing.T) {
	began := time.UnixMilli(1_000_000).UTC()
	tests := map[string]struct {
		model admin.ModelStatus
		note  event.Note
		want  admin.ModelStatus
	}{
		"state":        {model: admin.ModelStatus{State: "loading"}, note: event.Note{Change: "loading", Detail: "2 wait"}, want: admin.ModelStatus{State: "loading", Why: "2 wait", Since: began}},
		"other change": {model: admin.ModelStatus{State: "cold"}, note: event.Note{Change: "load-failed", Detail: "no memory"}, want: admin.ModelStatus{State: "cold", Why: "load-failed, no memory", Since: began}},
		"no detail":    {model: admin.ModelStatus{State: "cold"}, note: event.Note{Change: "load-failed"}, want: admin.ModelStatus{State: "cold", Why: "load-failed", Since: began}},
		"own reason":   {model: admin.ModelStatus{State: "warm", Why: "floor", Since: began.Add(1)}, note: event.Note{Change: "x"}, want: admin.ModelStatus{State: "warm", Why: "floor", Since: began.Add(1)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.model.Model, tt.want.Model, tt.note.Model = "m@1", "m@1", "m@1"
			recorder := line.New("p", &event.Clock{}, line.DefaultLimits())
			recorder.Effect(began.Add(-time.Second), event.Note{Change: "older", Model: "m@1"})
			recorder.Effect(began, tt.note)
			recorder.Effect(began, event.Note{Change: "other", Model: "n@1"})
			s := source{models: []admin.ModelStatus{tt.model}}
			server := httptest.NewServer(admin.Handler(admin.HandlerConfig{Source: s, Recorder: recorder, Metrics: metrics.NewRegistry()}))
			defer server.Close()
			status, err := admin.NewClient().Status(t.Context(), target("p", server))
			require.NoError(t, err)
			require.Equal(t, []admin.ModelStatus{tt.want}, status.Agent.Models)
		})
	}
}

// TestTimeline checks the headers and the lines of a timeline that is filtered by a model.
func TestTimeline(t *testing.T) {
	server, _ := serve(t, source{})
	response, body := get(t, server.URL+"/timeline?model=minutes", "")
	require.Equal(t, "p", response.Header.Get(admin.HeaderProcess))
	require.Equal(t, "0", response.Header.Get(admin.HeaderDropped))
	require.NotEmpty(t, response.Header.Get(admin.HeaderStamp))
	require.Contains(t, body, `"body":{"change":"load","model":"minutes@1"}}`)
	require.NotContains(t, body, "other@1")
}
